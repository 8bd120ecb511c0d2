/** Latency, attempt and imbalance targets of the balancing policy, simulated on virtual time: the same seed gives the same results on any machine. */
import * as tap from 'tap'
import * as hdrLatency from '@rosemaryrack/telemetry/node/hdrLatency.js'
import * as benchRun from '../common/bench/benchRun.js'
import type * as faults from '../common/bench/faults.js'
import type * as runStats from '../common/bench/runStats.js'
import * as workload from '../common/bench/workload.js'

const seed = 1
const durationMs = 10_000
const msPerSecond = 1000
const resultCache = new Map<string, benchRun.BenchResult>()

/** Returns the result of a run; each combination of parameters runs only once. */
function runCached (deployment: string, policy: string, fault: faults.FaultName, load: number): benchRun.BenchResult {
  const key = `${deployment} ${policy} ${fault} ${load}`
  let result = resultCache.get(key)
  if (result === undefined) {
    result = benchRun.runBench({ deployment, policy, fault, load, seed, durationMs }, () => new hdrLatency.HdrLatency())
    resultCache.set(key, result)
  }
  return result
}

function findLaneRow (result: benchRun.BenchResult, lane: string): runStats.LaneRow {
  return result.rows.find((row) => row.lane === lane)!
}

/** Returns the p99.9 of the adaptive policy divided by that of a baseline. */
function p999Ratio (deployment: string, lane: string, baseline: string, fault: faults.FaultName = 'stragglers'): number {
  const adaptiveP999 = findLaneRow(runCached(deployment, 'adaptive', fault, 0.85), lane).p999
  return adaptiveP999 / findLaneRow(runCached(deployment, baseline, fault, 0.85), lane).p999
}

const urgentLanes = { brandpost: 'lookup', kwezi: 'diary' } as const
const nonIdempotentLanes = { brandpost: 'sign-off', kwezi: 'payment' } as const

for (const [deployment, lane] of Object.entries(urgentLanes)) {
  tap.t.test(`${deployment}: urgent p99.9 at 85% with stragglers at most 1.2 times the lower bound`, async (t) => {
    const ratio = p999Ratio(deployment, lane, benchRun.centralPolicyName)
    t.ok(ratio <= 1.2, `ratio ${ratio.toFixed(2)}`)
  })

  tap.t.test(`${deployment}: urgent p99.9 at 85% with stragglers at most 0.4 times power of two choices`, async (t) => {
    const ratio = p999Ratio(deployment, lane, 'power-of-two')
    t.ok(ratio <= 0.4, `ratio ${ratio.toFixed(2)}`)
  })

  tap.t.test(`${deployment}: urgent calls at 95% no worse than the best baseline at any percentile`, async (t) => {
    const adaptiveRow = findLaneRow(runCached(deployment, 'adaptive', 'stragglers', 0.95), lane)
    for (const quantile of ['p50', 'p99', 'p999'] as const) {
      const best = Math.min(...['random', 'round-robin', 'least-in-flight', 'power-of-two'].map((policy) => findLaneRow(runCached(deployment, policy, 'stragglers', 0.95), lane)[quantile]))
      t.ok(adaptiveRow[quantile] <= best, `${quantile} ${adaptiveRow[quantile]}, best baseline ${best}`)
    }
  })

  tap.t.test(`${deployment}: urgent calls keep their deadline at 120%, attempts at most 1.1 times the calls`, async (t) => {
    const result = runCached(deployment, 'adaptive', 'stragglers', 1.2)
    const { refused, failed, late } = findLaneRow(result, lane)
    t.same({ refused, failed, late }, { refused: 0, failed: 0, late: 0 })
    t.ok(result.attemptsPerCall <= 1.1, `attempts ${result.attemptsPerCall.toFixed(3)}`)
  })

  tap.t.test(`${deployment}: a fast-failing endpoint receives less than 1% of calls from one second after its failures start`, async (t) => {
    const { firstEndpointShare } = runCached(deployment, 'adaptive', 'fast-failures', 0.85)
    t.ok(firstEndpointShare < 0.01, `share ${(firstEndpointShare * 100).toFixed(2)}%`)
  })

  tap.t.test(`${deployment}: a cold start adds nothing to the urgent p99.9`, async (t) => {
    const cold = findLaneRow(runCached(deployment, 'adaptive', 'cold', 0.85), lane).p999
    const warm = findLaneRow(runCached(deployment, 'adaptive', 'late', 0.85), lane).p999
    t.ok(cold <= warm, `${cold} ms when it starts cold, ${warm} ms when it starts warm at the same time`)
  })

  tap.t.test(`${deployment}: attempts are at most 1.1 times the calls when targets shed load`, async (t) => {
    const result = runCached(deployment, 'adaptive', 'shedding', 1.2)
    t.ok(result.attemptsPerCall <= 1.1, `attempts ${result.attemptsPerCall.toFixed(3)}`)
  })

  tap.t.test(`${deployment}: health checks stay within the lanes' budgets and 1% of the capacity at each load while connections are lost`, async (t) => {
    const plan = workload.deployments[deployment]!
    const { lanes, entryCount } = plan
    const budget = lanes.reduce((sum, model) => sum + model.config.budgets.measuringPerSecond, 0)
    const capacity = lanes.reduce((sum, model) => sum + workload.callsPerMs(plan, model, 1) * msPerSecond, 0)
    // A token bucket holds the budget of one second, and at least one check per entry instance and lane.
    const burstCheckCount = lanes.reduce((sum, model) => sum + Math.max(entryCount, model.config.budgets.measuringPerSecond), 0)
    const maxPerSecond = budget + burstCheckCount * msPerSecond / durationMs
    for (const load of [0.5, 0.7, 0.85, 0.95, 1.2]) {
      const { measuringPerSecond } = runCached(deployment, 'adaptive', 'resets', load)
      t.ok(measuringPerSecond > 0, `${load}: health checks were sent`)
      t.ok(measuringPerSecond <= maxPerSecond, `${load}: ${measuringPerSecond}/s of ${maxPerSecond}/s`)
      t.ok(measuringPerSecond < 0.01 * capacity, `${load}: ${measuringPerSecond}/s, capacity ${capacity}/s`)
    }
  })

  tap.t.test(`${deployment}: the same plan gives the same results`, async (t) => {
    const repeated = benchRun.runBench({ deployment, policy: 'adaptive', fault: 'none', load: 0.85, seed, durationMs }, () => new hdrLatency.HdrLatency())
    t.same(repeated, runCached(deployment, 'adaptive', 'none', 0.85))
  })
}

for (const [deployment, lane] of Object.entries(nonIdempotentLanes)) {
  tap.t.test(`${deployment}: non-idempotent p99.9 at 85% with stragglers at most 1.8 times the lower bound`, async (t) => {
    const ratio = p999Ratio(deployment, lane, benchRun.centralPolicyName)
    t.ok(ratio <= 1.8, `ratio ${ratio.toFixed(2)}`)
  })
}
