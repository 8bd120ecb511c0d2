/** One run of the bench: deployment, policy, fault, load and seed in, a table out. */
import * as adaptivePolicy from '@rosemaryrack/routing/common/adaptivePolicy.js'
import * as baselinePolicies from '@rosemaryrack/routing/common/baselinePolicies.js'
import type * as latencyHistogram from '@rosemaryrack/telemetry/common/latencyHistogram.js'
import * as balancedRun from './balancedRun.js'
import * as centralQueue from './centralQueue.js'
import * as faults from './faults.js'
import * as runStats from './runStats.js'
import * as seededRandom from './seededRandom.js'
import * as targetPark from './targetPark.js'
import * as virtualClock from './virtualClock.js'
import * as workload from './workload.js'

const drainMs = 20_000
const msPerSecond = 1000
const policySeedOffset = 7919

/** What to run. */
export interface BenchPlan {
  readonly deployment: string
  readonly policy: string
  readonly fault: faults.FaultName
  readonly load: number
  readonly seed: number
  readonly durationMs: number
}

/** Result of a run. */
export interface BenchResult extends BenchPlan {
  readonly rows: readonly runStats.LaneRow[]
  /** Busiest endpoint's busy time against the mean of its service, the worst service counting. */
  readonly imbalance: number
  /** Attempts against calls. */
  readonly attemptsPerCall: number
  /** Share of a service's runs that its first endpoint got once its failures must have been noticed; the worst service counts. */
  readonly firstEndpointShare: number
  /** Most requests in one target at once, against its slots. */
  readonly mostPresentPerSlot: number
  readonly measuringPerSecond: number
}

export const centralName = 'central'

const setups: readonly balancedRun.PolicySetup[] = [
  { name: 'adaptive', product: true, newPolicy: (random) => new adaptivePolicy.AdaptivePolicy(random) },
  { name: 'random', product: false, newPolicy: (random) => new baselinePolicies.RandomPolicy(random) },
  { name: 'round-robin', product: false, newPolicy: () => new baselinePolicies.RoundRobinPolicy() },
  { name: 'least-in-flight', product: false, newPolicy: (random) => new baselinePolicies.LeastInFlightPolicy(random) },
  { name: 'power-of-two', product: false, newPolicy: (random) => new baselinePolicies.PowerOfTwoPolicy(random) }
]

export const policyNames: readonly string[] = [centralName, ...setups.map(({ name }) => name)]

/** Runs one plan; the same plan gives the same figures on any machine. */
export function runBench (plan: BenchPlan, newHistogram: () => latencyHistogram.ILatencyHistogram): BenchResult {
  const deployment = workload.deployments[plan.deployment]
  if (deployment === undefined) throw new Error(`no deployment ${plan.deployment}; there are ${Object.keys(workload.deployments).join(', ')}`)
  const clock = new virtualClock.VirtualClock()
  const random = new seededRandom.SeededRandom(plan.seed + policySeedOffset)
  const park = new targetPark.TargetPark(deployment, plan.fault, clock, random)
  const arrivals = workload.makeArrivals(deployment, plan.load, plan.durationMs, plan.seed)
  const counts = new Map(deployment.lanes.map(({ name }) => [name, runStats.newCounts(newHistogram())]))
  const add = adder(plan.policy, deployment, park, clock, random)
  arrivals.forEach((arrival, i) => add(arrival, counts.get(arrival.lane.name)!, i))
  clock.runUntil(faults.failuresNoticedAt)
  const before = servedCounts(deployment, park)
  clock.runUntil(plan.durationMs)
  const firstEndpointShare = firstShare(before, servedCounts(deployment, park))
  const imbalance = worstImbalance(deployment, park)
  clock.runUntil(plan.durationMs + drainMs)
  const all = [...counts.values()]
  const attempts = all.reduce((sum, { calls, retries, hedges }) => sum + calls + retries + hedges, 0)
  return {
    ...plan,
    rows: [...counts].map(([lane, laneCounts]) => runStats.toRow(lane, laneCounts)),
    imbalance,
    attemptsPerCall: attempts / all.reduce((sum, { calls }) => sum + calls, 0),
    firstEndpointShare,
    mostPresentPerSlot: mostPresent(deployment, park),
    measuringPerSecond: park.measuringMessages * msPerSecond / plan.durationMs
  }
}

type Add = (arrival: workload.Arrival, counts: runStats.LaneCounts, index: number) => void

function adder (policy: string, deployment: workload.Deployment, park: targetPark.TargetPark, clock: virtualClock.VirtualClock, random: seededRandom.SeededRandom): Add {
  if (policy === centralName) {
    const central = new centralQueue.CentralQueue(deployment, park, clock)
    return (arrival, counts) => central.add(arrival, counts)
  }
  const setup = setups.find(({ name }) => name === policy)
  if (setup === undefined) throw new Error(`no policy ${policy}; there are ${policyNames.join(', ')}`)
  const run = new balancedRun.BalancedRun(deployment, park, clock, setup, random)
  return (arrival, counts, index) => run.add(arrival, counts, index)
}

function worstImbalance (deployment: workload.Deployment, park: targetPark.TargetPark): number {
  return Math.max(...deployment.services.map(({ name }) => {
    const busy = park.targetsOf(name).map(({ busyTime }) => busyTime)
    return Math.max(...busy) / (busy.reduce((sum, ms) => sum + ms, 0) / busy.length)
  }))
}

type ServedCounts = ReadonlyArray<readonly number[]>

/** Requests that each endpoint of each service has taken so far. */
function servedCounts (deployment: workload.Deployment, park: targetPark.TargetPark): ServedCounts {
  return deployment.services.map(({ name }) => park.targetsOf(name).map(({ servedCount }) => servedCount))
}

function firstShare (before: ServedCounts, after: ServedCounts): number {
  return Math.max(...after.map((served, service) => {
    const since = served.map((count, i) => count - before[service]![i]!)
    return since[0]! / Math.max(1, since.reduce((sum, count) => sum + count, 0))
  }))
}

function mostPresent (deployment: workload.Deployment, park: targetPark.TargetPark): number {
  return Math.max(...deployment.services.flatMap(({ name }) => park.targetsOf(name).map((target) => target.mostPresent / target.slots)))
}
