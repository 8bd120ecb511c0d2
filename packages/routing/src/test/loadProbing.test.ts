/** Asking endpoints for their load: which one is taken, and what callers get while a quarter of the endpoints is slow at any moment. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as loadProbing from '../common/loadProbing.js'
import type * as timeBudget from '../common/timeBudget.js'
import * as fixtures from './fixtures.js'

const timeoutMs = 25
const staggerMs = 8
const typicalMs = 160
const slots = 6
const idle: loadProbing.LoadReport = { running: 0, waiting: 0, slots, slowdown: 1 }
const lane = fixtures.laneWith({ deadlineMs: 1200 })
const granted = { take: () => true }

/** An instance with endpoints whose answers the test gives. */
class Service implements loadProbing.IProber {
  readonly clock = new manualClock.ManualClock()
  readonly pending = new Map<string, (outcome: loadProbing.ProbeOutcome) => void>()
  readonly chosen: dispatcher.Placement[] = []
  overloads = 0
  yields = 0
  times: timeBudget.TimeBudget = { idleMs: workMs, usefulMs: Infinity, canYield: false }
  budget = granted
  readonly dispatcher: dispatcher.Dispatcher
  private readonly endpoints: readonly endpointTable.Endpoint[]

  /** @param domains failure domains of the first endpoints, where it isn't the instance's own. */
  constructor (endpointCount: number, random: () => number = () => 0, domains: readonly string[] = []) {
    this.endpoints = Array.from({ length: endpointCount }, (_value, i) => {
      const endpoint = fixtures.endpointWith(`d-${i}`, slots, 0)
      return { ...endpoint, failureDomain: domains[i] ?? endpoint.failureDomain }
    })
    const source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => this.endpoints }
    const options = { service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1 }
    this.dispatcher = new dispatcher.Dispatcher(options, source, new adaptivePolicy.AdaptivePolicy({ next: random }), this.clock)
  }

  probe (endpoint: endpointTable.Endpoint, done: (outcome: loadProbing.ProbeOutcome) => void): () => void {
    this.pending.set(endpoint.endpoint, done)
    return () => { this.pending.delete(endpoint.endpoint) }
  }

  begin (candidates = 3, remoteFactor = 1, staggerMs = 0): loadProbing.LoadProbe {
    const ask: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt: this.clock.now() + lane.deadlineMs, typicalMs, remoteFactor, isSuspect: false, excludedEndpoints: new Set() }
    const deps = { dispatcher: this.dispatcher, prober: this, budget: this.budget, clock: this.clock }
    const probe = new loadProbing.LoadProbe(deps, this.times, (choice) => {
      if (choice.kind === 'placed') this.chosen.push(choice.placement)
      else if (choice.kind === 'busy') this.yields++
      else this.overloads++
    })
    this.dispatcher.acquire(ask, (outcome) => {
      if (outcome.placed) probe.start(outcome.placement, ask, { candidates, timeoutMs, staggerMs })
    })
    return probe
  }

  /** Answers the probes in the order in which they were sent. */
  report (...reports: ReadonlyArray<loadProbing.LoadReport | 'refused' | undefined>): void {
    const waiting = [...this.pending.values()]
    reports.forEach((report, i) => {
      if (report === 'refused') waiting[i]!({ kind: 'refused' })
      else if (report !== undefined) waiting[i]!({ kind: 'report', report })
    })
  }
}

tap.t.test('cost grows with slowness, with busy slots, and most with a queue', async (t) => {
  const costs = [
    idle,
    { ...idle, running: 3 },
    { ...idle, running: 5 },
    { ...idle, running: 6, waiting: 2 },
    { ...idle, slowdown: 5 }
  ].map(loadProbing.relativeCost)
  t.same(costs, [...costs].sort((a, b) => a - b))
})

tap.t.test('the first good answer is taken at once, and the other slots are given back', async (t) => {
  const service = new Service(5)
  service.begin()
  t.equal(service.pending.size, 3)
  t.equal(service.dispatcher.inFlight, 3)
  service.report({ ...idle, slowdown: 5 }, idle)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
  t.equal(service.dispatcher.inFlight, 1)
})

tap.t.test('without a good answer the best of all is taken, at the latest when the time is over', async (t) => {
  const service = new Service(5)
  service.begin()
  service.report({ ...idle, slowdown: 5 }, { ...idle, slowdown: 3 })
  t.equal(service.chosen.length, 0, 'the third may be better')
  service.clock.advance(timeoutMs)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
})

