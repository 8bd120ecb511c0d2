/**
 * Delays for late calls: those that can no longer get a response within the target latency of their lane. They use only slots
 * that are free, so that calls that can still be in time go first. This limits the load after many callers have waited at the
 * same time, for instance while all instances were down.
 */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as balancingPolicy from './balancingPolicy.js'
import type * as timeLimits from './timeLimits.js'

/**
 * Maximum random delay before the first attempt of a late call, as a multiple of the typical latency; it spreads out calls that have
 * been waiting and arrive at the same moment.
 */
const initialDelayFactor = 1
/** Delay of a late call that found no free slot, as a multiple of the typical latency, and the share of it that is added at random. */
const slotRequestDelayFactor = 0.3
const slotRequestDelayJitter = 1
/**
 * Time left until the deadline, as a multiple of the typical latency, below which a late call no longer waits for a free slot but is
 * queued.
 */
const minTimeLeftFactor = 4

/** Returns whether a call is late and has enough time left to wait for a free slot. */
export function shouldWaitForFreeSlot (lane: configDocument.Lane, { arrivedAt, deadlineAt, now }: timeLimits.CallTimes, typicalMs: number): boolean {
  if (lane.targetLatencyMs === undefined) return false
  const isLate = now + typicalMs > arrivedAt + lane.targetLatencyMs
  return isLate && now + typicalMs * minTimeLeftFactor < deadlineAt
}

/** Returns the delay before the first attempt of a late call, in milliseconds. */
export function initialDelayMs (typicalMs: number, random: balancingPolicy.IRandom): number {
  return typicalMs * initialDelayFactor * random.next()
}

/** Returns the delay before a free slot is requested again for a late call, in milliseconds. */
export function slotRequestDelayMs (typicalMs: number, random: balancingPolicy.IRandom): number {
  return typicalMs * slotRequestDelayFactor * (1 + slotRequestDelayJitter * random.next())
}
