/** Endpoints that want no requests for a while: what they get from an instance, and what its callers are told. */
import * as fc from 'fast-check'
import * as tap from 'tap'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as endpointNotices from '../common/endpointNotices.js'
import * as fixtures from './fixtures.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'

const slots = 4
const lane = fixtures.laneWith({ deadlineMs: 10_000, maxWaitMs: 5000 })
/** From the users' rule: at most so many requests between half a second after the answer and the end of its time. */
const allowedInTime = 2
const ruleBeginsMs = 500
const longestConnectMs = 1000
const decisions = new decisionLog.NullDecisionLog()

/** An instance with its endpoints; a restart makes another one on the same clock. */
class Instance {
  readonly notices: endpointNotices.EndpointNotices
  readonly dispatcher: dispatcher.Dispatcher
  readonly faults: errors.Fault[] = []
  readonly changed = new event.Emitter<endpointTable.Endpoint>()

  constructor (readonly clock: manualClock.ManualClock, readonly endpoints: endpointTable.Endpoint[], leaving: (id: string) => void = () => {}) {
    this.notices = new endpointNotices.EndpointNotices(({ endpoint }) => leaving(endpoint), clock, decisions)
    const source = { onChanged: this.changed.event, routable: () => this.endpoints }
    const options = { service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1, notices: this.notices }
    this.dispatcher = new dispatcher.Dispatcher(options, source, new adaptivePolicy.AdaptivePolicy({ next: () => 0 }), clock)
  }

  call (placed: (placement: dispatcher.Placement) => void, exclude: readonly string[] = []): void {
    const ask: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt: this.clock.now() + lane.deadlineMs, typicalMs: 100, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set(exclude) }
    this.dispatcher.acquire(ask, (outcome) => {
      if (outcome.placed) placed(outcome.placement)
      else this.faults.push(outcome.fault)
    })
  }
}

