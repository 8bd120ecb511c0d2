/** Attempts of a call by the state of its request body: while an attempt waits for the caller, while none does, and once the body can't be sent again. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as call from '../common/call.js'
import * as crashDetection from '../common/crashDetection.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as laneLatency from '../common/laneLatency.js'
import type * as callSpec from '../common/callSpec.js'
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'

const slots = 4
const deadlineMs = 1000
const hedgeAfterMs = 100
/** An attempt times out after half of the time until the deadline. */
const attemptTimeoutMs = 500
const maxRetryAfterS = 1
const base = { deadlineMs, maxWaitMs: deadlineMs, maxAttempts: 2, hedgeAfterMs }
const hedgingLane = fixtures.createLane(base)
const retryingLane = fixtures.createLane({ ...base, hedgeAfterMs: deadlineMs })
const unsafeLane = fixtures.createLane({ ...base, idempotent: false, shedStatuses: [429] })
const unlimitedBudget = { take: () => true }

/** Runs one call, whose body the test changes. */
class CallHarness {
  readonly clock = new manualClock.ManualClock()
  readonly attempts: transport.IAttemptEvents[] = []
  readonly body: { -readonly [K in keyof callSpec.IRequestBody]: callSpec.IRequestBody[K] } = { isReplayable: true, isReceived: true, awaitsCaller: true, fault: undefined }
  /** What is held against endpoints. */
  readonly blame: string[] = []
  readonly faults: errors.Fault[] = []

  constructor (lane: configDocument.Lane) {
    const endpoints = ['d-1', 'd-2', 'd-3'].map((id) => fixtures.createEndpoint(id, slots, 0))
    const source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => endpoints }
    const pool = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1 }, source, new adaptivePolicy.AdaptivePolicy({ next: () => 0.5 }), this.clock)
    const acquire = pool.acquire.bind(pool)
    pool.acquire = (req, done) => acquire(req, (outcome) => {
      if (outcome.placed) outcome.placement.stats.recordFailure = () => { this.blame.push('failed') }
      done(outcome)
    })
    const suspects = new suspectTable.SuspectTable(this.clock)
    new call.Call({ requestId: 'r', laneName: 'diary', lane, arrivedAt: 0, deadlineAt: deadlineMs, identity: { fingerprint: 'f', isRetainable: true }, body: this.body }, {
      dispatcher: pool,
      transport: {
        start: (_endpoint, events) => {
          this.attempts.push(events)
          return { written: true, cancel: () => {}, abandon: () => {}, deliverHeld: () => {} }
        },
        checkTarget: () => { this.blame.push('checked') }
      },
      suspects,
      crashDetector: new crashDetection.CrashDetector(source, suspects, this.clock),
      budgets: { retries: unlimitedBudget, hedges: unlimitedBudget, healthChecks: unlimitedBudget },
      latency: new laneLatency.LaneLatency(),
      domainPreference: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock: this.clock,
      random: { next: () => 0.5 }
    }, {
      onResponse: () => {},
      onFailed: (fault) => { this.faults.push(fault) }
    }).start()
  }
}

for (const [name, lane, dueMs, latestMs] of [
  ['a hedge', hedgingLane, hedgeAfterMs, attemptTimeoutMs - 1],
  ['a retry after a time-out', retryingLane, attemptTimeoutMs, deadlineMs - 1]
] as const) {
  tap.t.test(`${name} starts once no attempt waits for the caller to send more of the body, not before`, async (t) => {
    for (const [sentAt, ms, attempts] of [
      [dueMs - 1, dueMs - 1, 1],
      [dueMs - 1, dueMs, 2],
      [dueMs + 1, dueMs + 1, 1],
      [dueMs + 1, latestMs, 2],
      [latestMs + 1, latestMs, 1]
    ] as const) {
      const harness = new CallHarness(lane)
      harness.clock.after(sentAt, () => { harness.body.awaitsCaller = false })
      harness.clock.advance(ms)
      t.equal(harness.attempts.length, attempts, `waits until ${sentAt}, ${ms} ms after the start`)
    }
  })

  tap.t.test(`${name} does not start for a body that can't be sent again`, async (t) => {
    const harness = new CallHarness(lane)
    Object.assign(harness.body, { awaitsCaller: false, isReplayable: false })
    harness.clock.advance(deadlineMs - 1)
    t.equal(harness.attempts.length, 1)
  })
}

for (const [name, status, notRun] of [
  ['a rejection', 503, true],
  ['a status of another endpoint', 421, true],
  ['a shed status', 429, false]
] as const) {
  for (const awaitsCaller of [true, false]) {
    tap.t.test(`${name} is followed by a retry while the body can be sent again, else by a fault at once (waits for the caller: ${awaitsCaller})`, async (t) => {
      for (const isReplayable of [true, false]) {
        const harness = new CallHarness(unsafeLane)
        Object.assign(harness.body, { awaitsCaller, isReplayable })
        harness.attempts[0]!.onHead({ status, notRun })
        t.equal(harness.attempts.length, isReplayable ? 2 : 1)
        t.same(harness.faults.map(({ kind }) => kind), isReplayable ? [] : ['not-run'])
        for (const fault of harness.faults) t.ok('retryAfterS' in fault && fault.retryAfterS! > 0 && fault.retryAfterS! <= maxRetryAfterS)
      }
    })
  }
}

tap.t.test('an error response of an idempotent call is passed on if the body cannot be sent again', async (t) => {
  for (const isReplayable of [true, false]) {
    const harness = new CallHarness(retryingLane)
    Object.assign(harness.body, { awaitsCaller: false, isReplayable })
    harness.attempts[0]!.onHead({ status: 500, notRun: false })
    t.equal(harness.attempts.length, isReplayable ? 2 : 1)
    t.same(harness.faults, [])
  }
})

for (const kind of ['lost', 'not-written'] as const) {
  // Guards against endpoints that are ejected because callers leave or stall in the middle of their bodies.
  tap.t.test(`an attempt that ends since its caller does not send the body is not held against the endpoint (${kind})`, async (t) => {
    for (const fault of [undefined, { kind: 'bad-request', message: 'the caller sent no data of the body in time' } as const]) {
      const harness = new CallHarness(unsafeLane)
      Object.assign(harness.body, { fault, isReplayable: fault === undefined })
      harness.attempts[0]!.onFailure({ kind, message: 'broken off' })
      t.equal(harness.blame.length > 0, fault === undefined)
      if (fault !== undefined) t.same(harness.faults.map((each) => each.kind), [kind === 'lost' ? 'unknown' : 'not-run'])
    }
  })
}
