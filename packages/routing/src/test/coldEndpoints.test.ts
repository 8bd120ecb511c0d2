/** Placement on cold endpoints: requests that were placed before the cold time was known, and new endpoints of services with and without a limit. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as endpointNotices from '../common/endpointNotices.js'
import * as servicePermits from '../common/servicePermits.js'
import type * as slotAssignment from '../common/slotAssignment.js'
import * as fixtures from './fixtures.js'

const lane = fixtures.createLane({ deadlineMs: 10_000, maxWaitMs: 5000, coldStartMs: 2000 })
const coldMs = 3000
const roundTripMs = 4

/** An instance with four warm endpoints, one that joins later, and a coordinator that grants each permit that is wanted, if it grants any. */
class Instance {
  readonly clock = new manualClock.ManualClock()
  readonly table: endpointTable.EndpointTable
  readonly notices: endpointNotices.EndpointNotices
  readonly dispatcher: dispatcher.Dispatcher
  readonly placed: slotAssignment.Placement[] = []
  readonly asked: servicePermits.PermitRequest[] = []
  isGranting = true

  constructor (perSecond: number | undefined) {
    const { clock } = this
    this.table = new endpointTable.EndpointTable(clock, undefined, { rateOf: () => perSecond })
    this.notices = new endpointNotices.EndpointNotices({ onLeaving: () => {}, onLimit: () => {} }, this.table, clock, new decisionLog.NullDecisionLog())
    const permits = new servicePermits.ServicePermits({
      request: (req, done) => {
        this.asked.push(req)
        let left = this.isGranting ? req.wanted : 0
        clock.after(roundTripMs, () => done(req.endpoints.map(() => ({ granted: left-- > 0 ? 1 : 0, waitMs: 100, applicants: 1 }))))
      }
    }, () => 1, { next: () => 0.5 }, clock)
    this.dispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1, permits, notices: this.notices, hasColdLimit: () => perSecond !== undefined }, this.table, new adaptivePolicy.AdaptivePolicy({ next: () => 0 }), clock)
    for (const id of ['w', 'x', 'y', 'z']) this.announce(id, 0)
    this.call()
    this.placed.pop()!.release()
    clock.advance(20_000)
  }

  announce (id: string, coldLeftMs: number, sequence = 1): void {
    const { announcedAt: _now, ...rest } = fixtures.createEndpoint(id, 2, 0)
    this.table.apply({ ...rest, address: `127.0.0.1:${9000 + id.charCodeAt(0)}`, leaseMs: 600_000, sequence, coldLeftMs }, 0)
  }

  call (): void {
    const request: slotAssignment.SlotRequest = { lane, priority: lane.priority, deadlineAt: this.clock.now() + lane.deadlineMs, typicalMs: 100, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }
    this.dispatcher.acquire(request, (outcome) => { if (outcome.placed) this.placed.push(outcome.placement) })
  }

  /** Places calls one after the other; returns how many of them the new endpoint got. */
  countOnNew (calls: number): number {
    const before = this.placed.length
    for (let i = 0; i < calls; i++) {
      this.call()
      this.clock.advance(2 * roundTripMs)
    }
    return this.placed.slice(before).filter(({ endpoint }) => endpoint.endpoint === 'new').length
  }
}

tap.t.test('a request that was placed before the endpoint was known to be cold is not sent', async (t) => {
  const instance = new Instance(5)
  instance.call()
  const { endpoint } = instance.placed[0]!
  t.ok(instance.notices.canSend(endpoint))
  instance.table.recordCold(endpoint.endpoint, 1, coldMs)
  t.notOk(instance.notices.canSend(endpoint))
  t.ok(instance.notices.canSend(instance.table.getRouted(endpoint.endpoint)!), 'one that has a permit')
})

tap.t.test('a cold endpoint that joins gets calls within its permits, and none without', async (t) => {
  const instance = new Instance(5)
  instance.announce('new', coldMs)
  instance.isGranting = false
  t.equal(instance.countOnNew(4), 0)
  t.ok(instance.asked.length > 0)
  instance.isGranting = true
  instance.clock.advance(1000)
  t.ok(instance.countOnNew(4) > 0)
  t.ok(instance.placed.filter(({ endpoint }) => endpoint.endpoint === 'new').every(({ isPermitted }) => isPermitted))
})

tap.t.test('without a limit for cold endpoints, new endpoints get no calls of ordinary lanes during their cold start, and no permits are asked for', async (t) => {
  const instance = new Instance(undefined)
  instance.announce('new', coldMs)
  t.equal(instance.countOnNew(6), 0)
  instance.clock.advance(lane.coldStartMs)
  t.ok(instance.countOnNew(6) > 0)
  t.same(instance.asked, [])
})
