/** Order of the queue between flows: a flow that asks much costs the others nothing, and one call per flow keeps the order by deadline. */
import * as fc from 'fast-check'
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '../common/adaptivePolicy.js'
import * as dispatcher from '../common/dispatcher.js'
import type * as flowSchedule from '../common/flowSchedule.js'
import * as waitingQueue from '../common/waitingQueue.js'
import * as workspaceFlows from '../common/workspaceFlows.js'
import * as fixtures from './fixtures.js'

interface Named extends waitingQueue.QueuedCall {
  readonly name: string
}

function names (queue: waitingQueue.WaitingQueue<Named>): readonly string[] {
  return queue.snapshot().map(({ name }) => name)
}

/** Returns the calls `a0`, `a1`, ... of a flow, with ascending deadlines. */
function createCalls (flow: string, count: number, firstDeadline = 0): readonly Named[] {
  return Array.from({ length: count }, (_, i) => ({ name: `${flow}${i}`, flow, priority: 'normal' as const, deadlineAt: firstDeadline + i }))
}

tap.t.test('calls of flows with one outstanding call each are ordered by priority and deadline, as without flows', async (t) => {
  const step = fc.record({ priority: fc.constantFrom('urgent' as const, 'normal' as const, 'bulk' as const, 1.5, 0), deadlineAt: fc.integer({ min: 0, max: 50 }), served: fc.integer({ min: 0, max: 3 }), cancelled: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const withFlows = new waitingQueue.WaitingQueue<Named>()
    const without = new waitingQueue.WaitingQueue<Named>()
    steps.forEach(({ priority, deadlineAt, served, cancelled }, i) => {
      const call = { name: `c${i}`, priority, deadlineAt }
      const flowCall = { ...call, flow: `flow-${i}` }
      if (withFlows.position(flowCall) !== without.position(call)) throw new Error('other position')
      withFlows.add(flowCall)
      without.add(call)
      if (cancelled) {
        const index = i % without.length
        withFlows.remove(withFlows.snapshot()[index]!)
        without.remove(without.snapshot()[index]!)
      }
      for (let count = 0; count < served && without.length > 0; count++) {
        withFlows.serve(withFlows.snapshot()[0]!)
        without.serve(without.snapshot()[0]!)
      }
      if (names(withFlows).join() !== names(without).join()) throw new Error(`${names(withFlows).join()} instead of ${names(without).join()}`)
    })
  }))
  t.pass('same order')
})

tap.t.test('calls of a flow with many come after the first calls of the others, and take turns by weight', async (t) => {
  const rules: flowSchedule.IFlowRules = { weightOf: (flow) => flow === 'c' ? 2 : 1, givesWay: () => false, isLeastUrgent: () => true }
  const queue = new waitingQueue.WaitingQueue<Named>(rules)
  for (const call of [...createCalls('a', 4), ...createCalls('b', 2, 100), ...createCalls('c', 4, 200)]) queue.add(call)
  t.same(names(queue), ['a0', 'b0', 'c0', 'c1', 'a1', 'b1', 'c2', 'c3', 'a2', 'a3'])
})

tap.t.test('calls that are refused do not count against their flow', async (t) => {
  const queue = new waitingQueue.WaitingQueue<Named>()
  const calls = createCalls('a', 5)
  for (const call of [...calls, ...createCalls('b', 2, 100)]) queue.add(call)
  for (const call of calls.slice(0, 3)) queue.remove(call)
  t.same(names(queue), ['a3', 'b0', 'a4', 'b1'])
  t.equal(queue.position({ priority: 'normal', flow: 'a', deadlineAt: 0 }), 4)
})

tap.t.test('a flow that gives way comes after equal calls of others, but before second calls of others', async (t) => {
  const queue = new waitingQueue.WaitingQueue<Named>({ weightOf: () => 1, givesWay: (flow) => flow === 'a', isLeastUrgent: () => true })
  for (const call of [...createCalls('a', 1), ...createCalls('b', 2, 100), ...createCalls('c', 1, 200)]) queue.add(call)
  t.same(names(queue), ['b0', 'c0', 'a0', 'b1'])
})

tap.t.test('weights follow the quotas, and a workspace without one has the mean', async (t) => {
  const check = configDocument.checkDocument({ lanes: {}, workspaces: { a: { apiKeys: ['1'], ratePerSecond: 5 }, b: { apiKeys: ['2'], ratePerSecond: 15 }, c: { apiKeys: ['3'] } } })
  if (!check.ok) throw new Error(check.problems.join('; '))
  const flows = new workspaceFlows.WorkspaceFlows({ givesWay: () => false })
  flows.applyDocument(check.document)
  t.same(['a', 'b', 'c', 'connection'].map((flow) => flows.weightOf(flow)), [0.5, 1.5, 1, 1])
})

