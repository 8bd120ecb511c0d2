/** How many endpoints a call takes when a hedge's endpoints are being asked for their load while the first answer fails. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as call from '../common/call.js'
import * as deathWatch from '../common/deathWatch.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as laneLatency from '../common/laneLatency.js'
import type * as loadProbing from '../common/loadProbing.js'
import type * as transport from '../common/transport.js'
import * as fixtures from './fixtures.js'

const hedgeAfterMs = 10
const maxAttempts = 2
const slots = 4
const lane = fixtures.laneWith({ deadlineMs: 1000, maxAttempts, hedgeAfterMs })
const granted = { take: () => true }
const idle: loadProbing.ProbeOutcome = { kind: 'report', report: { running: 0, waiting: 0, slots, slowdown: 1 } }

/** One call; the test answers its probes and attempts. */
class OneCall {
  readonly clock = new manualClock.ManualClock()
  readonly attempts: transport.IAttemptEvents[] = []
  readonly outcomes: string[] = []
  private probes: Array<(outcome: loadProbing.ProbeOutcome) => void> = []

  constructor () {
    const endpoints = ['d-1', 'd-2', 'd-3', 'd-4', 'd-5'].map((id) => fixtures.endpointWith(id, slots, 0))
    const source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => endpoints }
    const suspects = new suspectTable.SuspectTable(this.clock)
    const placer = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1 }, source, new adaptivePolicy.AdaptivePolicy({ next: () => 0.5 }), this.clock)
    const prober: loadProbing.IProber = {
      probe: (_endpoint, done) => {
        this.probes.push(done)
        return () => {}
      }
    }
    const started: transport.IAttempt = { written: true, cancel: () => {}, abandon: () => {} }
    new call.Call({ requestId: 'r', laneName: 'diary', lane, arrivedAt: 0, deadlineAt: lane.deadlineMs, identity: { fingerprint: 'f', isLight: true }, replayable: () => true }, {
      probing: { deps: { dispatcher: placer, prober, budget: granted, clock: this.clock }, options: { candidates: 2, timeoutMs: 25, staggerMs: 8 } },
      dispatcher: placer,
      transport: {
        start: (_endpoint, events) => {
          this.attempts.push(events)
          return started
        },
        replaceConnection: () => {}
      },
      suspects,
      deaths: new deathWatch.DeathWatch(source, suspects, this.clock),
      budgets: { retries: granted, hedges: granted, measuring: granted },
      latency: new laneLatency.LaneLatency(),
      domains: new domainPreference.DomainPreference(),
      decisions: new decisionLog.NullDecisionLog(),
      clock: this.clock,
      random: { next: () => 0.5 }
    }, {
      onAnswer: ({ head }) => { this.outcomes.push(String(head.status)) },
      onRefused: ({ kind }) => { this.outcomes.push(kind) }
    }).start()
  }

  answerProbes (): void {
    for (const done of this.probes.splice(0)) done(idle)
  }
}

tap.t.test('a hedge that is about to be sent is the retry: no third endpoint is asked', async (t) => {
  const one = new OneCall()
  one.answerProbes()
  one.clock.advance(hedgeAfterMs)
  t.equal(one.attempts.length, 1, 'the hedge waits for its probe')
  one.attempts[0]!.onHead({ status: 500, notRun: false })
  one.answerProbes()
  t.equal(one.attempts.length, maxAttempts)
  one.attempts[1]!.onHead({ status: 200, notRun: false })
  t.same(one.outcomes, ['200'])
})

tap.t.test('after a run whose answer was dropped, a call is never said not to have run', async (t) => {
  const one = new OneCall()
  one.answerProbes()
  one.attempts[0]!.onHead({ status: 500, notRun: false })
  one.answerProbes()
  one.attempts[1]!.onHead({ status: 503, notRun: true })
  t.same(one.outcomes, ['unknown'])
})
