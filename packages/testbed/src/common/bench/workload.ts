/** Both deployments as the bench models them: services, lanes, delays, and their arrivals. */
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as seededRandom from './seededRandom.js'

/** A service's targets. */
export interface ServiceModel {
  readonly name: string
  readonly endpoints: number
  readonly slots: number
  readonly connectionLimit: number
}

/** A lane and its part of the service's load. */
export interface LaneModel {
  readonly name: string
  readonly lane: configDocument.Lane
  readonly meanMs: number
  /** Share of the service's capacity that the lane asks for at a load of 100%. */
  readonly share: number
}

/** A deployment at today's size. */
export interface Deployment {
  readonly name: string
  readonly entries: number
  readonly oneWayMs: number
  readonly connectMs: number
  readonly services: readonly ServiceModel[]
  readonly lanes: readonly LaneModel[]
}

/** A call as it arrives; its cost is the same on every endpoint but for the endpoint's own speed. */
export interface Arrival {
  readonly at: number
  readonly entry: number
  readonly lane: LaneModel
  readonly costMs: number
}

function laneOf (raw: object): configDocument.Lane {
  const check = configDocument.checkDocument({ lanes: { lane: raw } })
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document.lanes['lane']!
}

function lane (name: string, service: string, meanMs: number, share: number, rest: object): LaneModel {
  const raw = { service, match: { methods: ['GET'], pathPrefix: '/' }, ...rest }
  return { name, meanMs, share, lane: laneOf(raw) }
}

const urgent = { idempotent: true, priority: 'urgent', deadlineMs: 1500, maxWaitMs: 300 }
const once = { idempotent: false, priority: 'normal', deadlineMs: 5000, maxWaitMs: 2000 }
const bulk = { idempotent: true, priority: 'bulk', deadlineMs: 10_000, maxWaitMs: 5000, budgets: { hedgeRatio: 0 } }

export const deployments: { readonly [name: string]: Deployment } = {
  brandpost: {
    name: 'brandpost',
    entries: 16,
    oneWayMs: 0.5,
    connectMs: 1,
    services: [
      { name: 'hydrant-lookup', endpoints: 13, slots: 6, connectionLimit: 260 },
      { name: 'inspection', endpoints: 8, slots: 6, connectionLimit: 260 },
      { name: 'map-bundle', endpoints: 12, slots: 6, connectionLimit: 260 }
    ],
    lanes: [
      lane('lookup', 'hydrant-lookup', 10, 0.75, urgent),
      lane('export', 'hydrant-lookup', 20, 0.25, bulk),
      lane('sign-off', 'inspection', 20, 1, once),
      lane('bundle', 'map-bundle', 200, 1, bulk)
    ]
  },
  kwezi: {
    name: 'kwezi',
    entries: 17,
    oneWayMs: 0.5,
    connectMs: 1,
    services: [
      { name: 'diary', endpoints: 11, slots: 4, connectionLimit: 240 },
      { name: 'payments', endpoints: 6, slots: 4, connectionLimit: 240 },
      { name: 'files', endpoints: 13, slots: 4, connectionLimit: 240 }
    ],
    lanes: [
      lane('diary', 'diary', 12, 0.8, urgent),
      lane('report', 'diary', 40, 0.2, bulk),
      lane('payment', 'payments', 40, 1, once),
      lane('album', 'files', 150, 1, bulk)
    ]
  }
}

const burstMs = { least: 5, mean: 40 }
const burstFactors: readonly number[] = [0.5, 0.75, 1, 1, 1.25, 1.5]
const heavyTail = { share: 0.02, factor: 5 }

/** Cost with a heavy tail: mostly exponential, one in fifty five times as long. */
function cost (random: seededRandom.SeededRandom, meanMs: number): number {
  const base = meanMs / (1 - heavyTail.share + heavyTail.share * heavyTail.factor)
  return random.exponential(random.next() < heavyTail.share ? base * heavyTail.factor : base)
}

/** Calls a millisecond that a lane asks for on average, at a load of 1 as many as the targets can run. */
export function callsPerMs (deployment: Deployment, model: LaneModel, load: number): number {
  const service = deployment.services.find(({ name }) => name === model.lane.service)!
  return load * model.share * service.endpoints * service.slots / model.meanMs
}

/** Arrivals of a lane, open-loop; its rate shifts every few milliseconds around the mean. */
function arrivalsOfLane (deployment: Deployment, model: LaneModel, load: number, durationMs: number, random: seededRandom.SeededRandom): readonly Arrival[] {
  const perMs = callsPerMs(deployment, model, load)
  const arrivals: Arrival[] = []
  let factor = 1
  let shiftAt = 0
  for (let at = 0; ;) {
    if (at >= shiftAt) {
      factor = burstFactors[random.below(burstFactors.length)]!
      shiftAt = at + burstMs.least + random.exponential(burstMs.mean)
    }
    at += random.exponential(1 / (perMs * factor))
    if (at >= durationMs) return arrivals
    arrivals.push({ at, entry: random.below(deployment.entries), lane: model, costMs: cost(random, model.meanMs) })
  }
}

/** All arrivals of a run, in order; equal for each policy under the same seed. */
export function makeArrivals (deployment: Deployment, load: number, durationMs: number, seed: number): readonly Arrival[] {
  const all = deployment.lanes.flatMap((model, i) =>
    arrivalsOfLane(deployment, model, load, durationMs, new seededRandom.SeededRandom(seed * 1000 + i)))
  return all.sort((a, b) => a.at - b.at)
}
