/** Calls whose targets crash: how many endpoints they may use, and which requests become suspects. */
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
import * as targetReachability from '../common/targetReachability.js'
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'

const deadlineMs = 1000
const hedgeAfterMs = 10
const slots = 4

/** An attempt in flight, which the test ends. */
interface StartedAttempt {
  readonly endpoint: endpointTable.Endpoint
  readonly events: transport.IAttemptEvents
  isAbandoned: boolean
}

/** One entry instance and its endpoints; the test simulates the targets. */
class Instance {
  readonly clock = new manualClock.ManualClock()
  readonly link = new fixtures.FakeLink()
  readonly suspects = new suspectTable.SuspectTable(this.clock)
  readonly attempts: StartedAttempt[] = []
  readonly outcomes: string[] = []
  /** Times after which callers of requests that were not run may retry, in seconds. */
  readonly retryAfterS: number[] = []
  health: transport.TargetHealth = 'unsure'
  private readonly changed = new event.Emitter<endpointTable.Endpoint>()
  private readonly endpoints: readonly endpointTable.Endpoint[] = ['d-1', 'd-2', 'd-3', 'd-4', 'd-5'].map((id) => fixtures.createEndpoint(id, slots, 0))
  private readonly source = { onChanged: this.changed.event, routable: () => this.endpoints }
  readonly crashDetector = new crashDetection.CrashDetector(this.source, this.suspects, this.clock, this.link)
  private readonly dispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1 },
    this.source, new adaptivePolicy.AdaptivePolicy({ next: () => 0.5 }), this.clock)

  call (fingerprint: string): void {
    const unlimitedBudget = { take: () => true }
    const spec = {
      requestId: fingerprint,
      laneName: 'diary',
      lane,
      arrivedAt: this.clock.now(),
      deadlineAt: this.clock.now() + deadlineMs,
      identity: { fingerprint, isRetainable: true },
      body: { isReplayable: true, isReceived: true, awaitsCaller: false, fault: undefined }
    }
    new call.Call(spec, {
      dispatcher: this.dispatcher,
      transport: this.transport(),
      suspects: this.suspects,
      crashDetector: this.crashDetector,
      budgets: { retries: unlimitedBudget, hedges: unlimitedBudget, healthChecks: unlimitedBudget },
      latency: new laneLatency.LaneLatency(),
      domainPreference: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock: this.clock,
      random: { next: () => 0.5 }
    }, {
      onResponse: ({ endpoint }) => { this.outcomes.push(`${fingerprint} served by ${endpoint.endpoint}`) },
      onFailed: (fault) => {
        this.outcomes.push(`${fingerprint} ${fault.kind}`)
        if (fault.kind === 'not-run') this.retryAfterS.push(fault.retryAfterS)
      }
    }).start()
  }

  loseConnection (attempt: number): void {
    this.attempts[attempt]!.events.onFailure({ kind: 'lost', message: 'other side closed' })
  }

  /** Refuses the connection of an attempt, as if nothing listened at the endpoint. */
  refuseConnection (attempt: number): void {
    this.attempts[attempt]!.events.onFailure({ kind: 'refused', message: 'connect ECONNREFUSED' })
  }

  respond (attempt: number): void {
    this.attempts[attempt]!.events.onHead({ status: 200, notRun: false })
    this.attempts[attempt]!.events.onBodyEnd()
  }

  /** Announces a new incarnation of the target of an attempt. */
  restartTarget (attempt: number): void {
    const { endpoint } = this.attempts[attempt]!
    this.changed.fire({ ...endpoint, incarnation: endpoint.incarnation + 1 })
  }

  private transport (): transport.ITransport {
    return {
      start: (endpoint, events) => {
        const attempt = { endpoint, events, isAbandoned: false }
        this.attempts.push(attempt)
        return { written: true, cancel: () => {}, abandon: () => { attempt.isAbandoned = true }, deliverHeld: () => {} }
      },
      checkTarget: (_endpoint, _canCheckAgain, done) => done(this.health)
    }
  }
}

const lane = fixtures.createLane({ deadlineMs, priority: 'urgent', hedgeAfterMs })

tap.t.test('a call whose first attempt and hedge both get no response starts no third attempt', async (t) => {
  const instance = new Instance()
  instance.call('crashing')
  instance.clock.advance(deadlineMs - 1)
  t.equal(instance.attempts.length, 2)
  t.notOk(instance.attempts.some(({ isAbandoned }) => isAbandoned), 'both may still get a response')
  instance.clock.advance(1)
  t.same(instance.outcomes, ['crashing unknown'])
})

