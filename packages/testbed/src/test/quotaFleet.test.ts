/** Quotas of workspaces over 140 instances in virtual time: never above the quota rule, and no refusal below the quota while nothing is disrupted. */
import * as tap from 'tap'
import * as quotaFleet from './quotaFleet.js'

const rates = quotaFleet.createRates()
const largest = rates.length - 1
const middle = rates.length - 4
const smallest = 0
const base = { instances: 140, rates, callers: 'even', seed: 1, durationMs: 30_000 } as const
const outage = { fromMs: 12_000, toMs: 14_000 }

function surgeOf (workspace: number): Pick<quotaFleet.QuotaCase, 'surge'> {
  return { surge: { workspace, fromMs: 10_000, toMs: 20_000 } }
}

function play (options: Partial<quotaFleet.QuotaCase>): quotaFleet.QuotaResult {
  return new quotaFleet.QuotaFleet({ ...base, ...options }).play()
}

/** Returns the largest use of what the quota rule allows, over all workspaces. */
function findWorst ({ runs }: quotaFleet.QuotaResult): number {
  return Math.max(...runs.map((each, i) => quotaFleet.findWorstUse(each, rates[i]!)))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Returns the requests per second of a workspace that ran while it asked for more than its quota, relative to the quota. */
function findSurgeUse ({ runs }: quotaFleet.QuotaResult, workspace: number): number {
  return runs[workspace]!.filter((at) => at >= 13_000 && at < 20_000).length / 7 / rates[workspace]!
}

for (const callers of ['even', 'skewed', 'moving'] as const) {
  tap.t.test(`${callers} callers below their quota are never refused, with few messages`, async (t) => {
    const result = play({ callers, staysBelowQuota: true })
    t.equal(sum(result.overQuota), 0, 'requests refused for the quota')
    t.equal(sum(result.notRun), 0, 'requests refused without a token')
    t.equal(sum(result.runs.map(({ length }) => length)), sum(result.sent))
    t.ok(result.messages <= 1.05 * sum(result.sent), `${result.messages} messages for ${sum(result.sent)} requests`)
  })

  tap.t.test(`a workspace whose ${callers} callers ask 7.5 times as much as usual gets its quota, and not more`, async (t) => {
    for (const workspace of [smallest, middle, largest]) {
      const result = play({ callers, ...surgeOf(workspace) })
      t.ok(findWorst(result) <= 1, `use of the rule's limit: ${findWorst(result)}`)
      const use = findSurgeUse(result, workspace)
      t.ok(use >= 0.9 && use <= 1.05, `use of the quota of ${rates[workspace]} per second: ${use}`)
    }
  })
}

const disruptions: Readonly<Record<string, Partial<quotaFleet.QuotaCase>>> = {
  'the leader is lost': { lostLeader: outage },
  'the leader is lost as the surge begins': { lostLeader: { fromMs: 9900, toMs: 13_000 } },
  'the leader is lost for long': { lostLeader: { fromMs: 9900, toMs: 18_000 } },
  'one instance is cut off': { cutOff: { instances: 1, fromMs: 8000, toMs: 20_000 } },
  'a third of the instances is cut off': { cutOff: { instances: 46, fromMs: 8000, toMs: 20_000 } },
  'instances restart': { restartEveryMs: 200 },
  'instances restart without a leader': { restartEveryMs: 50, lostLeader: { fromMs: 9900, toMs: 18_000 } }
}

for (const [name, disruption] of Object.entries(disruptions)) {
  tap.t.test(`no workspace gets more than the quota rule allows while ${name}`, async (t) => {
    for (const callers of ['even', 'skewed', 'moving'] as const) {
      for (const workspace of [smallest, middle, largest]) {
        const worst = findWorst(play({ callers, ...disruption, ...surgeOf(workspace) }))
        t.ok(worst <= 1, `${callers} callers, ${rates[workspace]} per second: ${worst}`)
      }
    }
  })
}

tap.t.test('requests below the quota wait for a new leader and are served', async (t) => {
  t.equal(sum(play({ staysBelowQuota: true, lostLeader: { fromMs: 12_000, toMs: 13_000 } }).overQuota), 0, 'refused for the quota after one second')
  const result = play({ staysBelowQuota: true, lostLeader: outage })
  const refused = sum(result.overQuota) + sum(result.notRun)
  const sentMeanwhile = sum(result.sent) * (outage.toMs - outage.fromMs) / base.durationMs
  t.ok(refused <= 0.1 * sentMeanwhile, `${refused} refused of ${sentMeanwhile}`)
})

tap.t.test('a lowered quota binds 5 s later', async (t) => {
  for (const callers of ['even', 'moving'] as const) {
    const { runs } = play({ callers, lowered: { workspace: largest, atMs: 12_000 }, ...surgeOf(largest) })
    const worst = quotaFleet.findWorstUse(runs[largest]!, rates[largest]! / 2, 17_000)
    t.ok(worst <= 1, `use of the lower limit: ${worst}`)
  }
})

tap.t.test('requests that run a second time count', async (t) => {
  const worst = findWorst(play({ repeatShare: 0.2, ...surgeOf(largest) }))
  t.ok(worst <= 1, `use of the rule's limit: ${worst}`)
})

tap.t.test('refusals cost few messages, and refused callers do not return together', async (t) => {
  const result = play({ callers: 'skewed', ...surgeOf(largest) })
  const calm = play({ callers: 'skewed' })
  const refused = sum(result.overQuota) - sum(calm.overQuota)
  const admitted = sum(result.runs.map(({ length }) => length)) - sum(calm.runs.map(({ length }) => length))
  const messages = result.messages - calm.messages - admitted
  t.ok(messages <= 0.5 * refused, `${messages} messages for ${refused} refusals`)
  const returns = result.retries.filter(({ at }) => at >= 15_000 && at < 15_100).map(({ at, afterMs }) => Math.floor((at + afterMs) / 10))
  const largestGroup = Math.max(...returns.map((slot) => returns.filter((other) => other === slot).length))
  t.ok(largestGroup <= 0.2 * returns.length, `${largestGroup} of ${returns.length} return within the same 10 ms`)
})

tap.t.test('an instance without requests sends no messages', async (t) => {
  const usualShareOfAll = 0.6
  const { messages, sent } = play({ rates: [5], durationMs: 60_000 })
  t.ok(messages <= 1.05 * sum(sent), `${messages} messages for ${sum(sent)} requests, ${5 * usualShareOfAll} per second`)
})
