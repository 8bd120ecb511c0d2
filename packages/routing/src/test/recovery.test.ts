/** The moment in which all instances come back at once with the calls that they held: what callers get, old and new ones. */
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
import * as deathWatch from '../common/deathWatch.js'
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
/** Share of the endpoints that are slow at a moment, how much, and how long each stays so. */
const noise = { share: 0.25, factor: 7, everyMs: 500 }
const callsPerSecond = 66
const probeMs = 4
const newMs = 1500
const msPerSecond = 1000
const seeds = [1, 2, 3, 4, 5, 6, 7, 8]
const lane = fixtures.laneWith({ deadlineMs: 1500, targetLatencyMs: 300, maxAttempts: 2 })

class Endpoint extends slottedEndpoint.SlottedEndpoint {
  private slowUntil = -Infinity
  private slow = false

  constructor (clock: manualClock.ManualClock, private readonly random: () => number) {
    super(clock, slots)
  }

  protected work (done: () => void): void {
    this.clock.after(workMs * this.slowdown * (this.running === slots ? fullSlowdown : 1), done)
  }

  get slowdown (): number {
    if (this.clock.now() >= this.slowUntil) {
      this.slow = this.random() < noise.share
      this.slowUntil = this.clock.now() + noise.everyMs * (0.5 + this.random())
    }
    return this.slow ? noise.factor : 1
  }
}

interface Served {
  /** Share of the calls that came after the return that were answered within the target. */
  readonly newInTime: number
  /** Share of the held calls that were answered at all. */
  readonly held: number
}

/** @param downMs how long calls were held; it counts as waiting only where the instances tell when their calls came. */
function play (seed: number, downMs: number, tellsArrival: boolean): Served {
  const source = xoroshiro.xoroshiro128plus(seed)
  const random = (): number => float.uniformFloat64(source)
  const clock = new manualClock.ManualClock()
  clock.advance(downMs)
  const endpoints = new Map(Array.from({ length: endpointCount }, (_value, i) => [`d-${i}`, new Endpoint(clock, random)]))
  const known = [...endpoints.keys()].map((id) => ({ ...fixtures.endpointWith(id, slots, 0), connectionLimit: 220 }))
  const table = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => known }
  const suspects = new suspectTable.SuspectTable(clock)
  const deaths = new deathWatch.DeathWatch(table, suspects, clock)
  const prober: loadProbing.IProber = {
    probe: (endpoint, done) => clock.after(probeMs, () => done({ kind: 'report', report: endpoints.get(endpoint.endpoint)!.report }))
  }
  const instances = Array.from({ length: entries }, () => ({
    placer: new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => entries }, table, new adaptivePolicy.AdaptivePolicy({ next: random }), clock),
    latency: new laneLatency.LaneLatency(),
    repeats: new budget.RepeatBudget({ ratio: 0.2, extra: 58, windowMs: 10_000 }, () => entries, clock)
  }))
  const transportOf = (): transport.ITransport => ({
    start: (endpoint, events) => {
      let given = false
      endpoints.get(endpoint.endpoint)!.serve(() => {
        if (given) return
        events.onHead({ status: 200, notRun: false })
        events.onBodyEnd()
      })
      return { written: true, cancel: () => { given = true }, abandon: () => { given = true } }
    },
    replaceConnection: () => {}
  })
  const counts = { new: 0, newInTime: 0, held: 0, heldServed: 0 }
  const start = (arrivedAt: number, isNew: boolean, index: number): void => {
    const { placer, latency, repeats } = instances[index % entries]!
    repeats.noteCall()
    if (isNew) counts.new++
    else counts.held++
    new call.Call({ requestId: `r-${index}`, laneName: 'diary', lane, arrivedAt: tellsArrival ? arrivedAt : clock.now(), deadlineAt: arrivedAt + lane.deadlineMs, identity: { fingerprint: `f-${index}`, isLight: true }, replayable: () => true }, {
      probing: { deps: { dispatcher: placer, prober, budget: { take: () => true }, clock }, options: { candidates: 4, timeoutMs: 25, staggerMs: 8 } },
      dispatcher: placer,
      transport: transportOf(),
      suspects,
      deaths,
      budgets: { retries: repeats, hedges: repeats.upTo(0.7), measuring: repeats },
      latency,
      domains: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock,
      random: { next: random }
    }, {
      onAnswer: () => {
        if (isNew && clock.now() - arrivedAt <= lane.targetLatencyMs!) counts.newInTime++
        if (!isNew) counts.heldServed++
      },
      onRefused: () => {}
    }).start()
  }
  let index = 0
  for (let ago = 0; ago < downMs; ago += msPerSecond / callsPerSecond) start(downMs - ago, false, index++)
  while (clock.now() < downMs + newMs) {
    start(clock.now(), true, index++)
    clock.advance(-Math.log(1 - random()) * msPerSecond / callsPerSecond)
  }
  clock.advance(lane.deadlineMs * 2)
  return { newInTime: counts.newInTime / counts.new, held: counts.heldServed / counts.held }
}

function mean (runs: readonly Served[]): Served {
  const sum = (of: (served: Served) => number): number => runs.reduce((total, each) => total + of(each), 0) / runs.length
  return { newInTime: sum(({ newInTime }) => newInTime), held: sum(({ held }) => held) }
}

for (const downMs of [300, 700, 1200]) {
  tap.t.test(`after ${downMs} ms without any instance, new calls are not pushed aside by those that are late already`, async (t) => {
    const asNew = mean(seeds.map((seed) => play(seed, downMs, false)))
    const yielding = mean(seeds.map((seed) => play(seed, downMs, true)))
    t.comment(`held calls placed like new ones: ${JSON.stringify(asNew)}; yielding: ${JSON.stringify(yielding)}`)
    t.ok(yielding.newInTime >= asNew.newInTime, 'new calls in time')
    t.ok(yielding.held >= asNew.held - 0.02, 'held calls served')
  })
}
