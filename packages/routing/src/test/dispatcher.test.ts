/** Dispatcher: endpoints that fail or have just started, connection limits, and calls before the first endpoint is known. */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as tap from 'tap'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as endpointStats from '../common/endpointStats.js'
import type * as slotAssignment from '../common/slotAssignment.js'
import * as targetReachability from '../common/targetReachability.js'
import * as fixtures from './fixtures.js'

const typicalMs = 10
const minEjectionMs = 2000
const failuresUntilEjection = 2
const holdSamples = 200
const longWaitMs = 50_000

/** A dispatcher with a service whose endpoints and time the test sets. */
class TestService {
  now = 0
  readonly dispatcher: dispatcher.Dispatcher
  private readonly endpoints: endpointTable.Endpoint[] = []

  /** @param overrides options that replace the defaults. */
  constructor (ids: readonly string[], overrides: Partial<dispatcher.DispatcherOptions> = {}, private readonly slots = 1, random = () => 0.5) {
    for (const id of ids) this.announce(id)
    const changed = new event.Emitter<endpointTable.Endpoint>()
    const source = { onChanged: changed.event, routable: () => this.endpoints }
    const clock = { now: () => this.now, after: () => () => {} }
    const options = { service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1, ...overrides }
    this.dispatcher = new dispatcher.Dispatcher(options, source, new adaptivePolicy.AdaptivePolicy({ next: random }), clock)
  }

  get endpointIds (): readonly string[] {
    return this.endpoints.map(({ endpoint }) => endpoint)
  }

  announce (endpoint: string): void {
    this.endpoints.push(fixtures.createEndpoint(endpoint, this.slots, this.now))
  }

  /** Returns the placement of a call; undefined if the call is queued or rejected. */
  place (priority: configDocument.LanePriority, body?: slotAssignment.SlotRequest['body']): slotAssignment.Placement | undefined {
    let placement: slotAssignment.Placement | undefined
    this.acquire(priority, (assigned) => { placement = assigned }, [], undefined, body)
    return placement
  }

  /** Requests a slot; calls `onPlaced` at once or later. */
  acquire (priority: configDocument.LanePriority, onPlaced: (placement: slotAssignment.Placement) => void, excludedEndpoints: readonly string[] = [], maxWaitMs?: number, body?: slotAssignment.SlotRequest['body']): void {
    const lane = { ...createLane(priority), ...(maxWaitMs === undefined ? {} : { maxWaitMs, deadlineMs: maxWaitMs }) }
    this.dispatcher.acquire({ lane, priority, deadlineAt: this.now + lane.deadlineMs, typicalMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set(excludedEndpoints), body }, (outcome) => {
      if (outcome.placed) onPlaced(outcome.placement)
    })
  }

  /** Starts and ends a call, so that the dispatcher knows all endpoints. */
  discoverAll (): void {
    this.place('urgent')?.release()
  }
}

function createLane (priority: configDocument.LanePriority): configDocument.Lane {
  return fixtures.createLane({ deadlineMs: 1500, priority })
}

const coldStartMs = createLane('urgent').coldStartMs

/** Returns a service whose endpoints are all warmed up. */
function warmService (...ids: readonly string[]): TestService {
  const service = new TestService(ids)
  service.discoverAll()
  service.now = coldStartMs
  return service
}

tap.t.test('an endpoint that just started gets only bulk calls, and all calls once warmed up', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  service.announce('d-4')
  const taken = [service.place('urgent'), service.place('urgent'), service.place('urgent')]
  t.notOk(taken.some((placement) => placement?.endpoint.endpoint === 'd-4'))
  service.now += coldStartMs - 1
  const placed: string[] = []
  service.acquire('urgent', ({ endpoint }) => placed.push(`first at ${endpoint.endpoint}`))
  t.same(placed, [], 'an urgent call waits for a warm endpoint')
  service.now++
  service.acquire('urgent', () => placed.push('second'))
  t.same(placed, ['first at d-4'], 'the call that waits gets the endpoint that is warm now')
  taken[0]!.release()
  t.same(placed, ['first at d-4', 'second'])
  t.equal(service.dispatcher.waiting, 0)
})

tap.t.test('calls whose bodies are still arriving leave half of the slots to others, and their slots count again once received', async (t) => {
  const service = new TestService(['d-1', 'd-2'], {}, 2)
  const bodies = Array.from({ length: 4 }, () => ({ isReceived: false }))
  const placements = bodies.map((body) => service.place('urgent', body))
  t.same(placements.map((placement) => placement !== undefined), [true, true, false, false])
  t.equal(service.dispatcher.waiting, 2)
  const other = service.place('urgent')
  t.ok(other, 'a call that waits for nothing is placed before them')
  bodies[0]!.isReceived = true
  t.notOk(service.place('urgent', { isReceived: false }))
  t.equal(service.dispatcher.inFlight, 4, 'the first of the queue takes the place of the call whose body is received')
  other!.release()
  t.equal(service.dispatcher.inFlight, 3, 'two bodies are arriving again')
  placements[1]!.release()
  t.same([service.dispatcher.inFlight, service.dispatcher.waiting], [3, 1], 'the next of the queue takes the place of the call that has ended')
})

