/**
 * Attempts of a call whose first attempt fails: while the endpoints of a hedge are being probed, a retry must not be sent in
 * addition, and a call that may have run must not be reported as not run.
 */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as call from '../common/call.js'
import * as crashDetection from '../common/crashDetection.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as laneLatency from '../common/laneLatency.js'
import type * as loadProbing from '../common/loadProbing.js'
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'

const hedgeAfterMs = 10
const maxAttempts = 2
const slots = 4
const defaultLane = fixtures.createLane({ deadlineMs: 1000, maxAttempts, hedgeAfterMs })
/** The hedge is placed while the attempt times out, at half of the deadline. */
const lateHedgeLane = fixtures.createLane({ deadlineMs: 1000, maxAttempts, hedgeAfterMs: 490 })
const attemptTimeoutMs = 500
const unlimitedBudget = { take: () => true }
const overloadedOutcome: loadProbing.ProbeOutcome = { kind: 'report', report: { running: slots, waiting: 400, slots, slowdown: 1 } }
const idleOutcome: loadProbing.ProbeOutcome = { kind: 'report', report: { running: 0, waiting: 0, slots, slowdown: 1 } }

/** Runs one call; the test completes its probes and attempts. */
class CallHarness {
  readonly clock = new manualClock.ManualClock()
  readonly attempts: transport.IAttemptEvents[] = []
  readonly outcomes: string[] = []
  /** Number of attempts that were counted beyond the first for the quota of the workspace. */
  repeats = 0
  private readonly latency = new laneLatency.LaneLatency()
  private probes: Array<(outcome: loadProbing.ProbeOutcome) => void> = []

  constructor (private readonly lane = defaultLane) {
    const endpoints = ['d-1', 'd-2', 'd-3', 'd-4', 'd-5'].map((id) => fixtures.createEndpoint(id, slots, 0))
    const source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => endpoints }
    const suspects = new suspectTable.SuspectTable(this.clock)
    const callDispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1 }, source, new adaptivePolicy.AdaptivePolicy({ next: () => 0.5 }), this.clock)
    const prober: loadProbing.IProber = {
      probe: (_endpoint, done) => {
        this.probes.push(done)
        return () => {}
      }
    }
    const startedAttempt: transport.IAttempt = { written: true, cancel: () => {}, abandon: () => {}, deliverHeld: () => {} }
    new call.Call({ requestId: 'r', laneName: 'diary', lane, arrivedAt: 0, deadlineAt: lane.deadlineMs, identity: { fingerprint: 'f', isRetainable: true }, body: { isReplayable: true, isReceived: true, awaitsCaller: false, fault: undefined }, onRepeat: () => { this.repeats++ } }, {
      probing: { deps: { dispatcher: callDispatcher, prober, budget: unlimitedBudget, clock: this.clock }, options: { candidates: 2, timeoutMs: 25, staggerMs: 8 } },
      dispatcher: callDispatcher,
      transport: {
        start: (_endpoint, events) => {
          this.attempts.push(events)
          return startedAttempt
        },
        checkTarget: () => {}
      },
      suspects,
      crashDetector: new crashDetection.CrashDetector(source, suspects, this.clock),
      budgets: { retries: unlimitedBudget, hedges: unlimitedBudget, healthChecks: unlimitedBudget },
      latency: this.latency,
      domainPreference: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock: this.clock,
      random: { next: () => 0.5 }
    }, {
      onResponse: ({ head }) => { this.outcomes.push(String(head.status)) },
      onFailed: ({ kind }) => { this.outcomes.push(kind) }
    }).start()
  }

  get latencyMs (): number {
    return this.latency.typicalMs(this.lane, 0)
  }

  completeProbes (outcome: loadProbing.ProbeOutcome = idleOutcome): void {
    for (const done of this.probes.splice(0)) done(outcome)
  }
}

tap.t.test('a hedge that is about to be sent replaces the retry: no third attempt is sent', async (t) => {
  const harness = new CallHarness()
  harness.completeProbes()
  harness.clock.advance(hedgeAfterMs)
  t.equal(harness.attempts.length, 1, 'the hedge waits for its probe')
  harness.attempts[0]!.onHead({ status: 500, notRun: false })
  harness.completeProbes()
  t.equal(harness.attempts.length, maxAttempts)
  harness.attempts[1]!.onHead({ status: 200, notRun: false })
  t.same(harness.outcomes, ['200'])
})

