/** Calls and placed requests when failure domains are evacuated: what is served, refused and kept back. */
import * as tap from 'tap'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import type * as announcement from '@rosemaryrack/fleet/common/announcement.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as evacuationTable from '@rosemaryrack/fleet/common/evacuationTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as endpointNotices from '../common/endpointNotices.js'
import type * as slotAssignment from '../common/slotAssignment.js'
import * as fixtures from './fixtures.js'

const lane = fixtures.createLane({ deadlineMs: 10_000, maxWaitMs: 5000 })

function announce (endpoint: string, failureDomain: string): announcement.Announcement {
  const { announcedAt: _now, ...rest } = fixtures.createEndpoint(endpoint, 1, 0)
  return { ...rest, failureDomain, address: `127.0.0.1:${9000 + endpoint.charCodeAt(0)}`, leaseMs: 600_000 }
}

class Instance {
  readonly clock = new manualClock.ManualClock()
  readonly evacuations = new evacuationTable.EvacuationTable(this.clock)
  readonly table = new endpointTable.EndpointTable(this.clock, this.evacuations)
  readonly notices = new endpointNotices.EndpointNotices({ onLeaving: () => {}, onLimit: () => {} }, this.table, this.clock, new decisionLog.NullDecisionLog())
  readonly dispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1, notices: this.notices }, this.table, new adaptivePolicy.AdaptivePolicy({ next: () => 0 }), this.clock)
  readonly placed: slotAssignment.Placement[] = []
  readonly faults: errors.Fault[] = []

  constructor (endpoints: Readonly<Record<string, string>>) {
    for (const [id, failureDomain] of Object.entries(endpoints)) this.table.apply(announce(id, failureDomain), 0)
  }

  call (exclude: readonly string[] = []): void {
    const request: slotAssignment.SlotRequest = { lane, priority: lane.priority, deadlineAt: this.clock.now() + lane.deadlineMs, typicalMs: 100, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set(exclude) }
    this.dispatcher.acquire(request, (outcome) => {
      if (outcome.placed) this.placed.push(outcome.placement)
      else this.faults.push(outcome.fault)
    })
  }
}

tap.t.test('a request that was placed before the evacuation may not be sent any more, and its slot serves a queued call elsewhere only', async (t) => {
  const instance = new Instance({ a: 'a', b: 'b' })
  instance.call()
  instance.call()
  instance.call()
  const onB = instance.placed.find(({ endpoint }) => endpoint.endpoint === 'b')!
  const onA = instance.placed.find(({ endpoint }) => endpoint.endpoint === 'a')!
  t.ok(instance.notices.canSend(onB.endpoint))
  instance.evacuations.apply({ revision: 1n, failureDomains: ['b'] })
  t.notOk(instance.notices.canSend(onB.endpoint))
  t.ok(instance.notices.canSend(onA.endpoint))
  onB.release()
  t.equal(instance.placed.length, 2)
  onA.release()
  t.equal(instance.placed[2]?.endpoint.endpoint, 'a')
})

tap.t.test('queued and new calls that have no endpoint left are refused at once; others stay queued', async (t) => {
  const instance = new Instance({ a: 'a', b: 'b' })
  instance.call()
  instance.call()
  instance.call()
  instance.call(['a'])
  instance.evacuations.apply({ revision: 1n, failureDomains: ['b'] })
  t.same([instance.faults.length, instance.dispatcher.waiting], [1, 1])
  instance.evacuations.apply({ revision: 2n, failureDomains: ['a', 'b'] })
  instance.call()
  t.match(instance.faults, [1, 2, 3].map(() => ({ kind: 'not-run', retryAfterS: 1 })))
  t.equal(instance.dispatcher.waiting, 0)
})

tap.t.test('a withdrawal serves the queued calls', async (t) => {
  const instance = new Instance({ a: 'a', b: 'b' })
  instance.evacuations.apply({ revision: 1n, failureDomains: ['b'] })
  instance.call()
  instance.call()
  t.same([instance.placed.length, instance.dispatcher.waiting], [1, 1])
  instance.evacuations.apply({ revision: 2n, failureDomains: [] })
  t.same([instance.placed.length, instance.dispatcher.waiting], [2, 0])
})
