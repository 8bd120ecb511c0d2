/**
 * Recovery after all instances were down: they come back at the same time with the calls whose callers have been waiting. These are
 * late already and must not delay new calls.
 */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as budget from '../common/budget.js'
import * as call from '../common/call.js'
import * as crashDetection from '../common/crashDetection.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as laneLatency from '../common/laneLatency.js'
import type * as loadProbing from '../common/loadProbing.js'
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'
import * as slottedEndpoint from './slottedEndpoint.js'

const entries = 14
const endpointCount = 18
const slots = 2
const workMs = 120
const fullSlowdown = 1.7
/** Share of the endpoints that are slow at any moment, their slowdown, and the mean time until it changes. */
const slowness = { share: 0.25, factor: 7, changeMs: 500 }
const callsPerSecond = 66
const probeMs = 4
const newCallsMs = 1500
const msPerSecond = 1000
const seeds = [1, 2, 3, 4, 5, 6, 7, 8]
const lane = fixtures.createLane({ deadlineMs: 1500, targetLatencyMs: 300, maxAttempts: 2 })

/** Simulated endpoint that is slow from time to time, and slower while full. */
class Endpoint extends slottedEndpoint.SlottedEndpoint {
  private slowUntil = -Infinity
  private isSlow = false

  constructor (clock: manualClock.ManualClock, private readonly random: () => number) {
    super(clock, slots)
  }

  protected work (done: () => void): void {
    this.clock.after(workMs * this.slowdown * (this.running === slots ? fullSlowdown : 1), done)
  }

  get slowdown (): number {
    if (this.clock.now() >= this.slowUntil) {
      this.isSlow = this.random() < slowness.share
      this.slowUntil = this.clock.now() + slowness.changeMs * (0.5 + this.random())
    }
    return this.isSlow ? slowness.factor : 1
  }
}

interface SimulationResult {
  /** Share of the new calls, which arrived after the recovery, that got a response within the target latency. */
  readonly newInTimeShare: number
  /** Share of the held calls, whose callers were waiting at the recovery, that got a response. */
  readonly heldServedShare: number
}

/**
 * Simulates the recovery of all instances.
 * @param downMs time during which the callers of held calls have been waiting.
 * @param usesArrivalTime whether instances know when held calls arrived; else these look like new ones.
 */
function simulate (seed: number, downMs: number, usesArrivalTime: boolean): SimulationResult {
  const generator = xoroshiro.xoroshiro128plus(seed)
  const random = (): number => float.uniformFloat64(generator)
  const clock = new manualClock.ManualClock()
  clock.advance(downMs)
  const endpoints = new Map(Array.from({ length: endpointCount }, (_value, i) => [`d-${i}`, new Endpoint(clock, random)]))
  const announced = [...endpoints.keys()].map((id) => ({ ...fixtures.createEndpoint(id, slots, 0), connectionLimit: 220 }))
  const table = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => announced }
  const suspects = new suspectTable.SuspectTable(clock)
  const detector = new crashDetection.CrashDetector(table, suspects, clock)
  const prober: loadProbing.IProber = {
    probe: (endpoint, done) => clock.after(probeMs, () => done({ kind: 'report', report: endpoints.get(endpoint.endpoint)!.report }))
  }
  const instances = Array.from({ length: entries }, () => ({
    entryDispatcher: new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => entries }, table, new adaptivePolicy.AdaptivePolicy({ next: random }), clock),
    latency: new laneLatency.LaneLatency(),
    repeats: new budget.RepeatBudget({ ratio: 0.2, extra: 58, windowMs: 10_000 }, () => entries, clock)
  }))
  const createTransport = (): transport.ITransport => ({
    start: (endpoint, events) => {
      let isCancelled = false
      endpoints.get(endpoint.endpoint)!.serve(() => {
        if (isCancelled) return
        events.onHead({ status: 200, notRun: false })
        events.onBodyEnd()
      })
      return { written: true, cancel: () => { isCancelled = true }, abandon: () => { isCancelled = true }, deliverHeld: () => {} }
    },
    checkTarget: () => {}
  })
  const counts = { new: 0, newInTime: 0, held: 0, heldServed: 0 }
  const start = (arrivedAt: number, isNew: boolean, index: number): void => {
    const { entryDispatcher, latency, repeats } = instances[index % entries]!
    repeats.recordCall()
    if (isNew) counts.new++
    else counts.held++
    new call.Call({ requestId: `r-${index}`, laneName: 'diary', lane, arrivedAt: usesArrivalTime ? arrivedAt : clock.now(), deadlineAt: arrivedAt + lane.deadlineMs, identity: { fingerprint: `f-${index}`, isRetainable: true }, body: { isReplayable: true, isReceived: true, awaitsCaller: false, fault: undefined } }, {
      probing: { deps: { dispatcher: entryDispatcher, prober, budget: { take: () => true }, clock }, options: { candidates: 4, timeoutMs: 25, staggerMs: 8 } },
      dispatcher: entryDispatcher,
      transport: createTransport(),
      suspects,
      crashDetector: detector,
      budgets: { retries: repeats, hedges: repeats.limitToShare(0.7), healthChecks: repeats },
      latency,
      domainPreference: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock,
      random: { next: random }
    }, {
      onResponse: () => {
        if (isNew && clock.now() - arrivedAt <= lane.targetLatencyMs!) counts.newInTime++
        if (!isNew) counts.heldServed++
      },
      onFailed: () => {}
    }).start()
  }
  let index = 0
  for (let ago = 0; ago < downMs; ago += msPerSecond / callsPerSecond) start(downMs - ago, false, index++)
  while (clock.now() < downMs + newCallsMs) {
    start(clock.now(), true, index++)
    clock.advance(-Math.log(1 - random()) * msPerSecond / callsPerSecond)
  }
  clock.advance(lane.deadlineMs * 2)
  return { newInTimeShare: counts.newInTime / counts.new, heldServedShare: counts.heldServed / counts.held }
}

function computeMean (runs: readonly SimulationResult[]): SimulationResult {
  const mean = (value: (run: SimulationResult) => number): number => runs.reduce((total, each) => total + value(each), 0) / runs.length
  return { newInTimeShare: mean(({ newInTimeShare }) => newInTimeShare), heldServedShare: mean(({ heldServedShare }) => heldServedShare) }
}

for (const downMs of [300, 700, 1200]) {
  tap.t.test(`after ${downMs} ms without any instance, late calls do not delay new ones`, async (t) => {
    const withoutArrivalTime = computeMean(seeds.map((seed) => simulate(seed, downMs, false)))
    const withArrivalTime = computeMean(seeds.map((seed) => simulate(seed, downMs, true)))
    t.comment(`held calls without arrival time: ${JSON.stringify(withoutArrivalTime)}; with arrival time: ${JSON.stringify(withArrivalTime)}`)
    t.ok(withArrivalTime.newInTimeShare >= withoutArrivalTime.newInTimeShare, 'new calls in time')
    t.ok(withArrivalTime.heldServedShare >= withoutArrivalTime.heldServedShare - 0.02, 'held calls served')
  })
}
