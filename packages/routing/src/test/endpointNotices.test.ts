/** Endpoints that announce a time in which they must get no requests: what an instance still sends, and which faults its callers get. */
import * as fc from 'fast-check'
import * as tap from 'tap'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as endpointNotices from '../common/endpointNotices.js'
import type * as slotAssignment from '../common/slotAssignment.js'
import * as fixtures from './fixtures.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'

const slots = 4
const lane = fixtures.createLane({ deadlineMs: 10_000, maxWaitMs: 5000 })
/** Required limit of the requests that reach an endpoint while it is away, not counting the first `noticeGraceMs` after its notice. */
const maxRequestsWhileAway = 2
const noticeGraceMs = 500
const maxConnectMs = 1000
const decisions = new decisionLog.NullDecisionLog()

/** An instance with its endpoints; a restart creates another one on the same clock. */
class Instance {
  readonly notices: endpointNotices.EndpointNotices
  readonly dispatcher: dispatcher.Dispatcher
  readonly faults: errors.Fault[] = []
  readonly changed = new event.Emitter<endpointTable.Endpoint>()

  constructor (readonly clock: manualClock.ManualClock, readonly endpoints: endpointTable.Endpoint[], onLeaving: (id: string) => void = () => {}) {
    this.notices = new endpointNotices.EndpointNotices({ onLeaving: ({ endpoint }) => onLeaving(endpoint), onLimit: () => {} }, { getRouted: () => undefined, isEvacuated: () => false }, clock, decisions)
    const source = { onChanged: this.changed.event, routable: () => this.endpoints }
    const options = { service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1, notices: this.notices }
    this.dispatcher = new dispatcher.Dispatcher(options, source, new adaptivePolicy.AdaptivePolicy({ next: () => 0 }), clock)
  }

  call (placed: (placement: slotAssignment.Placement) => void, exclude: readonly string[] = []): void {
    const request: slotAssignment.SlotRequest = { lane, priority: lane.priority, deadlineAt: this.clock.now() + lane.deadlineMs, typicalMs: 100, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set(exclude) }
    this.dispatcher.acquire(request, (outcome) => {
      if (outcome.placed) placed(outcome.placement)
      else this.faults.push(outcome.fault)
    })
  }
}

function threeEndpoints (): endpointTable.Endpoint[] {
  return ['d-0', 'd-1', 'd-2'].map((id) => fixtures.createEndpoint(id, slots, 0))
}

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('call' as const), connectMs: fc.integer({ min: 0, max: maxConnectMs }), holdMs: fc.integer({ min: 1, max: 400 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('shed' as const), index: fc.nat({ max: 2 }), awayMs: fc.integer({ min: 100, max: 5000 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 800 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart-endpoint' as const), index: fc.nat({ max: 2 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart-instance' as const) }) }
)

/** Returns the maximum number of requests that reached an endpoint within a time for which it had asked to get none. */
function countMaxRequestsWhileAway (steps: ReadonlyArray<typeof step extends fc.Arbitrary<infer S> ? S : never>): number {
  const clock = new manualClock.ManualClock()
  const endpoints = threeEndpoints()
  let instance = new Instance(clock, endpoints)
  let awayPeriods: Array<{ readonly endpoint: string, readonly incarnation: number, readonly from: number, readonly until: number, count: number }> = []
  const periodsOfEarlierInstances: typeof awayPeriods = []
  for (const each of steps) {
    const sender = instance
    switch (each.kind) {
      case 'call':
        sender.call((placement) => clock.after(each.connectMs, () => {
          const { endpoint, incarnation } = placement.endpoint
          if (sender === instance && sender.notices.canSend(placement.endpoint)) {
            for (const period of awayPeriods) {
              if (period.endpoint === endpoint && period.incarnation === incarnation && clock.now() > period.from && clock.now() < period.until) period.count++
            }
          }
          clock.after(each.holdMs, () => placement.release())
        }))
        break
      case 'shed': {
        const endpoint = endpoints[each.index]!
        sender.notices.recordNotice(endpoint, { leaving: false, awayMs: each.awayMs }, 0)
        awayPeriods.push({ endpoint: endpoint.endpoint, incarnation: endpoint.incarnation, from: clock.now() + noticeGraceMs, until: clock.now() + each.awayMs, count: 0 })
        break
      }
      case 'wait':
        clock.advance(each.ms)
        break
      case 'restart-endpoint':
        endpoints[each.index] = { ...endpoints[each.index]!, incarnation: endpoints[each.index]!.incarnation + 1 }
        break
      case 'restart-instance':
        periodsOfEarlierInstances.push(...awayPeriods)
        awayPeriods = []
        instance = new Instance(clock, endpoints)
    }
  }
  clock.advance(maxConnectMs + 5000)
  return [...periodsOfEarlierInstances, ...awayPeriods].reduce((most, { count }) => Math.max(most, count), 0)
}

