/**
 * Delays for late calls: those that can no longer get a response within the target latency of their lane. They use only slots
 * that are free, so that calls that can still be in time go first. This limits the load after many callers have waited at the
 * same time, for instance while all instances were down.
 */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as balancingPolicy from './balancingPolicy.js'
import type * as timeBudget from './timeBudget.js'

/** Maximum random delay before the first attempt of a late call, in typical latencies; it spreads calls that were held together. */
const initialDelayFactor = 1
/** Delay of a late call that found no free slot, in typical latencies, and the share of it that is added at random. */
const retryDelayFactor = 0.3
const retryDelayJitter = 1
/** Time left until the deadline, in typical latencies, below which a late call no longer waits for a free slot but is queued. */
const minTimeLeftFactor = 4

/** Returns whether a call is late and has enough time left to wait for a free slot. */
export function canYield (lane: configDocument.Lane, { arrivedAt, deadlineAt, now }: timeBudget.CallTimes, typicalMs: number): boolean {
  if (lane.targetLatencyMs === undefined) return false
  const isLate = now + typicalMs > arrivedAt + lane.targetLatencyMs
  return isLate && now + typicalMs * minTimeLeftFactor < deadlineAt
}

/** Returns the delay before the first attempt of a late call, in milliseconds. */
export function initialDelayMs (typicalMs: number, random: balancingPolicy.IRandom): number {
  return typicalMs * initialDelayFactor * random.next()
}

/** Returns the delay until a late call looks for a free slot again, in milliseconds. */
export function retryDelayMs (typicalMs: number, random: balancingPolicy.IRandom): number {
  return typicalMs * retryDelayFactor * (1 + retryDelayJitter * random.next())
}