tap.t.test('a call whose error response was discarded is not reported as not run', async (t) => {
  const harness = new CallHarness()
  harness.completeProbes()
  harness.attempts[0]!.onHead({ status: 500, notRun: false })
  harness.completeProbes()
  harness.attempts[1]!.onHead({ status: 503, notRun: true })
  t.same(harness.outcomes, ['unknown'])
})

tap.t.test('a timed-out attempt gets a retry after the hedge that was being placed at that moment does not start', async (t) => {
  const harness = new CallHarness(lateHedgeLane)
  harness.completeProbes()
  harness.clock.advance(attemptTimeoutMs + 1)
  harness.completeProbes(overloadedOutcome)
  harness.completeProbes(overloadedOutcome)
  t.equal(harness.attempts.length, 1, 'the hedge does not start')
  harness.clock.advance(attemptTimeoutMs / 10)
  harness.completeProbes()
  t.equal(harness.attempts.length, maxAttempts)
})

tap.t.test('an attempt whose response is held back is neither hedged nor replaced', async (t) => {
  const harness = new CallHarness()
  harness.completeProbes()
  t.ok(harness.attempts[0]!.tryHoldBack({ status: 200, notRun: false }))
  harness.clock.advance(attemptTimeoutMs + 1)
  harness.completeProbes()
  t.equal(harness.attempts.length, 1)
})

tap.t.test('a response that breaks off while it is held back is followed by a retry', async (t) => {
  const harness = new CallHarness()
  harness.completeProbes()
  harness.attempts[0]!.tryHoldBack({ status: 200, notRun: false })
  harness.attempts[0]!.onFailure({ kind: 'silent', message: 'the connection was reset' })
  harness.completeProbes()
  t.equal(harness.attempts.length, maxAttempts)
})

tap.t.test('a response that begins after its attempt has timed out is not held back, since a retry would replace the attempt', async (t) => {
  const harness = new CallHarness(lateHedgeLane)
  harness.completeProbes()
  harness.clock.advance(attemptTimeoutMs + 1)
  harness.completeProbes(overloadedOutcome)
  harness.completeProbes(overloadedOutcome)
  harness.clock.advance(attemptTimeoutMs / 10)
  t.notOk(harness.attempts[0]!.tryHoldBack({ status: 200, notRun: false }))
})

tap.t.test('an error response that would be replaced or was shed is not held back', async (t) => {
  for (const status of [500, 502, 503, 504]) {
    const harness = new CallHarness()
    harness.completeProbes()
    t.notOk(harness.attempts[0]!.tryHoldBack({ status, notRun: false }), String(status))
  }
})

tap.t.test('the time for which a response is held back is no part of its latency', async (t) => {
  const harness = new CallHarness()
  harness.completeProbes()
  harness.clock.advance(1)
  harness.attempts[0]!.tryHoldBack({ status: 200, notRun: false })
  harness.clock.advance(attemptTimeoutMs)
  harness.attempts[0]!.onHead({ status: 200, notRun: false })
  t.ok(harness.latencyMs < attemptTimeoutMs / 10, `${harness.latencyMs} ms`)
})

for (const [name, first, expected] of [
  ['a retry after a response that was discarded counts', { status: 500, notRun: false }, 1],
  ['a retry after a refusal by an endpoint that ran nothing does not count', { status: 503, notRun: true }, 0]
] as const) {
  tap.t.test(`${name} for the quota of the workspace`, async (t) => {
    const harness = new CallHarness()
    harness.completeProbes()
    harness.attempts[0]!.onHead(first)
    harness.completeProbes()
    t.same([harness.attempts.length, harness.repeats], [maxAttempts, expected])
  })
}

tap.t.test('a hedge counts for the quota of the workspace', async (t) => {
  const harness = new CallHarness()
  harness.completeProbes()
  harness.clock.advance(hedgeAfterMs)
  harness.completeProbes()
  t.same([harness.attempts.length, harness.repeats], [2, 1])
})
