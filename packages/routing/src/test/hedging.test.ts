/** Hedges within limits: what callers get, whether the shares hold in every window, and which calls get no hedge. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as call from '../common/call.js'
import type * as callSpec from '../common/callSpec.js'
import * as crashDetection from '../common/crashDetection.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as hedging from '../common/hedging.js'
import * as laneLatency from '../common/laneLatency.js'
import type * as loadProbing from '../common/loadProbing.js'
import * as recentLatencies from '../common/recentLatencies.js'
import * as servicePermits from '../common/servicePermits.js'
import type * as slotAssignment from '../common/slotAssignment.js'
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'
import * as hedgedLoad from './hedgedLoad.js'

const moderate = { load: 0.6, durationMs: 30_000 }
const overload = { load: 1.5, durationMs: 15_000 }
const wide = { requestShare: 0.1, slotShare: 0.15, percentile: 95 }

function callersOf ({ p50, p99, p999, inTime }: hedgedLoad.LoadOutcome): object {
  return { p50, p99, p999, inTime: Number(inTime.toFixed(4)) }
}

/** Number of times within the window that ends at `at`. */
function countInWindow (times: readonly number[], at: number): number {
  return times.filter((time) => time > at - hedgedLoad.windowMs && time <= at).length
}

function concat (outcome: hedgedLoad.LoadOutcome, pick: (record: hedgedLoad.InstanceRecord) => readonly number[]): readonly number[] {
  return outcome.instances.flatMap(pick)
}

/** Returns the times of hedges after which there were more of them than the share of the requests in the window. */
function findExcess (hedges: readonly number[], requests: readonly number[], share: number): readonly number[] {
  return hedges.filter((at) => countInWindow(hedges, at) > share * countInWindow(requests, at))
}

/**
 * Returns the largest share of second slots in the slot time of a window, of one instance or of a sum.
 * @param canDrop whether a window is compared with the largest one that ended within it: the limit looks back from the time at which a
 * hedge is sent or goes on, and traffic may drop after it.
 */
function largestSlotShare (records: readonly hedgedLoad.InstanceRecord[], untilMs: number, canDrop: boolean): number {
  const { slotTime } = records[0]!
  const perWindow = slotTime.findIndex(({ at }) => at >= hedgedLoad.windowMs)
  const sumAt = (i: number, pick: (sample: hedgedLoad.SlotTimeSample) => number): number => i < 0 ? 0 : records.reduce((sum, record) => sum + pick(record.slotTime[i]!), 0)
  const inWindow = (i: number, pick: (sample: hedgedLoad.SlotTimeSample) => number): number => sumAt(i, pick) - sumAt(i - perWindow, pick)
  return Math.max(...slotTime.map(({ at }, i) => {
    const all = inWindow(i, ({ allMs }) => allMs)
    const ends = canDrop ? Array.from({ length: perWindow + 1 }, (_value, back) => i - back) : [i]
    const allowing = Math.max(...ends.map((end) => inWindow(end, ({ allMs }) => allMs)))
    return all === 0 || at > untilMs ? 0 : inWindow(i, ({ secondMs }) => secondMs) / allowing
  }))
}

function countDenials (outcome: hedgedLoad.LoadOutcome, reason: hedging.DenialReason): number {
  return outcome.limits.reduce((sum, { state }) => sum + (state.denials.get(reason) ?? 0), 0)
}

// Guards against hedges that cost slots and help no caller.
tap.t.test('while endpoints are slow for a while, hedges make late responses rarer and others no slower', async (t) => {
  const without = hedgedLoad.simulate(moderate)
  const hedged = hedgedLoad.simulate({ ...moderate, limits: wide })
  t.matchSnapshot({ without: callersOf(without), hedged: callersOf(hedged) })
  t.ok(hedged.p99 <= 0.75 * without.p99 && hedged.p999 <= 0.9 * without.p999, JSON.stringify([callersOf(without), callersOf(hedged)]))
  t.ok(hedged.p50 <= 1.05 * without.p50 && hedged.inTime >= without.inTime)
  t.equal(hedged.slotsLeft, 0, 'losers free their slots')
})

