/** Simulates instances that send calls to endpoints of which some are slow for a while, and records what callers get and which hedges were sent. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as budget from '../common/budget.js'
import * as call from '../common/call.js'
import type * as callSpec from '../common/callSpec.js'
import * as crashDetection from '../common/crashDetection.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as hedging from '../common/hedging.js'
import * as laneLatency from '../common/laneLatency.js'
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'

export const windowMs = 10_000
const repeats = { ratio: 0.2, extra: 20, windowMs }
/** As in `laneRegistry`. */
const hedgeShareOfRepeats = 0.7
const endpointCount = 12
const slots = 4
const workMs = 60
/** An endpoint is slow in a phase with this probability. */
const slowShare = 0.1
const slowFactor = 10
const phaseMs = 400
const stepMs = 1
const sampleMs = 100

/** Options of a simulated load. */
export interface LoadOptions {
  /** Work of the calls relative to what the endpoints can do while none is slow. */
  readonly load: number
  readonly durationMs: number
  /** Without it no hedges are sent, unless `usualHedges` is set. */
  readonly limits?: Omit<hedging.HedgingOptions, 'windowMs'>
  /** Sends hedges as without the settings section. */
  readonly usualHedges?: boolean
  readonly instances?: number
  readonly lane?: object
}

/** Slot time until a moment, as seen from outside of the instance. */
export interface SlotTimeSample {
  readonly at: number
  readonly allMs: number
  readonly secondMs: number
}

/** What one instance has sent. */
export interface InstanceRecord {
  readonly requests: number[]
  readonly hedges: Array<{ readonly at: number, readonly waiting: number }>
  readonly retries: number[]
  readonly slotTime: SlotTimeSample[]
}

/** Outcome of a simulated load. */
export interface LoadOutcome {
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** Share of the calls that were served within the deadline. */
  readonly inTime: number
  readonly instances: readonly InstanceRecord[]
  readonly limits: readonly hedging.Hedging[]
  /** Slots in use at the endpoints and at the instances after the load. */
  readonly slotsLeft: number
}

/** Returns a generator of numbers from 0 to 1. */
function createRandom (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => uniform.uniformInt(generator, 0, 999_999) / 1_000_000
}

interface Job {
  leftMs: number
  readonly done: () => void
}

/** Runs calls in order of arrival; a cancelled one leaves its slot or the queue. */
class SlowingEndpoint {
  private readonly jobs: Job[] = []
  private slowUntil = 0

  get busySlots (): number {
    return Math.min(slots, this.jobs.length)
  }

  serve (ms: number, done: () => void): () => void {
    const job = { leftMs: ms, done }
    this.jobs.push(job)
    return () => this.remove(job)
  }

  step (now: number, isSlowPhase: boolean): void {
    if (isSlowPhase) this.slowUntil = now + phaseMs
    const progressMs = stepMs / (now < this.slowUntil ? slowFactor : 1)
    for (const job of this.jobs.slice(0, slots)) {
      job.leftMs -= progressMs
      if (job.leftMs > 0) continue
      this.remove(job)
      job.done()
    }
  }

  private remove (job: Job): void {
    const index = this.jobs.indexOf(job)
    if (index >= 0) this.jobs.splice(index, 1)
  }
}

class Instance {
  readonly record: InstanceRecord = { requests: [], hedges: [], retries: [], slotTime: [] }
  readonly limits: hedging.Hedging | undefined
  slotsInUse = 0
  private secondSlots = 0
  private allMs = 0
  private secondMs = 0
  private readonly repeats: budget.RepeatBudget
  private readonly deps: Omit<callSpec.CallDeps, 'transport'>

