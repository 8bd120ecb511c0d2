/** Budgets, order of the queue, lane matching and traffic split. */
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as fc from 'fast-check'
import * as tap from 'tap'
import * as budget from '../common/budget.js'
import * as trafficSplit from '../common/trafficSplit.js'
import * as laneMatcher from '../common/laneMatcher.js'
import * as waitingQueue from '../common/waitingQueue.js'

const manualTime = { time: 0 }
const clock = { now: () => manualTime.time, after: () => () => {} }

/** Takes all tokens of a budget and returns their number. */
function takeAll (source: budget.IBudget): number {
  let count = 0
  while (source.take()) count++
  return count
}

tap.t.test('a ratio budget grants its share of the calls and a small burst, but no more', async (t) => {
  const retries = new budget.RatioBudget(0.1)
  const burst = takeAll(retries)
  t.equal(burst, 10)
  let granted = 0
  for (let i = 0; i < 1000; i++) {
    retries.deposit()
    if (retries.take()) granted++
  }
  t.ok(granted <= 100 && granted >= 99, `${granted} of 1000`)
  t.equal(takeAll(new budget.RatioBudget(0)), 0)
})

tap.t.test('a rate budget grants its rate per second, and nothing at a rate of zero', async (t) => {
  const measuring = new budget.RateBudget(() => 5, clock)
  let granted = takeAll(measuring)
  for (manualTime.time = 0; manualTime.time < 10_000; manualTime.time += 10) granted += takeAll(measuring)
  t.ok(granted <= 51 && granted >= 49, `${granted} in 10 s`)
  const slow = new budget.RateBudget(() => 0.1, clock)
  t.equal(takeAll(slow), 1)
  manualTime.time += 9000
  t.equal(takeAll(slow), 0)
  manualTime.time += 1001
  t.equal(takeAll(slow), 1)
  t.equal(takeAll(new budget.RateBudget(() => 0, clock)), 0)
})

tap.t.test('a rate budget that starts full grants the tokens of one second at once, then its rate per second', async (t) => {
  manualTime.time = 0
  const probes = new budget.RateBudget(() => 40, clock, true)
  t.equal(takeAll(probes), 40)
  manualTime.time += 500
  t.equal(takeAll(probes), 20)
  manualTime.time += 5000
  t.equal(takeAll(probes), 40)
})

tap.t.test('waiting calls are ordered by priority, then by deadline', async (t) => {
  const queue = new waitingQueue.WaitingQueue<waitingQueue.QueuedCall & { readonly name: string }>()
  const items = [['bulk', 5], ['normal', 9], ['urgent', 8], ['normal', 3], ['urgent', 8], ['bulk', 1]] as const
  items.forEach(([priority, deadlineAt], i) => queue.add({ priority, deadlineAt, name: `${priority}-${deadlineAt}-${i}` }))
  t.same(queue.snapshot().map(({ name }) => name), ['urgent-8-2', 'urgent-8-4', 'normal-3-3', 'normal-9-1', 'bulk-1-5', 'bulk-5-0'])
  t.equal(queue.position({ priority: 'normal', deadlineAt: 5 }), 3)
})

tap.t.test('a request matches the lane with the longest prefix; lanes with a host take precedence', async (t) => {
  const lane = { service: 's', idempotent: true, deadlineMs: 1, maxWaitMs: 1 }
  const check = configDocument.checkDocument({
    lanes: {
      all: { ...lane, match: { methods: ['GET'], pathPrefix: '/' } },
      flags: { ...lane, match: { methods: ['GET', 'POST'], pathPrefix: '/flags' } },
      urgent: { ...lane, match: { methods: ['GET'], pathPrefix: '/flags/urgent' } },
      host: { ...lane, match: { methods: ['GET'], pathPrefix: '/', host: 'old.example' } }
    }
  })
  if (!check.ok) throw new Error(check.problems.join())
  const matcher = new laneMatcher.LaneMatcher(check.document)
  const find = (method: string, host: string, path: string): string | undefined => matcher.find(method, host, path)?.name
  t.same([
    find('GET', 'h', '/flags/7'), find('GET', 'h', '/flagship'), find('GET', 'h', '/flags/urgent'),
    find('POST', 'h', '/flags'), find('POST', 'h', '/other'), find('GET', 'old.example', '/flags/urgent')
  ], ['flags', 'all', 'urgent', 'flags', undefined, 'host'])
})

tap.t.test('a host matches in any case', async (t) => {
  const lane = { service: 's', idempotent: true, deadlineMs: 1, maxWaitMs: 1 }
  for (const host of ['jepu9.example', 'Jepu9.Example']) {
    const check = configDocument.checkDocument({ lanes: { host: { ...lane, match: { pathPrefix: '/', host } } } })
    if (!check.ok) throw new Error(check.problems.join())
    const matcher = new laneMatcher.LaneMatcher(check.document)
    t.same(['jepu9.example', 'Jepu9.Example', 'JEPU9.EXAMPLE'].map((each) => matcher.find('GET', each, '/')?.name), ['host', 'host', 'host'], host)
  }
})