tap.t.test('an endpoint gets at most the allowed requests while it is away, across restarts and new incarnations', async (t) => {
  fc.assert(fc.property(fc.array(step, { maxLength: 120, size: 'max' }), (steps) => countMaxRequestsWhileAway(steps) <= maxRequestsWhileAway), { numRuns: 300, seed: 21 })
  t.pass()
})

tap.t.test('while an endpoint is away, others get its calls; afterwards it gets calls again', async (t) => {
  const instance = new Instance(new manualClock.ManualClock(), threeEndpoints())
  const placed: string[] = []
  const callOnce = (exclude: readonly string[] = []): void => instance.call((placement) => {
    placed.push(placement.endpoint.endpoint)
    placement.release()
  }, exclude)
  instance.notices.recordNotice(instance.endpoints[0]!, { leaving: false, awayMs: 1000 }, 0)
  callOnce()
  instance.clock.advance(1000)
  callOnce(['d-1', 'd-2'])
  t.same(placed, ['d-1', 'd-0'])
})

tap.t.test('while all endpoints are away a call is rejected at once, with the time until the first accepts requests again', async (t) => {
  const instance = new Instance(new manualClock.ManualClock(), threeEndpoints())
  for (const [i, awayMs] of [1500, 700, 900].entries()) instance.notices.recordNotice(instance.endpoints[i]!, { leaving: false, awayMs }, 0)
  instance.call(() => t.fail('placed'))
  t.matchSnapshot(instance.faults)
})

tap.t.test('a call whose only untried endpoint is away is rejected with the time until that one accepts requests again', async (t) => {
  const instance = new Instance(new manualClock.ManualClock(), threeEndpoints())
  instance.notices.recordNotice(instance.endpoints[2]!, { leaving: false, awayMs: 400 }, 0)
  instance.call(() => t.fail('placed'), ['d-0', 'd-1'])
  t.same(instance.faults.map((fault) => 'retryAfterS' in fault && fault.retryAfterS), [0.4])
})

tap.t.test('queued calls are placed when an endpoint accepts requests again, and rejected while all are away', async (t) => {
  const clock = new manualClock.ManualClock()
  const instance = new Instance(clock, [fixtures.createEndpoint('d-0', 1, 0), fixtures.createEndpoint('d-1', 1, 0)])
  const held: slotAssignment.Placement[] = []
  for (let i = 0; i < 2; i++) instance.call((placement) => held.push(placement))
  let placedAt: number | undefined
  instance.call(() => { placedAt = clock.now() })
  instance.notices.recordNotice(instance.endpoints[0]!, { leaving: false, awayMs: 300 }, 0)
  held[0]!.release()
  t.equal(placedAt, undefined, 'one endpoint is away, the other one busy')
  clock.advance(300)
  t.equal(placedAt, 300)
  instance.call(() => t.fail('placed'))
  for (const endpoint of instance.endpoints) instance.notices.recordNotice(endpoint, { leaving: false, awayMs: 800 }, 0)
  t.same(instance.faults.map((fault) => 'retryAfterS' in fault && fault.retryAfterS), [0.8])
})

tap.t.test('a call that is queued while an endpoint is away is placed once that one accepts requests again', async (t) => {
  const clock = new manualClock.ManualClock()
  const instance = new Instance(clock, [fixtures.createEndpoint('d-0', 1, 0), fixtures.createEndpoint('d-1', 1, 0), fixtures.createEndpoint('d-2', 1, 0)])
  instance.call(() => {}, ['d-1', 'd-2'])
  instance.notices.recordNotice(instance.endpoints[1]!, { leaving: false, awayMs: 300 }, 0)
  instance.notices.recordNotice(instance.endpoints[2]!, { leaving: false, awayMs: 800 }, 0)
  const placedAt: number[] = []
  for (let i = 0; i < 2; i++) instance.call(() => placedAt.push(clock.now()))
  clock.advance(1000)
  t.same(placedAt, [300, 800])
})