tap.t.test('endpoints that stay silent or refuse are not taken while another one answers', async (t) => {
  const service = new Service(3)
  service.begin()
  service.report(undefined, 'refused', { ...idle, running: 6, waiting: 6 })
  service.clock.advance(timeoutMs)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-2')
  service.chosen[0]!.release()
  service.begin()
  service.clock.advance(timeoutMs)
  t.not(service.chosen[1]!.endpoint.endpoint, 'd-1', 'a refusal counts against the endpoint')
})

tap.t.test('with no answer at all, or no probe left, the call goes where it was placed', async (t) => {
  const service = new Service(3)
  service.begin()
  service.clock.advance(timeoutMs)
  t.equal(service.chosen.length, 1)
  service.budget = { take: () => false }
  service.begin()
  t.equal(service.chosen.length, 2, 'at once')
})

tap.t.test('large answers come from the own failure domain unless it is much slower', async (t) => {
  const elsewhere = ['b', 'b']
  const service = new Service(3, undefined, elsewhere)
  service.begin(2, 1.5)
  t.ok(service.pending.has('d-2'), 'it is asked though two others stand before it')
  service.report({ ...idle, slowdown: 5 }, idle)
  t.equal(service.chosen[0]!.endpoint.failureDomain, 'b')
  const small = new Service(3, undefined, elsewhere)
  small.begin(2)
  t.notOk(small.pending.has('d-2'))
})

tap.t.test('a call that would be late in each queue is refused at once, and takes no slot', async (t) => {
  const service = new Service(3)
  const full = { ...idle, running: slots, waiting: 4 }
  service.times = { idleMs: workMs, usefulMs: goalMs, canYield: false }
  service.begin()
  service.report(full, full, full)
  t.same([service.overloads, service.chosen.length, service.dispatcher.inFlight], [1, 0, 0])
  service.begin()
  service.report(full, full, { ...full, waiting: 0 })
  t.equal(service.chosen.length, 1, 'one without a queue is taken')
  service.chosen[0]!.release()
  service.begin()
  service.report(...Array<loadProbing.LoadReport>(3).fill({ ...idle, slowdown: 5 }))
  t.equal(service.chosen.length, 2, 'slow ones may recover')
  service.chosen[1]!.release()
  service.times = { idleMs: workMs, usefulMs: 1200, canYield: false }
  service.begin()
  service.report(full, full, full)
  t.equal(service.chosen.length, 3, 'in time for a caller that waits longer')
})

tap.t.test('a late call that may yield takes a free slot, never a place in a queue', async (t) => {
  const service = new Service(3)
  const full = { ...idle, running: slots }
  service.times = { idleMs: workMs, usefulMs: goalMs, canYield: true }
  service.begin()
  service.report(full, full, { ...full, waiting: 2 })
  t.same([service.yields, service.overloads, service.chosen.length, service.dispatcher.inFlight], [1, 0, 0, 0])
  service.begin()
  service.report(full, full, { ...idle, running: slots - 1, slowdown: 5 })
  t.same([service.yields, service.chosen.length], [1, 1], 'a slow endpoint with a free slot is taken')
  service.chosen[0]!.release()
  service.begin()
  service.report(full, full, undefined)
  service.clock.advance(timeoutMs)
  t.same([service.yields, service.chosen.length], [1, 2], 'one that tells nothing may have a free slot')
})

tap.t.test('the preference follows the size of the answers', async (t) => {
  const preference = new domainPreference.DomainPreference()
  t.equal(preference.remoteFactor, 1, 'none before anything was seen')
  for (let i = 0; i < 100; i++) preference.note(1500)
  t.ok(preference.remoteFactor < 1.02)
  for (let i = 0; i < 100; i++) preference.note(90_000)
  t.equal(preference.remoteFactor, 1.5)
})

tap.t.test('a cancelled choice gives all slots back and chooses nothing', async (t) => {
  const service = new Service(3)
  service.begin().cancel()
  service.clock.advance(timeoutMs)
  t.equal(service.dispatcher.inFlight, 0)
  t.equal(service.chosen.length, 0)
})

const seed = 20261204
const endpointCount = 13
const slowShare = 0.25
const slowFactor = 5
const redrawMs = 150
const workMs = 160
const goalMs = 400
const calls = 2000
const callEveryMs = 40

