/** Rules by which calls are placed on endpoints. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointStats from './endpointStats.js'
import type * as slotAssignment from './slotAssignment.js'

/** Returns the factor on the cost of endpoints in other failure domains, multiplied by the lane's weight. */
export function weightedFactor ({ lane }: slotAssignment.SlotRequest, factor: number): number {
  return factor * lane.weights.remoteDomain
}

/**
 * Returns whether an endpoint is too cold for a call. Bulk calls warm endpoints up, since the first responses are slow.
 * @param hasColdLimit whether the service limits the requests to cold endpoints, which then get calls of all priorities up to the limit.
 */
export function isTooCold ({ priority, lane }: slotAssignment.SlotRequest, stats: endpointStats.EndpointStats, now: number, hasColdLimit: boolean): boolean {
  return !hasColdLimit && priority !== 'bulk' && now - stats.firstSeenAt < lane.coldStartMs
}

/** Returns the weights of the lane. New endpoints are not worse than others if a limit protects them. */
export function weightsOf ({ lane }: slotAssignment.SlotRequest, hasColdLimit: boolean): configDocument.LaneWeights {
  return hasColdLimit ? { ...lane.weights, coldness: 0 } : lane.weights
}
