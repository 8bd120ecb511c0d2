/** Load probing: which endpoint is chosen, and how many calls are late while a quarter of the endpoints is slow at any moment. */
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
const idleReport: loadProbing.LoadReport = { running: 0, waiting: 0, slots, slowdown: 1 }
const lane = fixtures.createLane({ deadlineMs: 1200 })
const unlimitedBudget = { take: () => true }

/** An instance with endpoints; the test completes the probes. */
class ProbingHarness implements loadProbing.IProber {
  readonly clock = new manualClock.ManualClock()
  readonly pending = new Map<string, (outcome: loadProbing.ProbeOutcome) => void>()
  readonly chosen: dispatcher.Placement[] = []
  overloadCount = 0
  busyCount = 0
  timeBudget: timeBudget.TimeBudget = { idleMs: workMs, usefulMs: Infinity, canYield: false }
  budget = unlimitedBudget
  readonly dispatcher: dispatcher.Dispatcher
  private readonly endpoints: readonly endpointTable.Endpoint[]

  /** @param domains failure domains of the first endpoints; the others are in the instance's own. */
  constructor (endpointCount: number, random: () => number = () => 0, domains: readonly string[] = []) {
    this.endpoints = Array.from({ length: endpointCount }, (_value, i) => {
      const endpoint = fixtures.createEndpoint(`d-${i}`, slots, 0)
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

  startProbe (candidates = 3, remoteFactor = 1, staggerMs = 0): loadProbing.LoadProbe {
    const request: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt: this.clock.now() + lane.deadlineMs, typicalMs, remoteFactor, isSuspect: false, excludedEndpoints: new Set() }
    const deps = { dispatcher: this.dispatcher, prober: this, budget: this.budget, clock: this.clock }
    const probe = new loadProbing.LoadProbe(deps, this.timeBudget, (choice) => {
      if (choice.kind === 'placed') this.chosen.push(choice.placement)
      else if (choice.kind === 'busy') this.busyCount++
      else this.overloadCount++
    })
    this.dispatcher.acquire(request, (outcome) => {
      if (outcome.placed) probe.start(outcome.placement, request, { candidates, timeoutMs, staggerMs })
    })
    return probe
  }

  /** Completes the pending probes in the order in which they were sent; undefined leaves one pending. */
  completeProbes (...reports: ReadonlyArray<loadProbing.LoadReport | 'refused' | undefined>): void {
    const pending = [...this.pending.values()]
    reports.forEach((report, i) => {
      if (report === 'refused') pending[i]!({ kind: 'refused' })
      else if (report !== undefined) pending[i]!({ kind: 'report', report })
    })
  }
}

tap.t.test('cost increases with slowness, with busy slots, and most with a queue', async (t) => {
  const costs = [
    idleReport,
    { ...idleReport, running: 3 },
    { ...idleReport, running: 5 },
    { ...idleReport, running: 6, waiting: 2 },
    { ...idleReport, slowdown: 5 }
  ].map(loadProbing.relativeCost)
  t.same(costs, [...costs].sort((a, b) => a - b))
})

tap.t.test('the first endpoint with a good report is chosen at once, and the other slots are released', async (t) => {
  const service = new ProbingHarness(5)
  service.startProbe()
  t.equal(service.pending.size, 3)
  t.equal(service.dispatcher.inFlight, 3)
  service.completeProbes({ ...idleReport, slowdown: 5 }, idleReport)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
  t.equal(service.dispatcher.inFlight, 1)
})

tap.t.test('without a good report the best endpoint is chosen, at the latest after the timeout', async (t) => {
  const service = new ProbingHarness(5)
  service.startProbe()
  service.completeProbes({ ...idleReport, slowdown: 5 }, { ...idleReport, slowdown: 3 })
  t.equal(service.chosen.length, 0, 'the third may be better')
  service.clock.advance(timeoutMs)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
})

tap.t.test('endpoints that do not respond or refuse are not chosen while another one responds', async (t) => {
  const service = new ProbingHarness(3)
  service.startProbe()
  service.completeProbes(undefined, 'refused', { ...idleReport, running: 6, waiting: 6 })
  service.clock.advance(timeoutMs)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-2')
  service.chosen[0]!.release()
  service.startProbe()
  service.clock.advance(timeoutMs)
  t.not(service.chosen[1]!.endpoint.endpoint, 'd-1', 'a refusal counts against the endpoint')
})

tap.t.test('without any report, or without a probe left in the budget, the call goes to its first placement', async (t) => {
  const service = new ProbingHarness(3)
  service.startProbe()
  service.clock.advance(timeoutMs)
  t.equal(service.chosen.length, 1)
  service.budget = { take: () => false }
  service.startProbe()
  t.equal(service.chosen.length, 2, 'at once')
})

tap.t.test('large responses come from the own failure domain, unless it is much slower', async (t) => {
  const otherDomains = ['b', 'b']
  const service = new ProbingHarness(3, undefined, otherDomains)
  service.startProbe(2, 1.5)
  t.ok(service.pending.has('d-2'), 'it is probed although two others come before it')
  service.completeProbes({ ...idleReport, slowdown: 5 }, idleReport)
  t.equal(service.chosen[0]!.endpoint.failureDomain, 'b')
  const small = new ProbingHarness(3, undefined, otherDomains)
  small.startProbe(2)
  t.notOk(small.pending.has('d-2'))
})

tap.t.test('a call that would be late in each queue is refused at once, and occupies no slot', async (t) => {
  const service = new ProbingHarness(3)
  const full = { ...idleReport, running: slots, waiting: 4 }
  service.timeBudget = { idleMs: workMs, usefulMs: targetLatencyMs, canYield: false }
  service.startProbe()
  service.completeProbes(full, full, full)
  t.same([service.overloadCount, service.chosen.length, service.dispatcher.inFlight], [1, 0, 0])
  service.startProbe()
  service.completeProbes(full, full, { ...full, waiting: 0 })
  t.equal(service.chosen.length, 1, 'one without a queue is chosen')
  service.chosen[0]!.release()
  service.startProbe()
  service.completeProbes(...Array<loadProbing.LoadReport>(3).fill({ ...idleReport, slowdown: 5 }))
  t.equal(service.chosen.length, 2, 'slow ones may recover')
  service.chosen[1]!.release()
  service.timeBudget = { idleMs: workMs, usefulMs: 1200, canYield: false }
  service.startProbe()
  service.completeProbes(full, full, full)
  t.equal(service.chosen.length, 3, 'in time for a caller with a later deadline')
})

tap.t.test('a late call that can yield uses a free slot, but is never queued at an endpoint', async (t) => {
  const service = new ProbingHarness(3)
  const full = { ...idleReport, running: slots }
  service.timeBudget = { idleMs: workMs, usefulMs: targetLatencyMs, canYield: true }
  service.startProbe()
  service.completeProbes(full, full, { ...full, waiting: 2 })
  t.same([service.busyCount, service.overloadCount, service.chosen.length, service.dispatcher.inFlight], [1, 0, 0, 0])
  service.startProbe()
  service.completeProbes(full, full, { ...idleReport, running: slots - 1, slowdown: 5 })
  t.same([service.busyCount, service.chosen.length], [1, 1], 'a slow endpoint with a free slot is chosen')
  service.chosen[0]!.release()
  service.startProbe()
  service.completeProbes(full, full, undefined)
  service.clock.advance(timeoutMs)
  t.same([service.busyCount, service.chosen.length], [1, 2], 'one without a report may have a free slot')
})

tap.t.test('the domain preference follows the size of the responses', async (t) => {
  const preference = new domainPreference.DomainPreference()
  t.equal(preference.remoteFactor, 1, 'no preference before the first response')
  for (let i = 0; i < 100; i++) preference.recordResponseSize(1500)
  t.ok(preference.remoteFactor < 1.02)
  for (let i = 0; i < 100; i++) preference.recordResponseSize(90_000)
  t.equal(preference.remoteFactor, 1.5)
})

tap.t.test('a cancelled choice releases all slots and chooses no endpoint', async (t) => {
  const service = new ProbingHarness(3)
  service.startProbe().cancel()
  service.clock.advance(timeoutMs)
  t.equal(service.dispatcher.inFlight, 0)
  t.equal(service.chosen.length, 0)
})

const seed = 20261204
const endpointCount = 13
const slowShare = 0.25
const slowFactor = 5
const slownessChangeMs = 150
const workMs = 160
const targetLatencyMs = 400
const calls = 2000
const callEveryMs = 40

/** Simulates calls; returns the share of calls that exceed their target latency, and the probes per call. */
function simulateSlowness (candidates: number, staggerMs = 0): { readonly late: number, readonly probes: number } {
  const generator = xoroshiro.xoroshiro128plus(seed)
  const random = (): number => uniform.uniformInt(generator, 0, 999_999) / 1_000_000
  const service = new ProbingHarness(endpointCount, random)
  let slowEndpoints = new Set<string>()
  let late = 0
  let probes = 0
  const changeSlowness = (): void => {
    slowEndpoints = new Set(Array.from({ length: endpointCount }, (_value, i) => `d-${i}`).filter(() => random() < slowShare))
    service.clock.after(slownessChangeMs, changeSlowness)
  }
  changeSlowness()
  for (let i = 0; i < calls; i++) {
    service.startProbe(candidates, 1, staggerMs)
    for (const [id, done] of service.pending) {
      probes++
      done({ kind: 'report', report: { ...idleReport, slowdown: slowEndpoints.has(id) ? slowFactor : 1 } })
    }
    service.pending.clear()
    const placement = service.chosen.at(-1)!
    const tookMs = workMs * (slowEndpoints.has(placement.endpoint.endpoint) ? slowFactor : 1)
    if (tookMs > targetLatencyMs) late++
    service.clock.after(tookMs, () => {
      placement.stats.recordSuccess(tookMs, service.clock.now())
      placement.release()
    })
    service.clock.advance(callEveryMs)
  }
  return { late: late / calls, probes: probes / calls }
}

tap.t.test('while a quarter of the endpoints is slow at any moment, at most 3 in 100 calls exceed their target latency', async (t) => {
  const lateWithoutOthers = simulateSlowness(1).late
  const lateWithProbes = simulateSlowness(3).late
  t.ok(lateWithoutOthers > 0.15, `${lateWithoutOthers} with one endpoint probed`)
  t.ok(lateWithProbes <= 0.03, `${lateWithProbes} with three endpoints probed`)
})

tap.t.test('the same holds when two of them are probed only if the first report is not good, with at most two probes a call', async (t) => {
  const { late, probes } = simulateSlowness(3, staggerMs)
  t.ok(late <= 0.03, `${late} of the calls late`)
  t.ok(probes <= 2, `${probes} probes a call`)
})

tap.t.test('a good first report ends the choice with one probe', async (t) => {
  const service = new ProbingHarness(5)
  service.startProbe(3, 1, staggerMs)
  t.equal(service.pending.size, 1)
  t.equal(service.dispatcher.inFlight, 3, 'the other slots are held until the choice')
  service.completeProbes(idleReport)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-0')
  service.clock.advance(timeoutMs)
  t.same([service.pending.size, service.chosen.length, service.dispatcher.inFlight], [1, 1, 1], 'no further probe is sent')
})

tap.t.test('others are probed at once after a report that is not good, and after a delay without one', async (t) => {
  const service = new ProbingHarness(5)
  service.startProbe(3, 1, staggerMs)
  service.completeProbes({ ...idleReport, slowdown: 5 })
  t.equal(service.pending.size, 3)
  service.completeProbes(undefined, idleReport)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
  const silent = new ProbingHarness(5)
  silent.startProbe(3, 1, staggerMs)
  silent.clock.advance(staggerMs - 1)
  t.equal(silent.pending.size, 1)
  silent.clock.advance(1)
  t.equal(silent.pending.size, 3)
  silent.clock.advance(timeoutMs - staggerMs)
  t.equal(silent.chosen.length, 1, 'the timeout counts from the start')
  t.equal(silent.dispatcher.inFlight, 1)
})

tap.t.test('without a probe left in the budget a staggered choice uses its first placement at once', async (t) => {
  const service = new ProbingHarness(3)
  service.budget = { take: () => false }
  service.startProbe(3, 1, staggerMs)
  t.equal(service.chosen.length, 1)
  t.equal(service.dispatcher.inFlight, 1)
})

tap.t.test('calls that are queued meanwhile do not limit a staggered choice to one endpoint', async (t) => {
  const service = new ProbingHarness(3)
  const full = { ...idleReport, running: slots, waiting: 4 }
  service.timeBudget = { idleMs: workMs, usefulMs: targetLatencyMs, canYield: false }
  service.startProbe(3, 1, staggerMs)
  const held: dispatcher.Placement[] = []
  const request: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt: lane.deadlineMs, typicalMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }
  for (let i = 0; i <= 3 * slots; i++) {
    service.dispatcher.acquire(request, (outcome) => { if (outcome.placed) held.push(outcome.placement) })
  }
  t.ok(service.dispatcher.waiting > 0)
  service.completeProbes(full)
  t.equal(service.overloadCount, 0, 'one full endpoint does not show that the others are full')
  service.completeProbes(undefined, idleReport)
  t.equal(service.chosen[0]!.endpoint.endpoint, 'd-1')
})
