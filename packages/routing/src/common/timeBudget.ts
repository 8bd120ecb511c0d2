/** Time limits that a call sets for the choice of an endpoint. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as lateCalls from './lateCalls.js'

/** Times of one call, in milliseconds. */
export interface TimeBudget {
  /** Expected time at an idle endpoint. */
  readonly idleMs: number
  /** Time within which an answer is still of use. */
  readonly usefulMs: number
  /** The answer will be late in any case, and the call can wait for a free slot. */
  readonly mayYield: boolean
}

/** When a caller's request came and has to be answered, and the time now, on the clock. */
export interface CallTimes {
  readonly arrivedAt: number
  readonly deadlineAt: number
  readonly now: number
}

/** An answer within the target serves its caller fully; past it, any answer before the deadline still does. */
export function timeBudgetOf (lane: configDocument.Lane, { arrivedAt, deadlineAt, now }: CallTimes, idleMs: number): TimeBudget {
  const targetLeftMs = arrivedAt + (lane.targetLatencyMs ?? Infinity) - now
  const deadlineLeftMs = deadlineAt - now
  const mayYield = lateCalls.mayYield(lane, { arrivedAt, deadlineAt, now }, idleMs)
  return { idleMs, usefulMs: targetLeftMs > 0 ? Math.min(targetLeftMs, deadlineLeftMs) : deadlineLeftMs, mayYield }
}