/** Share of calls that end later than their goal, and probes sent for each call. */
function playNoise (candidates: number, staggerMs = 0): { readonly late: number, readonly probes: number } {
  const source = xoroshiro.xoroshiro128plus(seed)
  const random = (): number => uniform.uniformInt(source, 0, 999_999) / 1_000_000
  const service = new Service(endpointCount, random)
  let slow = new Set<string>()
  let late = 0
  let probes = 0
  const redraw = (): void => {
    slow = new Set(Array.from({ length: endpointCount }, (_value, i) => `d-${i}`).filter(() => random() < slowShare))
    service.clock.after(redrawMs, redraw)
  }
  redraw()
  for (let i = 0; i < calls; i++) {
    service.begin(candidates, 1, staggerMs)
    for (const [id, done] of service.pending) {
      probes++
      done({ kind: 'report', report: { ...idle, slowdown: slow.has(id) ? slowFactor : 1 } })
    }
    service.pending.clear()
    const placement = service.chosen.at(-1)!
    const tookMs = workMs * (slow.has(placement.endpoint.endpoint) ? slowFactor : 1)
    if (tookMs > goalMs) late++
    service.clock.after(tookMs, () => {
      placement.stats.recordSuccess(tookMs, service.clock.now())
      placement.release()
    })
    service.clock.advance(callEveryMs)
  }
  return { late: late / calls, probes: probes / calls }
}

tap.t.test('while a quarter of the endpoints is slow at any moment, at most 3 in 100 callers wait beyond their goal', async (t) => {
  const own = playNoise(1).late
  const asked = playNoise(3).late
  t.ok(own > 0.15, `${own} by own sight`)
  t.ok(asked <= 0.03, `${asked} with three endpoints asked`)
})

tap.t.test('the same holds when two of them are asked only where the first answer isn\'t good, for two probes a call', async (t) => {
  const { late, probes } = playNoise(3, staggerMs)
  t.ok(late <= 0.03, `${late} of the callers late`)
  t.ok(probes <= 2, `${probes} probes a call`)
})

tap.t.test('a good first answer ends the choice with one probe', async (t) => {
  const service = new Service(5)
  service.begin(3, 1, staggerMs)
  t.equal(service.pending.size, 1)
  t.equal(service.dispatcher.inFlight, 3, 'the others are held until they are needless')
  service.report(idle)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-0')
  service.clock.advance(timeoutMs)
  t.same([service.pending.size, service.chosen.length, service.dispatcher.inFlight], [1, 1, 1], 'nothing follows')
})

tap.t.test('others are asked at once after an answer that is not good, and soon without one', async (t) => {
  const service = new Service(5)
  service.begin(3, 1, staggerMs)
  service.report({ ...idle, slowdown: 5 })
  t.equal(service.pending.size, 3)
  service.report(undefined, idle)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
  const silent = new Service(5)
  silent.begin(3, 1, staggerMs)
  silent.clock.advance(staggerMs - 1)
  t.equal(silent.pending.size, 1)
  silent.clock.advance(1)
  t.equal(silent.pending.size, 3)
  silent.clock.advance(timeoutMs - staggerMs)
  t.equal(silent.chosen.length, 1, 'the time for all answers counts from the start')
  t.equal(silent.dispatcher.inFlight, 1)
})

tap.t.test('without a probe left a staggered choice goes where it was placed, at once', async (t) => {
  const service = new Service(3)
  service.budget = { take: () => false }
  service.begin(3, 1, staggerMs)
  t.equal(service.chosen.length, 1)
  t.equal(service.dispatcher.inFlight, 1)
})

tap.t.test('calls that begin to wait meanwhile don\'t leave a staggered choice with one endpoint', async (t) => {
  const service = new Service(3)
  const full = { ...idle, running: slots, waiting: 4 }
  service.times = { idleMs: workMs, usefulMs: goalMs, canYield: false }
  service.begin(3, 1, staggerMs)
  const held: dispatcher.Placement[] = []
  const ask: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt: lane.deadlineMs, typicalMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }
  for (let i = 0; i <= 3 * slots; i++) {
    service.dispatcher.acquire(ask, (outcome) => { if (outcome.placed) held.push(outcome.placement) })
  }
  t.ok(service.dispatcher.waiting > 0)
  service.report(full)
  t.equal(service.overloads, 0, 'one full endpoint says nothing of the others')
  service.report(undefined, idle)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
})
