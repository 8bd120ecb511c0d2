/** Budgets, queue order and lane matching: hard limits and fixed orders. */
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as tap from 'tap'
import * as budget from '../common/budget.js'
import * as laneMatcher from '../common/laneMatcher.js'
import * as waitingQueue from '../common/waitingQueue.js'

const manual = { time: 0 }
const clock = { now: () => manual.time, after: () => () => {} }

function takeAll (source: budget.IBudget): number {
  let taken = 0
  while (source.take()) taken++
  return taken
}

tap.t.test('a ratio budget grants its share of the calls and a small burst, never more', async (t) => {
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

tap.t.test('a rate budget grants its number a second, and none at zero', async (t) => {
  const measuring = new budget.RateBudget(() => 5, clock)
  let granted = takeAll(measuring)
  for (manual.time = 0; manual.time < 10_000; manual.time += 10) granted += takeAll(measuring)
  t.ok(granted <= 51 && granted >= 49, `${granted} in 10 s`)
  const slow = new budget.RateBudget(() => 0.1, clock)
  t.equal(takeAll(slow), 1)
  manual.time += 9000
  t.equal(takeAll(slow), 0)
  manual.time += 1001
  t.equal(takeAll(slow), 1)
  t.equal(takeAll(new budget.RateBudget(() => 0, clock)), 0)
})

tap.t.test('waiting calls stand by priority, then by deadline', async (t) => {
  const queue = new waitingQueue.WaitingQueue<waitingQueue.Waiting & { readonly name: string }>()
  const items = [['bulk', 5], ['normal', 9], ['urgent', 8], ['normal', 3], ['urgent', 8], ['bulk', 1]] as const
  items.forEach(([priority, deadlineAt], i) => queue.add({ priority, deadlineAt, name: `${priority}-${deadlineAt}-${i}` }))
  t.same(queue.snapshot().map(({ name }) => name), ['urgent-8-2', 'urgent-8-4', 'normal-3-3', 'normal-9-1', 'bulk-1-5', 'bulk-5-0'])
  t.equal(queue.position({ priority: 'normal', deadlineAt: 5 }), 3)
})

tap.t.test('a request finds the lane with the longest prefix, a named host first', async (t) => {
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
