/**
 * What callers get, and how much leaves their failure domain, while many instances share small endpoints that are half busy,
 * a quarter of which is slow at any moment.
 */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as domainPreference from '../common/domainPreference.js'
import * as loadProbing from '../common/loadProbing.js'
import * as fixtures from './fixtures.js'
import * as slottedEndpoint from './slottedEndpoint.js'

/** Instances and endpoints of each failure domain, whose shares differ. */
const domains = [{ name: 'a', entries: 6, endpoints: 8 }, { name: 'b', entries: 3, endpoints: 5 }, { name: 'c', entries: 5, endpoints: 5 }]
const slots = 2
const callsPerS = 130
const workMs = 120
const targetMs = 300
const slowShare = 0.25
const slowFactor = 7
const redrawMs = 500
/** Time after which a running call meets a changed slowness, and what is left of one that counts as done. */
const maxStepMs = 50
const doneMs = 0.01
const probeMs = 8
const forS = 60
const seeds = [1, 2, 3]
const msPerSecond = 1000
const lane = fixtures.laneWith({ deadlineMs: 1500, targetLatencyMs: targetMs })

/** Its slowness comes and goes while a call runs. */
class Endpoint extends slottedEndpoint.SlottedEndpoint {
  slowdown = 1

  protected work (done: () => void, leftMs = workMs): void {
    const stepMs = Math.min(leftMs * this.slowdown, maxStepMs)
    this.clock.after(stepMs, () => {
      const stillMs = leftMs - stepMs / this.slowdown
      if (stillMs > doneMs) this.work(done, stillMs)
      else done()
    })
  }
}

interface Played {
  /** Share of the calls that are refused or end later than their target. */
  readonly late: number
  /** Share of the calls that went to an endpoint in another failure domain. */
  readonly remote: number
}

function play (remotePlaceFactor: number, seed: number): Played {
  const generator = xoroshiro.xoroshiro128plus(seed)
  const random = (): number => float.uniformFloat64(generator)
  const clock = new manualClock.ManualClock()
  const announced = domains.flatMap(({ name, endpoints }) =>
    Array.from({ length: endpoints }, (_value, i) => ({ ...fixtures.endpointWith(`${name}-${i}`, slots, 0), failureDomain: name })))
  const endpoints = new Map(announced.map(({ endpoint }) => [endpoint, new Endpoint(clock, slots)]))
  const source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => announced }
  const entryDomains = domains.flatMap(({ name, entries }) => Array<string>(entries).fill(name))
  const options = { service: 'diary', liveEntries: () => entryDomains.length }
  const entries = entryDomains.map((ownFailureDomain) =>
    new dispatcher.Dispatcher({ ...options, ownFailureDomain }, source, new adaptivePolicy.AdaptivePolicy({ next: random }), clock))
  let [calls, late, remote] = [0, 0, 0]
  const prober: loadProbing.IProber = {
    probe: ({ endpoint }, done) => clock.after(probeMs, () => done({ kind: 'report', report: endpoints.get(endpoint)!.report }))
  }
  const redraw = (): void => {
    for (const endpoint of endpoints.values()) endpoint.slowdown = random() < slowShare ? slowFactor : 1
    clock.after(redrawMs, redraw)
  }
  const call = (): void => {
    const position = Math.floor(random() * entries.length)
    const entry = entries[position]!
    const arrivedAt = clock.now()
    const ask: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt: arrivedAt + lane.deadlineMs, typicalMs: workMs, remoteFactor: 1, remotePlacementFactor: remotePlaceFactor, isSuspect: false, excludedEndpoints: new Set() }
    const end = (served: boolean): void => {
      calls++
      if (!served || clock.now() - arrivedAt > targetMs) late++
    }
    const times = { idleMs: workMs, usefulMs: Infinity, canYield: false }
    const probe = new loadProbing.LoadProbe({ dispatcher: entry, prober, budget: { take: () => true }, clock }, times, (choice) => {
      if (choice.kind !== 'placed') return end(false)
      const { placement } = choice
      if (placement.endpoint.failureDomain !== entryDomains[position]) remote++
      const startedAt = clock.now()
      endpoints.get(placement.endpoint.endpoint)!.serve(() => {
        placement.stats.recordSuccess(clock.now() - startedAt, clock.now())
        placement.release()
        end(true)
      })
    })
    entry.acquire(ask, (outcome) => {
      if (outcome.placed) probe.start(outcome.placement, ask, { candidates: 4, timeoutMs: 35, staggerMs: 8 })
      else end(false)
    })
    clock.after(-Math.log(1 - random()) * msPerSecond / callsPerS, call)
  }
  redraw()
  call()
  clock.advance(forS * msPerSecond)
  return { late: late / calls, remote: remote / calls }
}

/** Means over the seeds. */
function playAll (remotePlaceFactor: number): Played {
  const played = seeds.map((seed) => play(remotePlaceFactor, seed))
  const mean = (value: (each: Played) => number): number => played.reduce((sum, each) => sum + value(each), 0) / seeds.length
  return { late: mean(({ late }) => late), remote: mean(({ remote }) => remote) }
}

tap.t.test('asking endpoints of the own failure domain first keeps calls there, and makes none late', async (t) => {
  const [alike, ownFirst] = [playAll(1), playAll(new domainPreference.DomainPreference().factors(true).remotePlacementFactor)]
  t.comment(JSON.stringify({ alike, ownFirst }))
  t.ok(ownFirst.remote < alike.remote * 0.75, 'fewer calls elsewhere')
  t.ok(ownFirst.late < alike.late * 1.1, 'as many in time')
})
