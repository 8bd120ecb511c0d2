/** Time limits that a call sets for the choice of an endpoint. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

/** Times of one call, in milliseconds. */
export interface TimeBudget {
  /** Expected time at an idle endpoint. */
  readonly idleMs: number
  /** Time within which an answer is still of use. */
  readonly usefulMs: number
}

/** When a call began and has to end, and the time now, on the clock. */
export interface CallTimes {
  readonly startedAt: number
  readonly deadlineAt: number
  readonly now: number
}

/** An answer within the target serves its caller fully; past it, any answer before the deadline still does. */
export function timeBudgetOf (lane: configDocument.Lane, { startedAt, deadlineAt, now }: CallTimes, idleMs: number): TimeBudget {
  const targetLeftMs = startedAt + (lane.targetLatencyMs ?? Infinity) - now
  const deadlineLeftMs = deadlineAt - now
  return { idleMs, usefulMs: targetLeftMs > 0 ? Math.min(targetLeftMs, deadlineLeftMs) : deadlineLeftMs }
}