// Guards against extra work that takes slots from calls which wait.
tap.t.test('in overload no hedge is sent while calls wait, and as many callers are served in time', async (t) => {
  const without = hedgedLoad.simulate(overload)
  const hedged = hedgedLoad.simulate({ ...overload, limits: wide })
  t.matchSnapshot({ without: callersOf(without), hedged: callersOf(hedged) })
  t.ok(hedged.inTime >= without.inTime - 0.005, `${hedged.inTime} of ${without.inTime}`)
  t.ok(countDenials(hedged, 'waiting-calls') > 0)
  t.same(hedged.instances.flatMap(({ hedges }) => hedges.filter(({ waiting }) => waiting > 0)), [])
  t.equal(hedged.slotsLeft, 0)
})

for (const [name, limits, instances, mustReach] of [
  ['a share of requests', { requestShare: 0.03, slotShare: 1, percentile: 80 }, 6, 'request-share'],
  ['a share of slots', { requestShare: 1, slotShare: 0.02, percentile: 80 }, 6, 'slot-share'],
  ['both shares over 140 instances', { requestShare: 0.06, slotShare: 0.04, percentile: 80 }, 140, 'request-share']
] as const) {
  // Guards against limits that hold on average only, or for an instance but not for the sum.
  tap.t.test(`${name} holds in every window, for each instance and the sum`, async (t) => {
    const outcome = hedgedLoad.simulate({ ...moderate, limits, instances })
    const hedgesOf = (record: hedgedLoad.InstanceRecord): readonly number[] => record.hedges.map(({ at }) => at)
    t.ok(countDenials(outcome, mustReach) > 0, 'the limit is reached')
    t.ok(outcome.instances.some(({ hedges }) => hedges.length > 0))
    t.same(outcome.instances.flatMap((record) => findExcess(hedgesOf(record), record.requests, limits.requestShare)), [])
    t.same(findExcess(concat(outcome, hedgesOf), concat(outcome, ({ requests }) => requests), limits.requestShare), [])
    const sum = largestSlotShare(outcome.instances, moderate.durationMs, false)
    t.ok(sum <= limits.slotShare, `${sum} of the slot time of all instances`)
    const shares = outcome.instances.map((record) => largestSlotShare([record], moderate.durationMs, true))
    t.same(shares.filter((share) => share > limits.slotShare), [])
  })
}

// Guards against hedges beside the budget of all repeats.
tap.t.test('hedges and retries stay within the budget of repeats, however wide the shares are', async (t) => {
  const outcome = hedgedLoad.simulate({ ...moderate, limits: { requestShare: 1, slotShare: 1, percentile: 50 } })
  t.ok(countDenials(outcome, 'repeat-budget') > 0, 'the budget is reached')
  for (const { requests, hedges, retries } of outcome.instances) {
    const repeats = [...hedges.map(({ at }) => at), ...retries]
    // The instance's part of the additional repeats is at most a sixth of 20.
    const excess = repeats.filter((at) => countInWindow(repeats, at) > 0.2 * countInWindow(requests, at) + 20 / 6)
    t.same(excess, [])
  }
})

tap.t.test('non-idempotent calls get no hedge', async (t) => {
  const outcome = hedgedLoad.simulate({ ...moderate, durationMs: 10_000, limits: wide, lane: { idempotent: false } })
  t.same(concat(outcome, ({ hedges }) => hedges.map(({ at }) => at)), [])
})

const hedgeAfterMs = 10
const slots = 2
const unlimited: hedging.HedgingOptions = { requestShare: 1, slotShare: 1, percentile: 95, windowMs: hedgedLoad.windowMs }

/** One call beside many others, which only count. */
class CallHarness {
  readonly clock = new manualClock.ManualClock()
  readonly started: string[] = []
  readonly cancelled: string[] = []
  readonly events: transport.IAttemptEvents[] = []
  readonly suspects = new suspectTable.SuspectTable(this.clock)
  readonly dispatcher: dispatcher.Dispatcher
  readonly limits: hedging.Hedging
  readonly lane = fixtures.createLane({ deadlineMs: 1000, hedgeAfterMs, coldStartMs: 0 })
  probes: Array<(outcome: loadProbing.ProbeOutcome) => void> = []
  private readonly endpoints: readonly endpointTable.Endpoint[]
  private readonly source: endpointTable.IEndpointSource

