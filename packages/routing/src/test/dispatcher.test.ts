/** Choices of the dispatcher among endpoints that fail or have just started. */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as tap from 'tap'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as fixtures from './fixtures.js'

const typicalMs = 10

class Service {
  now = 0
  readonly dispatcher: dispatcher.Dispatcher
  private readonly endpoints: endpointTable.Endpoint[] = []

  /** @param rest options that aren't the usual ones. */
  constructor (ids: readonly string[], rest: Partial<dispatcher.DispatcherOptions> = {}, private readonly slots = 1, random = () => 0.5) {
    for (const id of ids) this.announce(id)
    const changed = new event.Emitter<endpointTable.Endpoint>()
    const source = { onChanged: changed.event, routable: () => this.endpoints }
    const clock = { now: () => this.now, after: () => () => {} }
    const options = { service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1, ...rest }
    this.dispatcher = new dispatcher.Dispatcher(options, source, new adaptivePolicy.AdaptivePolicy({ next: random }), clock)
  }

  announce (endpoint: string): void {
    this.endpoints.push(fixtures.endpointWith(endpoint, this.slots, this.now))
  }

  /** Endpoint that a call gets now; undefined when it has to wait or is refused. */
  place (priority: configDocument.LanePriority): dispatcher.Placement | undefined {
    let placement: dispatcher.Placement | undefined
    const lane = laneOf(priority)
    this.dispatcher.acquire({ lane, priority, deadlineAt: this.now + lane.deadlineMs, typicalMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }, (outcome) => {
      if (outcome.placed) placement = outcome.placement
    })
    return placement
  }

  /** Ends calls until every endpoint has been seen by the dispatcher. */
  meetAll (): void {
    this.place('urgent')?.release()
  }
}

function laneOf (priority: configDocument.LanePriority): configDocument.Lane {
  return fixtures.laneWith({ deadlineMs: 1500, priority })
}

const coldStartMs = laneOf('urgent').coldStartMs

/** A service whose endpoints have all been known for long enough. */
function warmService (...ids: readonly string[]): Service {
  const service = new Service(ids)
  service.meetAll()
  service.now = coldStartMs
  return service
}

tap.t.test('an endpoint that just started is left to bulk calls, then takes all', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  service.announce('d-4')
  const taken = [service.place('urgent'), service.place('urgent'), service.place('urgent')]
  t.notOk(taken.some((placement) => placement?.endpoint.endpoint === 'd-4'))
  t.equal(service.place('urgent'), undefined, 'an urgent call waits for a warm endpoint')
  service.now += coldStartMs
  t.equal(service.place('urgent')?.endpoint.endpoint, undefined, 'another urgent call waits before it')
  taken[0]!.release()
  t.equal(service.dispatcher.waiting, 0, 'the released slot and the warm endpoint serve both')
})

tap.t.test('a bulk call takes the endpoint that just started', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  service.announce('d-4')
  for (let i = 0; i < 3; i++) t.ok(service.place('urgent'))
  service.dispatcher.dispose()
  t.equal(service.place('bulk')?.endpoint.endpoint, 'd-4')
})

tap.t.test('while many endpoints start at once, none is left out', async (t) => {
  const service = warmService('d-1', 'd-2')
  service.announce('d-3')
  for (let i = 0; i < 3; i++) t.ok(service.place('urgent'), `call ${i}`)
})

tap.t.test('an endpoint that fails twice in a row is left out for two seconds', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  const bad = service.place('urgent')!
  bad.stats.recordFailure(service.now)
  t.notOk(bad.stats.isEjected(service.now), 'one failure may be the request\'s own')
  bad.stats.recordFailure(service.now)
  bad.release()
  service.now += 1999
  t.equal([0, 1, 2].filter(() => service.place('urgent') !== undefined).length, 2)
  service.now += 1
  t.equal(bad.stats.isEjected(service.now), false)
})

tap.t.test('an endpoint that refuses a connection is left out at once', async (t) => {
  const service = warmService('d-1', 'd-2', 'd-3')
  const dead = service.place('urgent')!
  dead.stats.recordRefusal(service.now)
  dead.release()
  t.ok(dead.stats.isEjected(service.now))
  t.equal([0, 1, 2].filter(() => service.place('urgent') !== undefined).length, 2)
})

tap.t.test('the connections that the configuration allows are shared among the instances', async (t) => {
  const placed = (connectionLimit: number | undefined, entries: number): number => {
    const service = new Service(['d-1'], { connectionLimit: () => connectionLimit, liveEntries: () => entries }, 6)
    return [0, 1, 2, 3, 4, 5, 6].filter(() => service.place('urgent') !== undefined).length
  }
  t.equal(placed(undefined, 1), 6, 'the slots bind')
  t.equal(placed(4, 1), 4)
  t.equal(placed(4, 2), 2)
  t.equal(placed(4, 9), 1, 'each instance keeps one')
})

tap.t.test('an instance that just started lets calls wait for endpoints, later ones are refused at once', async (t) => {
  const service = new Service([], { startingUntil: 100 })
  t.equal(service.place('urgent'), undefined)
  t.equal(service.dispatcher.waiting, 1)
  service.now = 100
  t.equal(service.place('urgent'), undefined)
  t.equal(service.dispatcher.waiting, 1, 'the second was refused')
})

tap.t.test('an endpoint that becomes known gets its share of calls, although the lane is quicker than assumed', async (t) => {
  const generator = xoroshiro.xoroshiro128plus(1)
  const random = (): number => float.uniformFloat64(generator)
  const connected = new Set(['d-1', 'd-2'])
  const service = new Service([...connected], { isConnected: ({ endpoint }) => connected.has(endpoint) }, 4, random)
  const apartMs = 50
  const answerMs = 2
  // As on a lane whose target is so far that its answers are held to be twenty times as slow as they are.
  const laneTypicalMs = 60
  const callFor = (ms: number): readonly string[] => {
    const chosen: string[] = []
    for (const end = service.now + ms; service.now < end; service.now += apartMs) {
      const placement = service.place('bulk')!
      const latencyMs = answerMs * (1 + random())
      const relative = latencyMs / laneTypicalMs
      placement.stats.recordSuccess(relative * service.dispatcher.typicalLatencyMs, service.now)
      service.dispatcher.recordLatency(latencyMs, relative)
      placement.release()
      connected.add(placement.endpoint.endpoint)
      chosen.push(placement.endpoint.endpoint)
    }
    return chosen
  }
  callFor(1000)
  service.announce('d-3')
  t.ok(callFor(10_000).includes('d-3'))
  const later = callFor(10_000)
  for (const id of connected) {
    const calls = later.filter((each) => each === id).length
    t.ok(calls > later.length / 20, `${id}: ${calls} of ${later.length}`)
  }
})
