/** Logs at most a number of decisions per second. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as decisionLog from './decisionLog.js'

const msPerSecond = 1000

/** Drops decisions beyond a rate; the next one that is logged tells how many were dropped. */
export class LimitedLog {
  private secondEndsAt = -Infinity
  private loggedInSecond = 0
  private droppedCount = 0
  private droppedInAll = 0

  constructor (private readonly decisions: Pick<decisionLog.IDecisionLog, 'record'>, private readonly clock: Pick<clock.IClock, 'now'>, private readonly maxPerSecond: number) {}

  /** Number of decisions that were dropped since the start. */
  get totalDropped (): number {
    return this.droppedInAll
  }

  record (decision: decisionLog.Decision): void {
    const now = this.clock.now()
    if (now >= this.secondEndsAt) {
      this.secondEndsAt = now + msPerSecond
      this.loggedInSecond = 0
    }
    if (this.loggedInSecond >= this.maxPerSecond) {
      this.droppedCount++
      this.droppedInAll++
      return
    }
    this.loggedInSecond++
    this.decisions.record(this.droppedCount === 0 ? decision : { ...decision, dropped: this.droppedCount })
    this.droppedCount = 0
  }
}