const windowMs = 10_000
const seed = 20261204

/** Times of the calls and repeats of all instances. */
interface FleetEvents {
  readonly calls: readonly number[]
  readonly repeats: readonly number[]
}

/** Simulates instances with uneven shares of the calls, some of which restart and lose their state. */
function simulateRepeats (shares: readonly number[], restarts: ReadonlyArray<{ readonly at: number, readonly instance: number }>): FleetEvents {
  const newBudget = (): budget.RepeatBudget => new budget.RepeatBudget({ ratio: 0.2, extra: 60, windowMs }, () => shares.length, clock)
  const budgets = shares.map(newBudget)
  const events = { calls: [] as number[], repeats: [] as number[] }
  for (manualTime.time = 0; manualTime.time < 3 * windowMs; manualTime.time += 50) {
    for (const { at, instance } of restarts) {
      if (at === manualTime.time) budgets[instance % shares.length] = newBudget()
    }
    shares.forEach((share, i) => {
      for (let n = 0; n < share; n++) {
        budgets[i]!.recordCall()
        events.calls.push(manualTime.time)
      }
      // Every instance tries to send more repeats than its part of the budget.
      for (let n = 0; n < share + 1; n++) if (budgets[i]!.take()) events.repeats.push(manualTime.time)
    })
  }
  return events
}

tap.t.test('repeats of all instances stay within the shared budget in each window, while instances restart', async (t) => {
  const restart = fc.record({ at: fc.nat(500).map((n) => n * 50), instance: fc.nat(16) })
  fc.assert(fc.property(fc.array(fc.nat(3), { minLength: 2, maxLength: 17 }), fc.array(restart, { maxLength: 5 }), (shares, restarts) => {
    const { calls, repeats } = simulateRepeats(shares, restarts)
    return repeats.every((from) => {
      const inWindow = (at: number): boolean => at >= from && at < from + windowMs
      const before = (at: number): boolean => at >= from - windowMs && at < from
      // The window of a budget ends at the repeat, so calls before `from` allow repeats soon after it.
      const counted = Math.max(calls.filter(inWindow).length, calls.filter(before).length)
      return repeats.filter(inWindow).length <= 0.2 * counted + 60
    })
  }), { seed, numRuns: 40 })
  t.pass()
})

tap.t.test('a split gives each service its share, from any starting point', async (t) => {
  const parts = [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }, { service: 'none', weight: 0 }]
  for (const start of [0, 0.3, 0.99]) {
    const split = new trafficSplit.TrafficSplit({ next: () => start })
    const counts: Record<string, number> = { old: 0, new: 0, none: 0 }
    for (let i = 0; i < 1000; i++) counts[split.next(parts)]!++
    t.ok(Math.abs(counts['old']! - 900) <= 2, `${counts['old']} of 1000 from ${start}`)
    t.equal(counts['none'], 0, 'a part without weight')
  }
})

tap.t.test('a split keeps its shares when its weights are given in another scale', async (t) => {
  for (const { before, after } of [{ before: [90, 10], after: [0.9, 0.1] }, { before: [50, 50], after: [1, 1] }, { before: [1, 3], after: [1000, 3000] }]) {
    const partsOf = ([a, b]: readonly number[]): readonly trafficSplit.SplitPart[] => [{ service: 'a', weight: a! }, { service: 'b', weight: b! }]
    for (let earlierCalls = 1; earlierCalls <= 10; earlierCalls++) {
      const split = new trafficSplit.TrafficSplit({ next: () => 0 })
      for (let i = 0; i < earlierCalls; i++) split.next(partsOf(before))
      const count = Array.from({ length: 100 }, () => split.next(partsOf(after))).filter((service) => service === 'a').length
      const expected = 100 * before[0]! / (before[0]! + before[1]!)
      t.ok(Math.abs(count - expected) <= 2, `${count} of 100 to a after ${earlierCalls} calls with ${before}, then ${after}`)
    }
  }
})

// Guards against calls to a service that the configuration in force excludes.
tap.t.test('a service whose weight becomes 0 gets no call, whatever the split was before', async (t) => {
  const services = ['a', 'b', 'c']
  const weights = fc.tuple(...services.map(() => fc.nat(100))).filter((each) => each.some((weight) => weight > 0))
  const versions = fc.array(fc.record({ weights, calls: fc.nat(30) }), { minLength: 2, maxLength: 5 })
  const seed = 1
  fc.assert(fc.property(fc.double({ min: 0, max: 0.999, noNaN: true }), versions, (start, list) => {
    const split = new trafficSplit.TrafficSplit({ next: () => start })
    return list.every((version) => {
      const parts = services.map((service, i) => ({ service, weight: version.weights[i]! }))
      const chosen = Array.from({ length: version.calls }, () => split.next(parts))
      return chosen.every((service) => parts.some((part) => part.service === service && part.weight > 0))
    })
  }), { seed, numRuns: 200 })
  t.pass()
})
