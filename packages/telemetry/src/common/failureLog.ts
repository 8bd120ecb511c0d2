/** Logs failures at the change: the first one in a row with its reason, and the recovery. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as decisionLog from './decisionLog.js'

/** Logs one kind of failure for several subjects, such as the addresses that are called. */
export class FailureLog {
  /** Number of failures in a row of each subject that fails. */
  private readonly failureCounts = new Map<string, number>()

  /** @param event name of the decisions that are logged. */
  constructor (private readonly decisions: decisionLog.IDecisionLog, private readonly event: string) {}

  /** Logs a failure unless it follows another one of the same subject. */
  noteFailure (subject: string, reason: unknown): void {
    const count = this.failureCounts.get(subject) ?? 0
    this.failureCounts.set(subject, count + 1)
    if (count === 0) this.decisions.record({ event: this.event, choice: 'failed', subject, why: errors.messageOf(reason) })
  }

  /** Logs a success that follows a failure. */
  noteSuccess (subject: string): void {
    const count = this.failureCounts.get(subject)
    if (count === undefined) return
    this.failureCounts.delete(subject)
    this.decisions.record({ event: this.event, choice: 'recovered', subject, failures: count, why: 'succeeded after failures' })
  }
}
