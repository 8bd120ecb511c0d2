/**
 * Retries for which no endpoint has a slot: an attempt that an endpoint still works on must go on, and an error response must
 * reach the caller, until another attempt can start. Otherwise a fault of this instance takes the place of the endpoint's response.
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
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'

const deadlineMs = 1000
/** An attempt times out after half of the time until the deadline. */
const attemptTimeoutMs = 500
const workMs = 700
const lane = fixtures.createLane({ deadlineMs, maxWaitMs: deadlineMs, maxAttempts: 2, coldStartMs: 0, budgets: { hedgeRatio: 0 } })
const unlimitedBudget = { take: () => true }
const noBudget = { take: () => false }

/** Runs one call on endpoints with one slot each; the test completes its attempts. */
class CallHarness {
  readonly clock = new manualClock.ManualClock()
  readonly attempts: transport.IAttemptEvents[] = []
  readonly outcomes: string[] = []
  givenUpAttempts = 0
  private readonly dispatcher: dispatcher.Dispatcher

  constructor (endpointIds: readonly string[]) {
    const endpoints = endpointIds.map((id) => fixtures.createEndpoint(id, 1, 0))
    const source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => endpoints }
    const suspects = new suspectTable.SuspectTable(this.clock)
    this.dispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1 }, source, new adaptivePolicy.AdaptivePolicy({ next: () => 0.5 }), this.clock)
    const giveUp = (): void => { this.givenUpAttempts++ }
    new call.Call({ requestId: 'r', laneName: 'diary', lane, arrivedAt: 0, deadlineAt: deadlineMs, identity: { fingerprint: 'f', isRetainable: true }, body: { isReplayable: true, isReceived: true, awaitsCaller: false, fault: undefined } }, {
      dispatcher: this.dispatcher,
      transport: {
        start: (_endpoint, events) => {
          this.attempts.push(events)
          return { written: true, cancel: giveUp, abandon: giveUp, deliverHeld: () => {} }
        },
        checkTarget: () => {}
      },
      suspects,
      crashDetector: new crashDetection.CrashDetector(source, suspects, this.clock),
      budgets: { retries: unlimitedBudget, hedges: noBudget, healthChecks: noBudget },
      latency: new laneLatency.LaneLatency(),
      domainPreference: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock: this.clock,
      random: { next: () => 0.5 }
    }, {
      onResponse: ({ head }) => { this.outcomes.push(String(head.status)) },
      onFailed: ({ kind }) => { this.outcomes.push(kind) }
    }).start()
  }

  /** Takes the free slots for other calls, which hold them until the end of the test. */
  takeFreeSlots (): void {
    let isPlaced = true
    while (isPlaced) {
      isPlaced = false
      const withdraw = this.dispatcher.acquire({ lane, priority: lane.priority, deadlineAt: deadlineMs, targetAt: undefined, typicalMs: 1, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }, ({ placed }) => { isPlaced = placed })
      withdraw()
    }
  }
}

for (const [name, endpointIds] of [
  ['the only endpoint', ['d-1']],
  ['an endpoint while all others are busy', ['d-1', 'd-2']]
] as const) {
  tap.t.test(`a slow attempt at ${name} goes on after the attempt timeout, since no retry can start`, async (t) => {
    const harness = new CallHarness(endpointIds)
    harness.takeFreeSlots()
    harness.clock.advance(attemptTimeoutMs + 1)
    t.same([harness.givenUpAttempts, harness.outcomes], [0, []], 'the endpoint is still at work')
    harness.clock.advance(workMs - attemptTimeoutMs)
    harness.attempts[0]!.onHead({ status: 200, notRun: false })
    t.same(harness.outcomes, ['200'])
  })

  tap.t.test(`an error response of ${name} reaches the caller, since no retry can start`, async (t) => {
    const harness = new CallHarness(endpointIds)
    harness.takeFreeSlots()
    harness.attempts[0]!.onHead({ status: 500, notRun: false })
    harness.clock.advance(deadlineMs)
    t.same(harness.outcomes, ['500'])
  })
}

tap.t.test('an error response of a slow attempt reaches the caller while its retry waits for a slot', async (t) => {
  const harness = new CallHarness(['d-1', 'd-2'])
  harness.takeFreeSlots()
  harness.clock.advance(attemptTimeoutMs + 1)
  harness.attempts[0]!.onHead({ status: 500, notRun: false })
  harness.clock.advance(deadlineMs)
  t.same(harness.outcomes, ['500'])
})

tap.t.test('a slow attempt is given up for a retry once another endpoint can take it', async (t) => {
  const harness = new CallHarness(['d-1', 'd-2'])
  harness.clock.advance(attemptTimeoutMs + 1)
  t.same([harness.givenUpAttempts, harness.attempts.length, harness.outcomes], [1, 2, []])
  harness.attempts[1]!.onHead({ status: 200, notRun: false })
  t.same(harness.outcomes, ['200'])
})
