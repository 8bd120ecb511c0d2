/** Many instances that press on endpoints beyond what these can do: what callers get with and without refusing. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import * as loadProbing from '../common/loadProbing.js'
import * as timeBudget from '../common/timeBudget.js'
import * as fixtures from './fixtures.js'

const seed = 20261204
const entries = 17
const endpointCount = 13
const slots = 6
const workMs = 160
/** A full endpoint takes longer for each call. */
const fullSlowdown = 1.7
const timeoutMs = 25
const probedCandidates = 3
const playMs = 5000
const lane = fixtures.laneWith({ deadlineMs: 1200, targetLatencyMs: 400 })

/** Endpoint with slots and a queue in order of arrival. */
class Endpoint {
  private running = 0
  private readonly queue: Array<() => void> = []

  constructor (private readonly clock: manualClock.ManualClock) {}

  get report (): loadProbing.LoadReport {
    return { running: this.running, waiting: this.queue.length, slots, slowdown: 1 }
  }

  serve (done: () => void): void {
    if (this.running === slots) {
      this.queue.push(() => this.serve(done))
      return
    }
    this.running++
    const ms = workMs * (this.running === slots ? fullSlowdown : 1)
    this.clock.after(ms, () => {
      this.running--
      done()
      this.queue.shift()?.()
    })
  }
}

/** Share of the callers that got their answer within the lane's target. */
function play (load: number, refuses: boolean): number {
  const source = xoroshiro.xoroshiro128plus(seed)
  const random = (): number => uniform.uniformInt(source, 0, 999_999) / 1_000_000
  const clock = new manualClock.ManualClock()
  const endpoints = new Map(Array.from({ length: endpointCount }, (_value, i) => [`d-${i}`, new Endpoint(clock)]))
  const known: readonly endpointTable.Endpoint[] = [...endpoints.keys()].map((id) => ({ ...fixtures.endpointWith(id, slots, 0), connectionLimit: 260 }))
  const table = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => known }
  const options = { service: 'diary', ownFailureDomain: 'a', liveEntries: () => entries }
  const dispatchers = Array.from({ length: entries }, () => new dispatcher.Dispatcher(options, table, new adaptivePolicy.AdaptivePolicy({ next: random }), clock))
  const prober = {
    probe: (endpoint: endpointTable.Endpoint, done: (outcome: loadProbing.ProbeOutcome) => void) => {
      done({ kind: 'report', report: endpoints.get(endpoint.endpoint)!.report })
      return () => {}
    }
  }
  let callers = 0
  let inTime = 0
  const arrive = (): void => {
    callers++
    const startedAt = clock.now()
    const deadlineAt = startedAt + lane.deadlineMs
    const placer = dispatchers[callers % entries]!
    const ask: dispatcher.SlotRequest = { lane, priority: lane.priority, deadlineAt, typicalMs: workMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }
    placer.acquire(ask, (outcome) => {
      if (!outcome.placed) return
      const bears = refuses ? timeBudget.computeTimeBudget(lane, { arrivedAt: startedAt, deadlineAt, now: clock.now() }, workMs) : { idleMs: workMs, usefulMs: Infinity, canYield: false }
      const probe = new loadProbing.LoadProbe({ dispatcher: placer, prober, budget: { take: () => true }, clock }, bears, (choice) => {
        if (choice.kind !== 'placed') return
        endpoints.get(choice.placement.endpoint.endpoint)!.serve(() => {
          choice.placement.release()
          if (clock.now() - startedAt <= lane.targetLatencyMs!) inTime++
        })
      })
      probe.start(outcome.placement, ask, { candidates: probedCandidates, timeoutMs, staggerMs: 0 })
    })
  }
  const capacityPerMs = endpointCount * slots / workMs
  while (clock.now() < playMs) {
    arrive()
    clock.advance(-Math.log(1 - random()) / (capacityPerMs * load))
  }
  clock.advance(lane.deadlineMs * 2)
  return inTime / callers
}

tap.t.test('at half as much again as the endpoints can do, refusing keeps most of what they can do in time', async (t) => {
  const load = 1.5
  const doneByFullEndpoints = 1 / (load * fullSlowdown)
  const without = play(load, false)
  const refusing = play(load, true)
  t.ok(refusing >= 0.95 * doneByFullEndpoints, `${refusing.toFixed(3)} in time with refusing`)
  t.ok(without < refusing / 2, `${without.toFixed(3)} in time without`)
})

tap.t.test('at half of what the endpoints can do, refusing changes nothing', async (t) => {
  t.equal(play(0.5, true), play(0.5, false))
})
