/** Runs the bench once: takes a deployment, policy, fault, load and seed, and returns a table of results. */
import * as adaptivePolicy from '@rosemaryrack/routing/common/adaptivePolicy.js'
import * as baselinePolicies from '@rosemaryrack/routing/common/baselinePolicies.js'
import type * as latencyHistogram from '@rosemaryrack/telemetry/common/latencyHistogram.js'
import * as balancedRun from './balancedRun.js'
import * as centralQueue from './centralQueue.js'
import * as faults from './faults.js'
import * as runStats from './runStats.js'
import * as seededRandom from './seededRandom.js'
import * as targetPool from './targetPool.js'
import * as virtualClock from './virtualClock.js'
import * as workload from './workload.js'

/** Time after the last arrival in which open calls can still end. */
const drainMs = 20_000
const msPerSecond = 1000
/** Gives policies and targets a different random stream from the arrivals. */
const policySeedOffset = 7919

/** Parameters of a run. */
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
  /** Busy time of the busiest endpoint divided by the mean of its service; the highest value of all services. */
  readonly imbalance: number
  /** Attempts (first tries, retries and hedges) per call. */
  readonly attemptsPerCall: number
  /**
   * Share of a service's requests that went to its first endpoint, counted from `failuresDetectedByMs` on; the highest value of
   * all services. With `fast-failures` the first endpoint is the failing one, so this shows whether the policy avoids it.
   */
  readonly firstEndpointShare: number
  /** Highest number of requests at one target at the same time, per slot. */
  readonly mostPresentPerSlot: number
  /** Repeated health checks of targets per second. */
  readonly measuringPerSecond: number
}

/** Name of the simulated central queue, whose latency is the lower bound for all policies. */
export const centralPolicyName = 'central'

const policySetups: readonly balancedRun.PolicySetup[] = [
  { name: 'adaptive', isProductPolicy: true, createPolicy: (random) => new adaptivePolicy.AdaptivePolicy(random) },
  { name: 'random', isProductPolicy: false, createPolicy: (random) => new baselinePolicies.RandomPolicy(random) },
  { name: 'round-robin', isProductPolicy: false, createPolicy: () => new baselinePolicies.RoundRobinPolicy() },
  { name: 'least-in-flight', isProductPolicy: false, createPolicy: (random) => new baselinePolicies.LeastInFlightPolicy(random) },
  { name: 'power-of-two', isProductPolicy: false, createPolicy: (random) => new baselinePolicies.PowerOfTwoPolicy(random) }
]

/** Names of all policies that can be run. */
export const policyNames: readonly string[] = [centralPolicyName, ...policySetups.map(({ name }) => name)]

/** Runs one plan; the same plan gives the same results on any machine. */
export function runBench (plan: BenchPlan, createHistogram: () => latencyHistogram.ILatencyHistogram): BenchResult {
  const deployment = workload.deployments[plan.deployment]
  if (deployment === undefined) throw new Error(`unknown deployment ${plan.deployment}; available: ${Object.keys(workload.deployments).join(', ')}`)
  const clock = new virtualClock.VirtualClock()
  const random = new seededRandom.SeededRandom(plan.seed + policySeedOffset)
  const targets = new targetPool.TargetPool(deployment, plan.fault, clock, random)
  const arrivals = workload.makeArrivals(deployment, plan.load, plan.durationMs, plan.seed)
  const counts = new Map(deployment.lanes.map(({ name }) => [name, runStats.createLaneCounts(createHistogram())]))
  const scheduleArrival = createArrivalScheduler(plan.policy, deployment, targets, clock, random)
  arrivals.forEach((arrival, i) => scheduleArrival(arrival, counts.get(arrival.lane.name)!, i))
  clock.runUntil(faults.failuresDetectedByMs)
  const acceptedBefore = countAcceptedRequests(deployment, targets)
  clock.runUntil(plan.durationMs)
  const firstEndpointShare = maxFirstEndpointShare(acceptedBefore, countAcceptedRequests(deployment, targets))
  const imbalance = maxImbalance(deployment, targets)
  clock.runUntil(plan.durationMs + drainMs)
  const allCounts = [...counts.values()]
  const attempts = allCounts.reduce((sum, { calls, retries, hedges }) => sum + calls + retries + hedges, 0)
  return {
    ...plan,
    rows: [...counts].map(([lane, laneCounts]) => runStats.toLaneRow(lane, laneCounts)),
    imbalance,
    attemptsPerCall: attempts / allCounts.reduce((sum, { calls }) => sum + calls, 0),
    firstEndpointShare,
    mostPresentPerSlot: maxRequestsPerSlot(deployment, targets),
    measuringPerSecond: targets.healthCheckCount * msPerSecond / plan.durationMs
  }
}

type ScheduleArrival = (arrival: workload.Arrival, counts: runStats.LaneCounts, index: number) => void

function createArrivalScheduler (policy: string, deployment: workload.Deployment, targets: targetPool.TargetPool, clock: virtualClock.VirtualClock, random: seededRandom.SeededRandom): ScheduleArrival {
  if (policy === centralPolicyName) {
    const central = new centralQueue.CentralQueue(deployment, targets, clock)
    return (arrival, counts) => central.scheduleArrival(arrival, counts)
  }
  const setup = policySetups.find(({ name }) => name === policy)
  if (setup === undefined) throw new Error(`unknown policy ${policy}; available: ${policyNames.join(', ')}`)
  const run = new balancedRun.BalancedRun(deployment, targets, clock, setup, random)
  return (arrival, counts, index) => run.scheduleArrival(arrival, counts, index)
}

function maxImbalance (deployment: workload.Deployment, targets: targetPool.TargetPool): number {
  return Math.max(...deployment.services.map(({ name }) => {
    const busyMs = targets.getServiceTargets(name).map(({ busySlotMs }) => busySlotMs)
    return Math.max(...busyMs) / (busyMs.reduce((sum, ms) => sum + ms, 0) / busyMs.length)
  }))
}

type AcceptedCounts = ReadonlyArray<readonly number[]>

/** Returns how many requests each endpoint of each service has accepted so far. */
function countAcceptedRequests (deployment: workload.Deployment, targets: targetPool.TargetPool): AcceptedCounts {
  return deployment.services.map(({ name }) => targets.getServiceTargets(name).map(({ acceptedCount }) => acceptedCount))
}

function maxFirstEndpointShare (before: AcceptedCounts, after: AcceptedCounts): number {
  return Math.max(...after.map((accepted, service) => {
    const acceptedSince = accepted.map((count, i) => count - before[service]![i]!)
    return acceptedSince[0]! / Math.max(1, acceptedSince.reduce((sum, count) => sum + count, 0))
  }))
}

function maxRequestsPerSlot (deployment: workload.Deployment, targets: targetPool.TargetPool): number {
  return Math.max(...deployment.services.flatMap(({ name }) => targets.getServiceTargets(name).map((target) => target.peakRequestCount / target.slots)))
}