tap.t.test('a bulk call goes to the endpoint that just started', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  service.announce('d-4')
  for (let i = 0; i < 3; i++) t.ok(service.place('urgent'))
  service.dispatcher.dispose()
  t.equal(service.place('bulk')?.endpoint.endpoint, 'd-4')
})

tap.t.test('while many endpoints start at once, none is avoided', async (t) => {
  const service = warmService('d-1', 'd-2')
  service.announce('d-3')
  for (let i = 0; i < 3; i++) t.ok(service.place('urgent'), `call ${i}`)
})

tap.t.test('an endpoint that fails twice in a row is ejected for two seconds', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  const failing = service.place('urgent')!
  failing.stats.recordFailure(service.now)
  t.notOk(failing.stats.isEjected(service.now), 'one failure may be caused by the request')
  failing.stats.recordFailure(service.now)
  failing.release()
  service.now += 1999
  t.equal([0, 1, 2].filter(() => service.place('urgent') !== undefined).length, 2)
  service.now += 1
  t.equal(failing.stats.isEjected(service.now), false)
})

tap.t.test('an endpoint that refuses a connection is ejected at once', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  const refusing = service.place('urgent')!
  refusing.stats.recordConnectionRefused(service.now)
  refusing.release()
  t.ok(refusing.stats.isEjected(service.now))
  t.equal([0, 1, 2].filter(() => service.place('urgent') !== undefined).length, 2)
})

tap.t.test('failures in a partition of the instance eject no endpoint once it is over, earlier ones still do', async (t) => {
  const link = new fixtures.FakeLink()
  const service = new TestService(['d-1', 'd-2', 'd-3', 'd-4', 'd-5'], { reachability: link })
  service.discoverAll()
  service.now = 60_000
  const placements = service.endpointIds.map(() => service.place('urgent')!)
  for (const { release } of placements) release()
  const [crashed, ...unreachable] = placements
  crashed!.stats.recordConnectionRefused(service.now)
  service.now += targetReachability.withdrawalMs + 1
  for (const { stats } of unreachable) stats.recordConnectionRefused(service.now)
  link.decide(true)
  t.notOk(unreachable.some(({ stats }) => stats.isEjected(service.now)), 'those just before the verdict are withdrawn')
  for (let ms = 0; ms < 12_000; ms += 100) {
    service.now += 100
    for (const { stats } of unreachable) stats.recordFailure(service.now)
  }
  link.decide(false)
  t.notOk(unreachable.some(({ stats }) => stats.isEjected(service.now)))
  t.ok(unreachable.every(({ stats }) => stats.recentFailures === 0 && stats.coldness(service.now) === 0))
  unreachable[0]!.stats.recordConnectionRefused(service.now)
  service.now += minEjectionMs
  t.notOk(unreachable[0]!.stats.isEjected(service.now), 'a later ejection is as short as the first one')
  t.ok(crashed!.stats.recentFailures > 0)
})

tap.t.test('the configured connection limit is divided among the instances', async (t) => {
  const placed = (connectionLimit: number | undefined, entries: number): number => {
    const service = new TestService(['d-1'], { connectionLimit: () => connectionLimit, liveEntries: () => entries }, 6)
    return [0, 1, 2, 3, 4, 5, 6].filter(() => service.place('urgent') !== undefined).length
  }
  t.equal(placed(undefined, 1), 6, 'limited by the slots')
  t.equal(placed(4, 1), 4)
  t.equal(placed(4, 2), 2)
  t.equal(placed(4, 9), 1, 'each instance may open at least one')
})

tap.t.test('calls wait for the first endpoint while the instance starts, and are rejected at once after that', async (t) => {
  const service = new TestService([], { startingUntil: 100 })
  t.equal(service.place('urgent'), undefined)
  t.equal(service.dispatcher.waiting, 1)
  service.now = 100
  t.equal(service.place('urgent'), undefined)
  t.equal(service.dispatcher.waiting, 1, 'the second was rejected')
})

tap.t.test('a new endpoint gets its share of calls, although the lane is faster than its initial estimate', async (t) => {
  const generator = xoroshiro.xoroshiro128plus(1)
  const random = (): number => float.uniformFloat64(generator)
  const connected = new Set(['d-1', 'd-2'])
  const service = new TestService([...connected], { isConnected: ({ endpoint }) => connected.has(endpoint) }, 4, random)
  const callEveryMs = 50
  const minLatencyMs = 2
  // Initial estimate of the lane, about twenty times the actual latency because its target latency is high.
  const laneTypicalMs = 60
  const sendCalls = (ms: number): readonly string[] => {
    const chosen: string[] = []
    for (const end = service.now + ms; service.now < end; service.now += callEveryMs) {
      const placement = service.place('bulk')!
      const latencyMs = minLatencyMs * (1 + random())
      const relative = latencyMs / laneTypicalMs
      placement.stats.recordSuccess(relative * service.dispatcher.typicalLatencyMs, service.now)
      service.dispatcher.recordLatency(latencyMs, relative)
      placement.release()
      connected.add(placement.endpoint.endpoint)
      chosen.push(placement.endpoint.endpoint)
    }
    return chosen
  }
  sendCalls(1000)
  service.announce('d-3')
  t.ok(sendCalls(10_000).includes('d-3'))
  const later = sendCalls(10_000)
  for (const id of connected) {
    const calls = later.filter((each) => each === id).length
    t.ok(calls > later.length / 20, `${id}: ${calls} of ${later.length}`)
  }
})

