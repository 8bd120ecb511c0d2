/**
 * Calls that can't be answered within their target any more. It answers the load after many callers waited together, for
 * instance while every instance was away: late calls take the slots that are free, those that can be in time come first.
 */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as balancingPolicy from './balancingPolicy.js'
import type * as timeBudget from './timeBudget.js'

/** Widest wait of a late call before its first try, in typical times: those that were held together don't come at once. */
const firstWaitFactor = 1
/** Wait of a late call that found no free slot, in typical times, and the part of it that is added by chance. */
const againFactor = 0.3
const againSpread = 1
/** Time before the deadline, in typical times, from which on a late call takes its place in a queue. */
const lastCallFactor = 4

/** Whether a call that comes so late may still wait for a free slot. */
export function mayYield (lane: configDocument.Lane, { arrivedAt, deadlineAt, now }: timeBudget.CallTimes, typicalMs: number): boolean {
  if (lane.targetLatencyMs === undefined) return false
  const isLate = now + typicalMs > arrivedAt + lane.targetLatencyMs
  return isLate && now + typicalMs * lastCallFactor < deadlineAt
}

/** Wait before a late call's first try, in milliseconds. */
export function firstWaitMs (typicalMs: number, random: balancingPolicy.IRandom): number {
  return typicalMs * firstWaitFactor * random.next()
}

/** Wait until a late call looks for a free slot again, in milliseconds. */
export function againMs (typicalMs: number, random: balancingPolicy.IRandom): number {
  return typicalMs * againFactor * (1 + againSpread * random.next())
}
