/** Orders to evacuate that a replica handles late: the operator may have given others since, and got them acknowledged by other replicas. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as evacuationService from '../node/evacuationService.js'
import type * as controlService from '../node/controlService.js'

const settleMs = 200

class Fixture {
  proposals = 0
  leaderId = 'first'
  isStale = false
  suspendedMs = 0
  readonly outcome = new async.Deferred<void>()
  private readonly service = {
    depart: async () => {
      // Only the first leader does not respond.
      if (++this.proposals === 1) await this.outcome.promise
    },
    replica: { state: { evacuations: { revision: 1, has: () => false } } }
  }

  readonly evacuations: evacuationService.EvacuationService

  constructor () {
    Object.defineProperty(this.service.replica, 'leaderId', { get: () => this.leaderId })
    const time = { mark: () => ({ monotonicMs: performance.now(), timeOfDayMs: performance.now() + this.suspendedMs, uptimeMs: 0 }) }
    this.evacuations = new evacuationService.EvacuationService(this.service as unknown as controlService.ControlService, undefined, new decisionLog.NullDecisionLog(), { mayInputBeStale: () => this.isStale }, time)
  }

  /** Sends an order and returns the kind of its fault, or `acknowledged`. */
  async order (): Promise<string> {
    try {
      await this.evacuations.order({ failureDomain: 'a', active: true, field: 'ZONE' })
      return 'acknowledged'
    } catch (err) {
      return errors.faultOf(err).kind
    }
  }
}

// Guards against an evacuation that comes back after its withdrawal, since a suspended replica reads a copy of the order only when it resumes.
tap.t.test('an order that may have waited for the end of a pause is not proposed', async (t) => {
  const fixture = new Fixture()
  fixture.isStale = true
  t.equal(await fixture.order(), 'not-run')
  t.equal(fixture.proposals, 0)
})

// Guards against the same when the replica was suspended while it waited for a leader.
tap.t.test('an order is proposed to another leader only while it is fresh', async (t) => {
  for (const [suspendedMs, outcome, proposals] of [[0, 'acknowledged', 2], [10_000, 'unknown', 1]] as const) {
    const fixture = new Fixture()
    const order = fixture.order()
    await async.sleep(settleMs)
    fixture.suspendedMs = suspendedMs
    fixture.leaderId = 'second'
    t.equal(await order, outcome)
    t.equal(fixture.proposals, proposals)
  }
})