  constructor (private readonly options: { readonly limits?: hedging.HedgingOptions, readonly isLimited?: boolean, readonly isProbed?: boolean, readonly workspace?: callSpec.CallSpec['workspace'], readonly requests?: number } = {}) {
    this.endpoints = ['d-1', 'd-2'].map((id) => ({ ...fixtures.createEndpoint(id, slots, 0), ...(options.isLimited === true && id === 'd-2' ? { limit: { perSecond: 100, revision: 1, knownSince: 0 } } : {}) }))
    this.source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => this.endpoints }
    this.dispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1, permits: new servicePermits.ServicePermits({ request: () => {} }, () => 1, { next: () => 0 }, this.clock) }, this.source, new adaptivePolicy.AdaptivePolicy({ next: () => 0 }), this.clock)
    this.limits = new hedging.Hedging(options.limits ?? unlimited, this.clock)
    // Earlier traffic, which allows hedges.
    const earlier = Array.from({ length: options.requests ?? 100 }, () => {
      this.limits.recordRequest()
      return this.limits.trackSlot(placement)
    })
    this.clock.advance(1000)
    for (const { release } of earlier) release()
  }

  start (): call.Call {
    const now = this.clock.now()
    const spec = { requestId: 'r', laneName: 'diary', lane: this.lane, workspace: this.options.workspace, arrivedAt: now, deadlineAt: now + this.lane.deadlineMs, identity: { fingerprint: 'f', isRetainable: true }, body: { isReplayable: true, isReceived: true, awaitsCaller: false, fault: undefined } }
    const budget = { take: () => true }
    const prober: loadProbing.IProber = {
      probe: (_endpoint, done) => {
        this.probes.push(done)
        return () => {}
      }
    }
    const started = new call.Call(spec, {
      probing: this.options.isProbed === true ? { deps: { dispatcher: this.dispatcher, prober, budget, clock: this.clock }, options: { candidates: 2, timeoutMs: 25, staggerMs: 0 } } : undefined,
      dispatcher: this.dispatcher,
      transport: {
        start: ({ endpoint }, events) => {
          this.started.push(endpoint)
          this.events.push(events)
          return { written: true, cancel: () => { this.cancelled.push(endpoint) }, abandon: () => {}, deliverHeld: () => {} }
        },
        checkTarget: () => {}
      },
      suspects: this.suspects,
      crashDetector: new crashDetection.CrashDetector(this.source, this.suspects, this.clock),
      budgets: { retries: budget, hedges: budget, healthChecks: budget },
      latency: new laneLatency.LaneLatency(),
      hedging: new hedging.LaneHedging(this.limits),
      domainPreference: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock: this.clock,
      random: { next: () => 0 }
    }, { onResponse: () => {}, onFailed: () => {} })
    started.start()
    return started
  }

  /** Lets calls take all slots and one more wait. */
  fillSlots (): void {
    const request: slotAssignment.SlotRequest = { lane: this.lane, priority: this.lane.priority, deadlineAt: Infinity, typicalMs: 1, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }
    while (this.dispatcher.waiting === 0) this.dispatcher.acquire(request, () => {})
  }

  completeProbes (): void {
    for (const done of this.probes.splice(0)) done({ kind: 'report', report: { running: 0, waiting: 0, slots, slowdown: 1 } })
  }

  get denials (): ReadonlyArray<readonly [string, number]> {
    return [...this.limits.state.denials]
  }

  get outcomes (): ReadonlyArray<readonly [string, number]> {
    return [...this.limits.state.outcomes]
  }
}

const placement = { release: () => {} } as unknown as slotAssignment.Placement

tap.t.test('the loser of two attempts is cancelled, and its slot is free again', async (t) => {
  const harness = new CallHarness()
  harness.start()
  harness.clock.advance(hedgeAfterMs)
  t.same(harness.started, ['d-1', 'd-2'])
  t.equal(harness.dispatcher.inFlight, 2)
  harness.events[1]!.onHead({ status: 200, notRun: false })
  harness.events[1]!.onBodyEnd()
  t.same([harness.cancelled, harness.dispatcher.inFlight, harness.outcomes], [['d-1'], 0, [['won', 1]]])
})

tap.t.test('a hedge that fails, or whose first attempt responds, is counted so', async (t) => {
  const lost = new CallHarness()
  lost.start()
  lost.clock.advance(hedgeAfterMs)
  lost.events[0]!.onHead({ status: 200, notRun: false })
  t.same([lost.cancelled, lost.outcomes], [['d-2'], [['lost', 1]]])
  const failed = new CallHarness()
  failed.start()
  failed.clock.advance(hedgeAfterMs)
  failed.events[1]!.onFailure({ kind: 'refused', message: 'refused' })
  failed.events[0]!.onHead({ status: 200, notRun: false })
  t.same(failed.outcomes, [['failed', 1]])
})