// Guards against a rank that is served less often than a less urgent one, because one of its workspaces gives way.
tap.t.test('a workspace is compared with those of its rank, and never leaves endpoints to less urgent calls', async (t) => {
  const lane = { service: 's', idempotent: true, deadlineMs: 1, maxWaitMs: 1 }
  const lanes = { first: { ...lane, priority: 'urgent', match: { pathPrefix: '/a' } }, second: { ...lane, priority: 'normal', match: { pathPrefix: '/b' } }, other: { ...lane, service: 'x', priority: 'bulk', match: { pathPrefix: '/c' } } }
  const compared: string[] = []
  const flows = new workspaceFlows.WorkspaceFlows({
    givesWay: (_name, isComparable) => {
      compared.push(...['a', 'b', 'c'].filter((other) => isComparable!(other)))
      return true
    }
  })
  const apply = (workspaces: object): void => {
    const check = configDocument.checkDocument({ lanes, workspaces })
    if (!check.ok) throw new Error(check.problems.join('; '))
    flows.applyDocument(check.document)
  }
  apply({ a: { apiKeys: ['1'], priority: 0 }, b: { apiKeys: ['2'], priority: 4 }, c: { apiKeys: ['3'], priority: 4 } })
  flows.givesWay('b')
  t.same(compared, ['b', 'c'])
  t.same([0, 4].map((priority) => flows.isLeastUrgent('s', priority)), [false, true])
  apply({ a: { apiKeys: ['1'] }, b: { apiKeys: ['2'] } })
  t.same((['urgent', 'normal'] as const).map((priority) => flows.isLeastUrgent('s', priority)), [false, true])
})

const flowCount = 10
const slots = 8
const workMs = 100
const seed = 7

/** A service whose endpoint has less capacity than its callers ask for. */
class BusyService {
  readonly clock = new manualClock.ManualClock()
  readonly sent = Array.from({ length: flowCount }, () => 0)
  readonly served = Array.from({ length: flowCount }, () => 0)
  /** Times from the arrival of a call to its refusal. */
  readonly refusedAfterMs: number[] = []
  private readonly generator = xoroshiro.xoroshiro128plus(seed)
  private readonly dispatcher: dispatcher.Dispatcher

  constructor (private readonly withFlows: boolean) {
    const endpoint = { ...fixtures.createEndpoint('d-1', slots, 0), connectionLimit: 100 }
    const source = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => [endpoint] }
    this.dispatcher = new dispatcher.Dispatcher({ service: 'diary', ownFailureDomain: 'a', liveEntries: () => 1 }, source, new adaptivePolicy.AdaptivePolicy({ next: () => 0.5 }), this.clock)
  }

  /** Sends calls; `factors` tells how often each flow sends relative to its usual rate, at which all together use 0.9 of the capacity. */
  play (factors: readonly number[], durationMs: number): void {
    factors.forEach((factor, i) => this.scheduleCall(i, flowCount * workMs / slots / 0.9 / factor, durationMs))
    this.clock.advance(durationMs + 2000)
  }

  private scheduleCall (flow: number, meanMs: number, endsAt: number): void {
    this.clock.after(-Math.log(1 - float.uniformFloat64(this.generator)) * meanMs, () => {
      if (this.clock.now() >= endsAt) return
      this.scheduleCall(flow, meanMs, endsAt)
      this.call(flow, 'normal', 500)
    })
  }

  call (flow: number, priority: configDocument.LanePriority, deadlineMs: number): void {
    const arrivedAt = this.clock.now()
    this.sent[flow]!++
    const lane = fixtures.createLane({ deadlineMs, maxWaitMs: deadlineMs, coldStartMs: 0 })
    this.dispatcher.acquire({ lane, priority, ...(this.withFlows ? { flow: `w-${flow}` } : {}), deadlineAt: arrivedAt + deadlineMs, typicalMs: workMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }, (outcome) => {
      if (!outcome.placed) {
        this.refusedAfterMs.push(this.clock.now() - arrivedAt)
        return
      }
      this.served[flow]!++
      this.clock.after(workMs, () => outcome.placement.release())
    })
  }
}

function shares ({ sent, served }: BusyService): readonly number[] {
  return served.map((count, i) => count / sent[i]!)
}

tap.t.test('a workspace that asks five times its usual rate costs the others nothing', async (t) => {
  const factors = Array.from({ length: flowCount }, (_, i) => i === 0 ? 5 : 1)
  const [fair, plain] = [true, false].map((withFlows) => {
    const service = new BusyService(withFlows)
    service.play(factors, 30_000)
    return service
  })
  const mean = (service: BusyService): number => service.served.reduce((a, b) => a + b) / service.sent.reduce((a, b) => a + b)
  const lowest = Math.min(...shares(fair!).slice(1))
  const usual = new BusyService(true)
  usual.play(factors.map(() => 1), 30_000)
  const usualLowest = Math.min(...shares(usual).slice(1))
  t.ok(lowest >= usualLowest - 0.03, `lowest share of the others ${lowest}, usually ${usualLowest}`)
  t.ok(lowest >= 0.8 && lowest >= mean(fair!), `lowest share of the others ${lowest}, mean ${mean(fair!)}`)
  t.ok(Math.min(...shares(plain!).slice(1)) < 0.9, 'without flows, the others lose')
  t.ok(mean(fair!) >= 0.95 * mean(plain!), `served in all: ${mean(fair!)}, without flows ${mean(plain!)}`)
  t.ok(shares(fair!)[0]! >= 0.25, `the workspace itself gets what is left: ${shares(fair!)[0]}`)
})

tap.t.test('a queued call that more urgent ones displace is refused at once', async (t) => {
  const service = new BusyService(true)
  service.play(Array.from({ length: flowCount }, () => 0.5), 20_000)
  service.refusedAfterMs.length = 0
  for (let i = 0; i < slots; i++) service.call(1, 'normal', 500)
  service.call(2, 'normal', 250)
  t.same(service.refusedAfterMs, [], 'the call can be served in time')
  for (let i = 0; i < 3 * slots; i++) service.call(3 + i % 5, 'urgent', 1000)
  t.same(service.refusedAfterMs, [0], 'its deadline has not passed')
})