  constructor (private readonly simulation: Simulation, { limits, usualHedges = false, instances = 6 }: LoadOptions) {
    const { clock, source, random } = simulation
    this.limits = limits === undefined ? undefined : new hedging.Hedging({ ...limits, windowMs }, clock)
    this.repeats = new budget.RepeatBudget(repeats, () => instances, clock)
    const suspects = new suspectTable.SuspectTable(clock)
    const instanceDispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => instances }, source, new adaptivePolicy.AdaptivePolicy({ next: random }), clock)
    const hedges = limits === undefined && !usualHedges ? { take: () => false } : this.repeats.limitToShare(hedgeShareOfRepeats)
    this.deps = {
      dispatcher: instanceDispatcher,
      suspects,
      crashDetector: new crashDetection.CrashDetector(source, suspects, clock),
      budgets: { retries: this.repeats, hedges, healthChecks: { take: () => true } },
      latency: new laneLatency.LaneLatency(),
      hedging: this.limits === undefined ? undefined : new hedging.LaneHedging(this.limits),
      domainPreference: new domainPreference.DomainPreference(),
      decisions: {
        record: ({ event }) => {
          if (event === 'hedge') this.record.hedges.push({ at: clock.now(), waiting: instanceDispatcher.waiting })
          if (event === 'retry') this.record.retries.push(clock.now())
        },
        recordWithoutLogging: () => {},
        explain: () => []
      },
      clock,
      random: { next: random }
    }
  }

  get waitingSlots (): number {
    return this.deps.dispatcher.inFlight
  }

  start (requestId: string, lane: configDocument.Lane, done: (isServed: boolean) => void): void {
    const { clock } = this.simulation
    const now = clock.now()
    this.record.requests.push(now)
    this.limits?.recordRequest()
    this.repeats.recordCall()
    let running = 0
    const transport: transport.ITransport = {
      start: (endpoint, events) => {
        if (++running > 1) this.secondSlots++
        this.slotsInUse++
        let hasEnded = false
        const end = (): void => {
          if (hasEnded) return
          hasEnded = true
          cancelWork()
          if (running-- > 1) this.secondSlots--
          this.slotsInUse--
        }
        const cancelWork = this.simulation.serve(endpoint, () => {
          end()
          events.onHead({ status: 200, notRun: false })
          events.onBodyEnd()
        })
        return { written: true, deliverHeld: () => {}, cancel: end, abandon: end }
      },
      checkTarget: () => {}
    }
    new call.Call({ requestId, laneName: 'diary', lane, arrivedAt: now, deadlineAt: now + lane.deadlineMs, identity: { fingerprint: requestId, isRetainable: true }, body: { isReplayable: true, isReceived: true, awaitsCaller: false, fault: undefined } }, { ...this.deps, transport }, {
      onResponse: () => done(true),
      onFailed: () => done(false)
    }).start()
  }

  step (): void {
    this.allMs += this.slotsInUse * stepMs
    this.secondMs += this.secondSlots * stepMs
    const at = this.simulation.clock.now()
    if (at % sampleMs === 0) this.record.slotTime.push({ at, allMs: this.allMs, secondMs: this.secondMs })
  }
}

/** Instances and endpoints in virtual time. */
class Simulation {
  readonly clock = new manualClock.ManualClock()
  readonly random = createRandom(1)
  readonly source: endpointTable.IEndpointSource
  readonly endpoints = new Map<string, SlowingEndpoint>()
  private readonly workRandom = createRandom(2)

  constructor () {
    const announced = Array.from({ length: endpointCount }, (_value, i) => fixtures.createEndpoint(`d-${i}`, slots, 0))
    for (const { endpoint } of announced) this.endpoints.set(endpoint, new SlowingEndpoint())
    this.source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => announced }
  }

  serve ({ endpoint }: endpointTable.Endpoint, done: () => void): () => void {
    // Half to one and a half of the mean, so that responses of sound endpoints differ too.
    return this.endpoints.get(endpoint)!.serve(workMs * (0.5 + this.workRandom()), done)
  }
}

/** Plays a load. */
export function simulate (options: LoadOptions): LoadOutcome {
  const { load, durationMs, instances: instanceCount = 6 } = options
  const simulation = new Simulation()
  const { clock } = simulation
  const lane = fixtures.createLane({ deadlineMs: 1000, coldStartMs: 0, ...options.lane })
  const instances = Array.from({ length: instanceCount }, () => new Instance(simulation, options))
  const arrivals = createRandom(3)
  const phases = createRandom(4)
  const callsPerStep = load * endpointCount * slots * stepMs / workMs
  const latencies: number[] = []
  let calls = 0
  const step = (hasCalls: boolean): void => {
    const isPhaseStart = clock.now() % phaseMs === 0
    for (const endpoint of simulation.endpoints.values()) endpoint.step(clock.now(), isPhaseStart && phases() < slowShare)
    // Several draws in each step, so that calls come in uneven groups.
    const draws = hasCalls ? 4 : 0
    for (let i = 0; i < draws; i++) {
      if (arrivals() >= callsPerStep / 4) continue
      const startedAt = clock.now()
      instances[Math.floor(arrivals() * instances.length)]!.start(`r-${calls++}`, lane, (isServed) => { if (isServed) latencies.push(clock.now() - startedAt) })
    }
    for (const instance of instances) instance.step()
    clock.advance(stepMs)
  }
  while (clock.now() < durationMs) step(true)
  for (let i = 0; i < 2 * lane.deadlineMs; i += stepMs) step(false)
  latencies.sort((a, b) => a - b)
  const percentile = (share: number): number => Math.round(latencies[Math.ceil(latencies.length * share) - 1]!)
  return {
    p50: percentile(0.5),
    p99: percentile(0.99),
    p999: percentile(0.999),
    inTime: latencies.filter((ms) => ms <= lane.deadlineMs).length / calls,
    instances: instances.map(({ record }) => record),
    limits: instances.flatMap(({ limits }) => limits ?? []),
    slotsLeft: [...simulation.endpoints.values()].reduce((sum, { busySlots }) => sum + busySlots, 0) + instances.reduce((sum, { slotsInUse, waitingSlots }) => sum + slotsInUse + waitingSlots, 0)
  }
}