// Guards against an instance with few calls that opens a connection for each of its first calls, one to each endpoint in turn.
tap.t.test('an instance with few calls keeps to the endpoints that it has connections to, from its start on', async (t) => {
  const generator = xoroshiro.xoroshiro128plus(1)
  const random = (): number => float.uniformFloat64(generator)
  const connected = new Set<string>()
  const ids = Array.from({ length: 50 }, (_, i) => `d-${i}`)
  const service = new TestService(ids, { isConnected: ({ endpoint }) => connected.has(endpoint) }, 4, random)
  for (let i = 0; i < 30; i++, service.now += 250) {
    const placement = service.place('urgent')!
    placement.release()
    connected.add(placement.endpoint.endpoint)
  }
  t.ok(connected.size < 5, `${connected.size} connections for 30 calls`)
})

// Guards against an endpoint that gets no calls after its limit has ended, since no connection to it is open any more.
tap.t.test('an endpoint whose limit has ended is a new one again, also if it was known from the start', async (t) => {
  const stats = new endpointStats.EndpointStats(0, false)
  t.equal(stats.hasJoined, false)
  stats.restartWarmUp(5000)
  t.strictSame([stats.hasJoined, stats.firstSeenAt], [true, 5000])
})

tap.t.test('a queued call is placed once when the call before it releases another slot while it is placed', async (t) => {
  const service = new TestService(['d-1', 'd-2'])
  const [first, second] = [service.place('urgent')!, service.place('urgent')!]
  const placedAt: string[] = []
  service.acquire('urgent', () => first.release())
  service.acquire('urgent', ({ endpoint }) => { placedAt.push(endpoint.endpoint) })
  service.announce('d-3')
  second.release()
  t.equal(placedAt.length, 1, placedAt.join(' '))
})

/** Takes a slot of the endpoint, and fails there as often as ejects it. */
function eject (service: TestService, endpoint: string): void {
  for (let failures = 0; failures < failuresUntilEjection; failures++) {
    const others = service.endpointIds.filter((id) => id !== endpoint)
    service.acquire('urgent', ({ stats, release }) => {
      stats.recordFailure(service.now)
      release()
    }, others)
  }
}

// Guards against a service whose calls all wait until their deadlines though endpoints are idle.
tap.t.test('a retry whose remaining endpoints are all ejected uses one of them', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3', 'd-4')
  eject(service, 'd-3')
  eject(service, 'd-4')
  const placed: string[] = []
  service.acquire('urgent', ({ endpoint }) => placed.push(endpoint.endpoint), ['d-1', 'd-2'])
  t.equal(placed.length, 1)
})

tap.t.test('a call that must wait does not hold up later calls that have a free endpoint', async (t) => {
  const service = warmService('d-1', 'd-2')
  const placed: string[] = []
  const taken = service.place('urgent')!.endpoint.endpoint
  const free = service.endpointIds.find((id) => id !== taken)!
  service.acquire('urgent', () => placed.push('restricted'), [free])
  service.acquire('urgent', ({ endpoint }) => placed.push(endpoint.endpoint))
  t.same(placed, [free])
})

tap.t.test('a call that has a free endpoint is not rejected because of a long wait of the call before it', async (t) => {
  const service = warmService('d-1', 'd-2')
  for (let i = 0; i < holdSamples; i++) {
    const placement = service.place('urgent')!
    service.now += 1000
    placement.release()
  }
  const taken = service.place('urgent')!.endpoint.endpoint
  const free = service.endpointIds.find((id) => id !== taken)!
  const placed: string[] = []
  service.acquire('urgent', () => placed.push('restricted'), [free], longWaitMs)
  service.acquire('urgent', ({ endpoint }) => placed.push(endpoint.endpoint))
  t.same(placed, [free])
})

// Guards against an event loop that is blocked while calls queue for endpoints that are all taken.
tap.t.test('a call that finds no endpoint does not check the calls before it', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3', 'd-4')
  service.announce('cold')
  let checks = 0
  Reflect.set(service.dispatcher, 'serveQueue', () => { checks++ })
  for (let i = 0; i < 7; i++) service.acquire('urgent', () => {}, [], longWaitMs)
  t.equal(service.dispatcher.waiting, 3)
  t.equal(checks, 0)
})

tap.t.test('ejections are ignored while most endpoints are ejected, also if some of these have no free slot', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3', 'd-4')
  for (const id of ['d-2', 'd-3', 'd-4']) eject(service, id)
  const placements = service.endpointIds.map(() => service.place('urgent'))
  t.notOk(placements.includes(undefined))
})
