/** Deployments that the bench simulates: services, lanes and network delays, and the arrivals of a run. */
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as seededRandom from './seededRandom.js'

/** Number, slots and connection limit of a service's endpoints. */
export interface ServiceModel {
  readonly name: string
  readonly endpointCount: number
  readonly slots: number
  readonly connectionLimit: number
}

/** A lane, the mean cost of its calls and its share of the service's load. */
export interface LaneModel {
  readonly name: string
  readonly config: configDocument.Lane
  readonly meanCostMs: number
  /** Share of the service's capacity that the lane uses at a load of 100%. */
  readonly capacityShare: number
}

/** A simulated deployment: entry instances, services, lanes and network delays. */
export interface Deployment {
  readonly name: string
  readonly entryCount: number
  readonly oneWayDelayMs: number
  readonly connectMs: number
  readonly services: readonly ServiceModel[]
  readonly lanes: readonly LaneModel[]
}

/** A call that arrives at an entry instance; `costMs` is its run time on an endpoint that is not slowed down. */
export interface Arrival {
  readonly at: number
  readonly entry: number
  readonly lane: LaneModel
  readonly costMs: number
}

function parseLane (raw: object): configDocument.Lane {
  const check = configDocument.checkDocument({ lanes: { lane: raw } })
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document.lanes['lane']!
}

function createLaneModel (name: string, service: string, meanCostMs: number, capacityShare: number, rest: object): LaneModel {
  const raw = { service, match: { methods: ['GET'], pathPrefix: '/' }, ...rest }
  return { name, meanCostMs, capacityShare, config: parseLane(raw) }
}

const urgentLane = { idempotent: true, priority: 'urgent', deadlineMs: 1500, maxWaitMs: 300 }
const nonIdempotentLane = { idempotent: false, priority: 'normal', deadlineMs: 5000, maxWaitMs: 2000 }
const bulkLane = { idempotent: true, priority: 'bulk', deadlineMs: 10_000, maxWaitMs: 5000, budgets: { hedgeRatio: 0 } }

/** Simulated deployments by name. */
export const deployments: { readonly [name: string]: Deployment } = {
  brandpost: {
    name: 'brandpost',
    entryCount: 16,
    oneWayDelayMs: 0.5,
    connectMs: 1,
    services: [
      { name: 'hydrant-lookup', endpointCount: 13, slots: 6, connectionLimit: 260 },
      { name: 'inspection', endpointCount: 8, slots: 6, connectionLimit: 260 },
      { name: 'map-bundle', endpointCount: 12, slots: 6, connectionLimit: 260 }
    ],
    lanes: [
      createLaneModel('lookup', 'hydrant-lookup', 10, 0.75, urgentLane),
      createLaneModel('export', 'hydrant-lookup', 20, 0.25, bulkLane),
      createLaneModel('sign-off', 'inspection', 20, 1, nonIdempotentLane),
      createLaneModel('bundle', 'map-bundle', 200, 1, bulkLane)
    ]
  },
  kwezi: {
    name: 'kwezi',
    entryCount: 17,
    oneWayDelayMs: 0.5,
    connectMs: 1,
    services: [
      { name: 'diary', endpointCount: 11, slots: 4, connectionLimit: 240 },
      { name: 'payments', endpointCount: 6, slots: 4, connectionLimit: 240 },
      { name: 'files', endpointCount: 13, slots: 4, connectionLimit: 240 }
    ],
    lanes: [
      createLaneModel('diary', 'diary', 12, 0.8, urgentLane),
      createLaneModel('report', 'diary', 40, 0.2, bulkLane),
      createLaneModel('payment', 'payments', 40, 1, nonIdempotentLane),
      createLaneModel('album', 'files', 150, 1, bulkLane)
    ]
  }
}

/** Time for which a lane keeps its rate: `min` plus an exponential time with this mean. */
const rateDurationMs = { min: 5, mean: 40 }
const rateFactors: readonly number[] = [0.5, 0.75, 1, 1, 1.25, 1.5]
const heavyTail = { share: 0.02, factor: 5 }

/** Draws a cost with a heavy tail: exponential, and one in fifty from a mean five times as long. */
function drawCost (random: seededRandom.SeededRandom, meanMs: number): number {
  const base = meanMs / (1 - heavyTail.share + heavyTail.share * heavyTail.factor)
  return random.nextExponential(random.next() < heavyTail.share ? base * heavyTail.factor : base)
}

/** Returns the mean arrival rate of a lane in calls per millisecond; at a load of 1 it takes up its share of the service's capacity. */
export function callsPerMs (deployment: Deployment, model: LaneModel, load: number): number {
  const service = deployment.services.find(({ name }) => name === model.config.service)!
  return load * model.capacityShare * service.endpointCount * service.slots / model.meanCostMs
}

/** Returns the arrivals of a lane, which do not depend on when earlier calls end; the rate varies around its mean at random intervals. */
function makeLaneArrivals (deployment: Deployment, model: LaneModel, load: number, durationMs: number, random: seededRandom.SeededRandom): readonly Arrival[] {
  const perMs = callsPerMs(deployment, model, load)
  const arrivals: Arrival[] = []
  let rateFactor = 1
  let nextRateChangeAt = 0
  for (let at = 0; ;) {
    if (at >= nextRateChangeAt) {
      rateFactor = rateFactors[random.nextInt(rateFactors.length)]!
      nextRateChangeAt = at + rateDurationMs.min + random.nextExponential(rateDurationMs.mean)
    }
    at += random.nextExponential(1 / (perMs * rateFactor))
    if (at >= durationMs) return arrivals
    arrivals.push({ at, entry: random.nextInt(deployment.entryCount), lane: model, costMs: drawCost(random, model.meanCostMs) })
  }
}

/** Returns all arrivals of a run in order of time; the same for every policy with the same seed. */
export function makeArrivals (deployment: Deployment, load: number, durationMs: number, seed: number): readonly Arrival[] {
  const all = deployment.lanes.flatMap((model, i) =>
    makeLaneArrivals(deployment, model, load, durationMs, new seededRandom.SeededRandom(seed * 1000 + i)))
  return all.sort((a, b) => a.at - b.at)
}
