/**
 * Many instances with few calls each: how many connections they open, how evenly endpoints are used, and when an endpoint
 * that is added gets its first call, while part of the endpoints is slow at any moment.
 */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as loadProbing from '../common/loadProbing.js'
import * as fixtures from './fixtures.js'

const seed = 20261205
const entryCount = 60
const endpointCount = 50
const slots = 2
const callEveryMs = 290
const workMs = 120
const slowShare = 0.3
const slowFactor = 7
const redrawMs = 500
const idleLimitMs = 8000
const warmUpMs = 12_000
const playMs = 36_000
const addedAtMs = 24_000
const lane = fixtures.laneWith({ deadlineMs: 3000 })

/** An endpoint with its load. */
class Target {
  running = 0
  calls = 0
  slow = false
  firstCallAt = Infinity

  constructor (readonly endpoint: endpointTable.Endpoint) {}

  get report (): loadProbing.LoadReport {
    return { running: Math.min(slots, this.running), waiting: Math.max(0, this.running - slots), slots, slowdown: this.slow ? slowFactor : 1 }
  }
}

interface Played {
  readonly connectionsPerCall: number
  /** Calls of the busiest endpoint against the mean. */
  readonly unevenness: number
  readonly firstCallAfterMs: number
  readonly late: number
}

/**
 * @param keepsTo instances know which endpoints they are connected to.
 * @param candidates endpoints that may be asked for one call, the first of them alone.
 */
function play (keepsTo: boolean, candidates: number): Played {
  const clock = new manualClock.ManualClock()
  const source = xoroshiro.xoroshiro128plus(seed)
  const random = (): number => uniform.uniformInt(source, 0, 999_999) / 1_000_000
  const targets = new Map<string, Target>()
  let endpoints: readonly endpointTable.Endpoint[] = []
  const add = (id: string): void => {
    const endpoint = { ...fixtures.endpointWith(id, slots, 0), connectionLimit: 880 }
    targets.set(id, new Target(endpoint))
    endpoints = [...endpoints, endpoint]
  }
  for (let i = 0; i < endpointCount; i++) add(`d-${i}`)
  const table = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => endpoints }
  let opened = 0
  let calls = 0
  let late = 0
  const counts = (): boolean => clock.now() >= warmUpMs

  for (let n = 0; n < entryCount; n++) {
    /** Times at which idle connections were given back. */
    const idle = new Map<string, number[]>()
    const take = (id: string): void => {
      const times = (idle.get(id) ?? []).filter((at) => clock.now() - at <= idleLimitMs)
      if (times.pop() === undefined && counts()) opened++
      idle.set(id, times)
    }
    const giveBack = (id: string): void => { idle.get(id)!.push(clock.now()) }
    const isConnected = ({ endpoint }: endpointTable.Endpoint): boolean => idle.get(endpoint)?.some((at) => clock.now() - at <= idleLimitMs) === true
    const options = { service: 'diary', ownFailureDomain: 'a', liveEntries: () => entryCount, ...(keepsTo ? { isConnected } : {}) }
    const placer = new dispatcher.Dispatcher(options, table, new adaptivePolicy.AdaptivePolicy({ next: random }), clock)
    const prober: loadProbing.IProber = {
      probe: ({ endpoint }, done) => {
        take(endpoint)
        done({ kind: 'report', report: targets.get(endpoint)!.report })
        giveBack(endpoint)
        return () => {}
      }
    }
    const serve = (placement: dispatcher.Placement): void => {
      const { endpoint: id } = placement.endpoint
      const target = targets.get(id)!
      const startedAt = clock.now()
      take(id)
      target.running++
      target.firstCallAt = Math.min(target.firstCallAt, startedAt)
      if (counts()) target.calls++
      const tookMs = workMs * target.report.slowdown * Math.max(1, target.running / slots)
      if (counts() && tookMs > 3 * workMs) late++
      clock.after(tookMs, () => {
        target.running--
        placement.stats.recordSuccess(tookMs, clock.now())
        placement.release()
        giveBack(id)
      })
    }
    const call = (): void => {
      if (counts()) calls++
      const ask: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt: clock.now() + lane.deadlineMs, typicalMs: workMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }
      placer.acquire(ask, (outcome) => {
        if (!outcome.placed) return
        const probe = new loadProbing.LoadProbe({ dispatcher: placer, prober, budget: { take: () => true }, clock }, { idleMs: workMs, usefulMs: Infinity, canYield: false }, (choice) => {
          if (choice.kind === 'placed') serve(choice.placement)
        })
        probe.start(outcome.placement, ask, { candidates, timeoutMs: 25, staggerMs: 8 })
      })
      clock.after(callEveryMs * (0.5 + random()), call)
    }
    clock.after(callEveryMs * random(), call)
  }
  const redraw = (): void => {
    for (const target of targets.values()) target.slow = random() < slowShare
    clock.after(redrawMs, redraw)
  }
  redraw()
  clock.after(addedAtMs, () => add('d-new'))
  clock.advance(playMs)
  const used = [...targets.values()].filter(({ endpoint }) => endpoint.endpoint !== 'd-new').map((target) => target.calls)
  const mean = used.reduce((sum, each) => sum + each, 0) / used.length
  return {
    connectionsPerCall: opened / calls,
    unevenness: Math.max(...used) / mean,
    firstCallAfterMs: targets.get('d-new')!.firstCallAt - addedAtMs,
    late: late / calls
  }
}

tap.t.test('instances with few calls keep to endpoints that they are connected to, and use all of them', async (t) => {
  const any = play(false, 3)
  const kept = play(true, 4)
  t.comment(JSON.stringify({ any, kept }))
  t.ok(kept.connectionsPerCall <= 0.5 * any.connectionsPerCall, `${kept.connectionsPerCall} connections a call, ${any.connectionsPerCall} without`)
  t.ok(kept.unevenness <= 1.5, `busiest against mean ${kept.unevenness}, ${any.unevenness} without`)
  t.ok(kept.firstCallAfterMs <= 8000, `the first call of an added endpoint after ${kept.firstCallAfterMs} ms, ${any.firstCallAfterMs} without`)
  t.ok(kept.late <= any.late + 0.01, `${kept.late} of the calls at slow endpoints, ${any.late} without`)
})