tap.t.test('a hedge may get its response after half the deadline', async (t) => {
  const instance = new Instance()
  instance.call('slow')
  instance.clock.advance(deadlineMs - 1)
  instance.respond(1)
  t.same(instance.outcomes, ['slow served by d-2'])
})

tap.t.test('a request whose first attempt and hedge were lost is quarantined before its caller gets a response', async (t) => {
  const instance = new Instance()
  instance.call('crashing')
  instance.clock.advance(hedgeAfterMs)
  const statuses: string[] = []
  instance.suspects.onChanged(() => statuses.push(`${instance.suspects.getStatus('crashing')} after ${instance.outcomes.length} outcomes`))
  instance.loseConnection(0)
  t.same(instance.outcomes, [], 'the hedge may still get a response')
  instance.loseConnection(1)
  t.same(statuses, ['suspect after 0 outcomes', 'quarantined after 0 outcomes'])
  instance.call('crashing')
  t.same(instance.outcomes, ['crashing unknown', 'crashing quarantined'])
})

tap.t.test('when one endpoint is known to have crashed, the unanswered attempt at the other endpoint counts as a crash too, until that endpoint responds', async (t) => {
  const instance = new Instance()
  instance.call('crashing')
  instance.clock.advance(deadlineMs)
  t.equal(instance.suspects.getStatus('crashing'), 'clear')
  instance.restartTarget(0)
  t.equal(instance.suspects.getStatus('crashing'), 'quarantined')
  instance.crashDetector.recordRunning(instance.attempts[1]!.endpoint, instance.clock.now())
  t.equal(instance.suspects.getStatus('crashing'), 'suspect')
})

tap.t.test('a response to a request that started before a lost attempt does not prove that the endpoint is alive', async (t) => {
  const instance = new Instance()
  instance.call('crashing')
  const [{ endpoint }] = instance.attempts as [StartedAttempt]
  instance.clock.advance(1)
  instance.loseConnection(0)
  instance.crashDetector.recordRunning(endpoint, 0)
  instance.crashDetector.recordConnectionRefused(endpoint)
  t.equal(instance.suspects.getStatus('crashing'), 'suspect')
})

tap.t.test('a response to a request that started after a lost attempt proves that the endpoint is alive', async (t) => {
  const instance = new Instance()
  instance.call('unlucky')
  const [{ endpoint }] = instance.attempts as [StartedAttempt]
  instance.loseConnection(0)
  instance.clock.advance(1)
  instance.crashDetector.recordRunning(endpoint, instance.clock.now())
  instance.crashDetector.recordConnectionRefused(endpoint)
  t.equal(instance.suspects.getStatus('unlucky'), 'clear')
})

tap.t.test('a request to which another endpoint responded meanwhile does not become a suspect', async (t) => {
  const instance = new Instance()
  instance.call('popular')
  instance.call('popular')
  instance.clock.advance(1)
  instance.respond(0)
  instance.clock.advance(1)
  instance.loseConnection(1)
  instance.crashDetector.recordConnectionRefused(instance.attempts[1]!.endpoint)
  t.equal(instance.suspects.getStatus('popular'), 'clear')
})

tap.t.test('a success before the lost attempt started does not clear a request', async (t) => {
  const instance = new Instance()
  instance.call('changed')
  instance.respond(0)
  instance.clock.advance(1)
  instance.call('changed')
  instance.loseConnection(1)
  instance.crashDetector.recordConnectionRefused(instance.attempts[1]!.endpoint)
  t.equal(instance.suspects.getStatus('changed'), 'suspect')
})

tap.t.test('a lost attempt of a request that is already a suspect does not keep others from becoming suspects', async (t) => {
  const instance = new Instance()
  instance.suspects.reportCrash('known', 'd-9')
  instance.call('crashing')
  const [{ endpoint }] = instance.attempts as [StartedAttempt]
  instance.loseConnection(0)
  instance.crashDetector.recordUnansweredAttempt(endpoint, { fingerprint: 'known', startedAt: 0, kind: 'lost' })
  instance.crashDetector.recordConnectionRefused(endpoint)
  t.equal(instance.suspects.getStatus('crashing'), 'suspect')
})