// Guards against hedges that run on once the limit is used up.
tap.t.test('a hedge is cancelled when no slot time is left for it, and the first attempt goes on', async (t) => {
  const harness = new CallHarness({ limits: { ...unlimited, slotShare: 0.0002 }, requests: 100 })
  harness.start()
  harness.clock.advance(hedgeAfterMs)
  t.same(harness.started, ['d-1', 'd-2'])
  harness.clock.advance(100)
  t.same([harness.cancelled, harness.outcomes, harness.dispatcher.inFlight], [['d-2'], [['stopped', 1]], 1])
  harness.events[0]!.onHead({ status: 200, notRun: false })
  t.same(harness.outcomes, [['stopped', 1]])
})

tap.t.test('a suspect or quarantined request gets no hedge, also when it becomes one while the first attempt runs', async (t) => {
  for (const crashes of [1, 2]) {
    const harness = new CallHarness()
    harness.start()
    for (let i = 0; i < crashes; i++) harness.suspects.reportCrash('f', `crash-${i}`)
    harness.clock.advance(400)
    t.same([harness.started, harness.denials], [['d-1'], [['suspect', 1]]])
  }
})

tap.t.test('no hedge is sent while calls wait, also if they began to wait during the load probes', async (t) => {
  const harness = new CallHarness()
  harness.start()
  harness.fillSlots()
  harness.clock.advance(hedgeAfterMs)
  t.same([harness.started.length, harness.denials], [1, [['waiting-calls', 1]]])
  const probed = new CallHarness({ isProbed: true })
  probed.start()
  probed.completeProbes()
  probed.clock.advance(hedgeAfterMs)
  probed.fillSlots()
  probed.completeProbes()
  t.same([probed.started.length, probed.denials], [1, [['waiting-calls', 1]]])
})

tap.t.test('an endpoint that names a limit gets no hedge', async (t) => {
  const harness = new CallHarness({ isLimited: true })
  harness.start()
  harness.clock.advance(400)
  t.same([harness.started, harness.denials], [['d-1'], [['no-free-slot', 1]]])
})

tap.t.test('a workspace over its quota gets no hedge', async (t) => {
  const workspace = { name: 'w', workspace: { apiKeys: [] } }
  const harness = new CallHarness({ limits: { ...unlimited, isAllowed: (name) => name !== 'w' }, workspace })
  harness.start()
  harness.clock.advance(400)
  t.same([harness.started, harness.denials], [['d-1'], [['workspace', 1]]])
})

// Guards against a percentile that sinks with each hedge, because slow attempts are cancelled before their response.
tap.t.test('a first attempt that a hedge has overtaken counts with the time that it had run', async (t) => {
  const limits = new hedging.Hedging(unlimited, new manualClock.ManualClock())
  const lane = new hedging.LaneHedging(limits)
  for (let i = 0; i < 19; i++) lane.recordFirstAttempt(10)
  t.equal(lane.delayMs(0, 77), 77, 'the usual delay until enough responses are known')
  t.equal(lane.delayMs(5, 77), 5, 'a configured delay takes precedence')
  lane.recordFirstAttempt(10)
  t.equal(lane.delayMs(0, 77), 10)
  const harness = new CallHarness()
  const recorded: number[] = []
  const record = hedging.LaneHedging.prototype.recordFirstAttempt
  hedging.LaneHedging.prototype.recordFirstAttempt = (ms) => { recorded.push(ms) }
  t.teardown(() => { hedging.LaneHedging.prototype.recordFirstAttempt = record })
  harness.start()
  harness.clock.advance(hedgeAfterMs + 7)
  harness.events[1]!.onHead({ status: 200, notRun: false })
  t.same(recorded, [hedgeAfterMs + 7])
})

tap.t.test('a percentile is that of the newest latencies', async (t) => {
  const recent = new recentLatencies.RecentLatencies()
  t.equal(recent.percentileMs(95), undefined)
  for (let ms = 1; ms <= 1000; ms++) recent.record(ms)
  t.equal(recent.percentileMs(50), 936)
  t.equal(recent.percentileMs(99), 999)
})