function threeEndpoints (): endpointTable.Endpoint[] {
  return ['d-0', 'd-1', 'd-2'].map((id) => fixtures.endpointWith(id, slots, 0))
}

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('call' as const), connectMs: fc.integer({ min: 0, max: longestConnectMs }), holdMs: fc.integer({ min: 1, max: 400 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('shed' as const), index: fc.nat({ max: 2 }), awayMs: fc.integer({ min: 100, max: 5000 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 800 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('reborn' as const), index: fc.nat({ max: 2 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const) }) }
)

/** Requests that reached endpoints within the time that they had asked for, the most of any endpoint and time. */
function mostInTime (steps: ReadonlyArray<typeof step extends fc.Arbitrary<infer S> ? S : never>): number {
  const clock = new manualClock.ManualClock()
  const endpoints = threeEndpoints()
  let instance = new Instance(clock, endpoints)
  let times: Array<{ readonly endpoint: string, readonly incarnation: number, readonly from: number, readonly until: number, count: number }> = []
  const ended: typeof times = []
  for (const each of steps) {
    const by = instance
    switch (each.kind) {
      case 'call':
        by.call((placement) => clock.after(each.connectMs, () => {
          const { endpoint, incarnation } = placement.endpoint
          if (by === instance && by.notices.maySend(placement.endpoint)) {
            for (const time of times) {
              if (time.endpoint === endpoint && time.incarnation === incarnation && clock.now() > time.from && clock.now() < time.until) time.count++
            }
          }
          clock.after(each.holdMs, () => placement.release())
        }))
        break
      case 'shed': {
        const endpoint = endpoints[each.index]!
        by.notices.note(endpoint, { leaving: false, awayMs: each.awayMs })
        times.push({ endpoint: endpoint.endpoint, incarnation: endpoint.incarnation, from: clock.now() + ruleBeginsMs, until: clock.now() + each.awayMs, count: 0 })
        break
      }
      case 'wait':
        clock.advance(each.ms)
        break
      case 'reborn':
        endpoints[each.index] = { ...endpoints[each.index]!, incarnation: endpoints[each.index]!.incarnation + 1 }
        break
      case 'restart':
        ended.push(...times)
        times = []
        instance = new Instance(clock, endpoints)
    }
  }
  clock.advance(longestConnectMs + 5000)
  return [...ended, ...times].reduce((most, { count }) => Math.max(most, count), 0)
}

tap.t.test('an endpoint gets no more than it allows within its time, over restarts and new incarnations', async (t) => {
  fc.assert(fc.property(fc.array(step, { maxLength: 120, size: 'max' }), (steps) => mostInTime(steps) <= allowedInTime), { numRuns: 300, seed: 21 })
  t.pass()
})

tap.t.test('other endpoints take the calls, and the endpoint is asked again after its time', async (t) => {
  const instance = new Instance(new manualClock.ManualClock(), threeEndpoints())
  const placed: string[] = []
  const callOnce = (exclude: readonly string[] = []): void => instance.call((placement) => {
    placed.push(placement.endpoint.endpoint)
    placement.release()
  }, exclude)
  instance.notices.note(instance.endpoints[0]!, { leaving: false, awayMs: 1000 })
  callOnce()
  instance.clock.advance(1000)
  callOnce(['d-1', 'd-2'])
  t.same(placed, ['d-1', 'd-0'])
})

tap.t.test('with all away a call is refused at once, with the time until the first may be asked', async (t) => {
  const instance = new Instance(new manualClock.ManualClock(), threeEndpoints())
  for (const [i, awayMs] of [1500, 700, 900].entries()) instance.notices.note(instance.endpoints[i]!, { leaving: false, awayMs })
  instance.call(() => t.fail('placed'))
  t.matchSnapshot(instance.faults)
})

tap.t.test('a call whose only endpoint left to try is away is told when that one may be asked', async (t) => {
  const instance = new Instance(new manualClock.ManualClock(), threeEndpoints())
  instance.notices.note(instance.endpoints[2]!, { leaving: false, awayMs: 400 })
  instance.call(() => t.fail('placed'), ['d-0', 'd-1'])
  t.same(instance.faults.map((fault) => 'retryAfterS' in fault && fault.retryAfterS), [0.4])
})

tap.t.test('waiting calls are refused when the last endpoint asks for a time, and placed when one is back', async (t) => {
  const clock = new manualClock.ManualClock()
  const instance = new Instance(clock, [fixtures.endpointWith('d-0', 1, 0), fixtures.endpointWith('d-1', 1, 0)])
  const held: dispatcher.Placement[] = []
  for (let i = 0; i < 2; i++) instance.call((placement) => held.push(placement))
  let placedAt: number | undefined
  instance.call(() => { placedAt = clock.now() })
  instance.notices.note(instance.endpoints[0]!, { leaving: false, awayMs: 300 })
  held[0]!.release()
  t.equal(placedAt, undefined, 'its endpoint is away, the other one busy')
  clock.advance(300)
  t.equal(placedAt, 300)
  instance.call(() => t.fail('placed'))
  for (const endpoint of instance.endpoints) instance.notices.note(endpoint, { leaving: false, awayMs: 800 })
  t.same(instance.faults.map((fault) => 'retryAfterS' in fault && fault.retryAfterS), [0.8])
})

tap.t.test('a call that begins to wait while an endpoint is away is placed once that one is back', async (t) => {
  const clock = new manualClock.ManualClock()
  const instance = new Instance(clock, [fixtures.endpointWith('d-0', 1, 0), fixtures.endpointWith('d-1', 1, 0), fixtures.endpointWith('d-2', 1, 0)])
  instance.call(() => {}, ['d-1', 'd-2'])
  instance.notices.note(instance.endpoints[1]!, { leaving: false, awayMs: 300 })
  instance.notices.note(instance.endpoints[2]!, { leaving: false, awayMs: 800 })
  const placedAt: number[] = []
  for (let i = 0; i < 2; i++) instance.call(() => placedAt.push(clock.now()))
  clock.advance(1000)
  t.same(placedAt, [300, 800])
})