tap.t.test('a call reaches the only running endpoint when all others refuse connections', async (t) => {
  const instance = new Instance()
  instance.call('any')
  for (let i = 0; i < 4; i++) instance.refuseConnection(i)
  instance.respond(4)
  t.same(instance.outcomes, ['any served by d-5'])
})

tap.t.test('after refused connections, the next call goes to the running endpoint first', async (t) => {
  const instance = new Instance()
  instance.call('any')
  for (let i = 0; i < 2; i++) instance.refuseConnection(i)
  instance.respond(2)
  instance.call('next')
  t.equal(instance.attempts[3]?.endpoint.endpoint, 'd-3')
})

tap.t.test('a request that crashes the same endpoint twice is quarantined', async (t) => {
  const instance = new Instance()
  const endpoint = fixtures.createEndpoint('d-1', slots, 0)
  for (const incarnation of [1, 2]) {
    instance.crashDetector.recordUnansweredAttempt({ ...endpoint, incarnation }, { fingerprint: 'crashing', startedAt: 0, kind: 'lost' })
    instance.crashDetector.recordConnectionRefused({ ...endpoint, incarnation })
  }
  t.equal(instance.suspects.getStatus('crashing'), 'quarantined')
})

tap.t.test('the caller of a request that every endpoint shed may retry well before the deadline', async (t) => {
  const instance = new Instance()
  instance.call('shed')
  for (let i = 0; i < instance.attempts.length; i++) instance.attempts[i]!.events.onHead({ status: 503, notRun: true })
  t.same(instance.outcomes, ['shed not-run'])
  t.ok(instance.retryAfterS[0]! < deadlineMs / 3 / 1000, `${instance.retryAfterS[0]} s`)
})

tap.t.test('while a partition is suspected, neither a crash nor an outcome is decided', async (t) => {
  const instance = new Instance()
  instance.health = 'down'
  instance.call('crashing')
  instance.link.suspect()
  instance.loseConnection(0)
  t.equal(instance.suspects.getStatus('crashing'), 'clear')
  t.same(instance.outcomes, [])
  instance.link.decide(false)
  t.equal(instance.suspects.getStatus('crashing'), 'suspect')
  t.same(instance.outcomes, ['crashing unknown'], 'the endpoint has crashed')
})

tap.t.test('a hedged request that loses both connections in a suspected partition is quarantined once that is refuted', async (t) => {
  const instance = new Instance()
  instance.health = 'down'
  instance.call('crashing')
  instance.clock.advance(hedgeAfterMs)
  instance.link.suspect()
  instance.loseConnection(0)
  instance.loseConnection(1)
  t.same(instance.outcomes, [])
  const statuses: string[] = []
  instance.suspects.onChanged(() => statuses.push(`${instance.suspects.getStatus('crashing')} after ${instance.outcomes.length} outcomes`))
  instance.link.decide(false)
  t.same(statuses, ['suspect after 0 outcomes', 'quarantined after 0 outcomes'])
  t.same(instance.outcomes, ['crashing unknown'])
})

tap.t.test('a lost connection in a partition is no crash, and the call is retried', async (t) => {
  const instance = new Instance()
  instance.health = 'down'
  instance.call('unlucky')
  instance.link.suspect()
  instance.loseConnection(0)
  instance.link.decide(true)
  t.equal(instance.suspects.getStatus('unlucky'), 'clear')
  t.equal(instance.attempts.length, 2)
  instance.loseConnection(1)
  instance.link.decide(false)
  instance.restartTarget(1)
  t.equal(instance.suspects.getStatus('unlucky'), 'clear', 'attempts that failed in a partition are not kept')
})

tap.t.test('crashes reported just before the partition is noticed are withdrawn, earlier ones are not', async (t) => {
  const instance = new Instance()
  instance.health = 'down'
  instance.call('crashing')
  instance.loseConnection(0)
  instance.clock.advance(targetReachability.withdrawalMs + 1)
  instance.call('unlucky')
  instance.loseConnection(1)
  t.equal(instance.suspects.getStatus('unlucky'), 'suspect')
  instance.call('unanswered')
  instance.clock.advance(deadlineMs)
  instance.link.decide(true)
  t.equal(instance.suspects.getStatus('unlucky'), 'clear')
  t.equal(instance.suspects.getStatus('crashing'), 'suspect')
  instance.link.decide(false)
  for (const attempt of instance.attempts.keys()) instance.restartTarget(attempt)
  t.equal(instance.suspects.getStatus('unanswered'), 'clear')
})
