/** Fairness between workspaces over 30 instances in overload, in virtual time: quotas, loads, queues and load probes together. */
import * as tap from 'tap'
import * as fairFleet from './fairFleet.js'

/** Quotas of 640 requests per second; the first workspace has a quarter of them. 20 endpoints serve 400 per second. */
const rates = Array.from({ length: 20 }, (_, i) => i === 0 ? 160 : 480 / 19)
const usual = rates.map((rate) => 0.6 * rate)
const fiveTimes = usual.map((perSecond, i) => i === 0 ? 5 * perSecond : perSecond)
const base = { instances: 30, endpoints: 20, rates, durationMs: 30_000, seed: 3, knowsLoads: true }

function play (options: Partial<fairFleet.FairCase>): fairFleet.FairFleet {
  return new fairFleet.FairFleet({ ...base, sent: usual, ...options }).play()
}

function mean ({ served, asked }: fairFleet.FairFleet): number {
  return served.reduce((a, b) => a + b) / asked.reduce((a, b) => a + b)
}

tap.t.test('a workspace that asks five times its usual rate does not take what the others usually get', async (t) => {
  for (const endpoints of [20, 14]) {
    const fleet = play({ sent: fiveTimes, endpoints })
    const others = Math.min(...fleet.shares.slice(1))
    const usualShare = mean(play({ endpoints }))
    t.ok(others >= 0.8 * mean(fleet), `${endpoints} endpoints: others at least ${others}, mean ${mean(fleet)}`)
    t.ok(others > Math.min(...play({ sent: fiveTimes, endpoints, knowsLoads: false }).shares.slice(1)), 'more than without loads')
    t.ok(others >= 0.6 * usualShare, `usually ${usualShare}`)
    t.ok(fleet.shares[0]! >= 0.25 * mean(fleet), `the workspace itself: ${fleet.shares[0]}`)
  }
})

tap.t.test('workspaces that use different parts of their quotas get similar shares in overload', async (t) => {
  const fleet = play({ sent: rates.map((rate, i) => rate * (0.3 + 0.03 * i)), endpoints: 14 })
  t.ok(Math.min(...fleet.shares) >= 0.8 * mean(fleet), `smallest share ${Math.min(...fleet.shares)}, mean ${mean(fleet)}`)
})

tap.t.test('without overload, no workspace gives way', async (t) => {
  const fleet = play({ endpoints: 30 })
  t.ok(Math.min(...fleet.shares) >= 0.99, `smallest share ${Math.min(...fleet.shares)}`)
})
