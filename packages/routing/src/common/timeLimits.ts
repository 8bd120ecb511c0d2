/** Time limits of a call for the choice of an endpoint. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as lateCalls from './lateCalls.js'

/** Times of one call, in milliseconds. */
export interface TimeLimits {
  /** Expected latency at an idle endpoint. */
  readonly idleEndpointLatencyMs: number
  /** Time left in which a response is still useful to the caller. */
  readonly usefulTimeLeftMs: number
  /** True if the response will be late in any case and the call has time to wait for a free slot. */
  readonly shouldWaitForFreeSlot: boolean
}

/** Times on the clock: arrival and deadline of a caller's request, and the current time. */
export interface CallTimes {
  readonly arrivedAt: number
  readonly deadlineAt: number
  readonly now: number
  /** True if calls of other workspaces go first while endpoints have queues. */
  readonly givesWay?: boolean
}

/** Part of the useful time that a call which gives way may spend at an endpoint with a queue; the rest of the queue is left to others. */
const givingWayShare = 0.5

/**
 * Returns the time limits of a call. A response is useful within the target latency of the lane; once that has passed, until the
 * deadline.
 */
export function computeTimeLimits (lane: configDocument.Lane, { arrivedAt, deadlineAt, now, givesWay }: CallTimes, idleEndpointLatencyMs: number): TimeLimits {
  const targetLeftMs = arrivedAt + (lane.targetLatencyMs ?? Infinity) - now
  const deadlineLeftMs = deadlineAt - now
  const shouldWaitForFreeSlot = lateCalls.shouldWaitForFreeSlot(lane, { arrivedAt, deadlineAt, now }, idleEndpointLatencyMs)
  const usefulTimeLeftMs = (targetLeftMs > 0 ? Math.min(targetLeftMs, deadlineLeftMs) : deadlineLeftMs) * (givesWay === true ? givingWayShare : 1)
  return { idleEndpointLatencyMs, usefulTimeLeftMs, shouldWaitForFreeSlot }
}
