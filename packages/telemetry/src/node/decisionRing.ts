/** Ring buffer of recent decisions. */
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as decisionLog from '../common/decisionLog.js'
import * as limitedLog from '../common/limitedLog.js'
import type * as logOutput from './logOutput.js'

/** Logs decisions and keeps the most recent ones in memory for `explain`. */
export class DecisionRing implements decisionLog.IDecisionLog {
  private readonly ring: Array<decisionLog.Decision | undefined>
  private readonly times: Float64Array
  private readonly requestLog: limitedLog.LimitedLog
  private nextPosition = 0

  /**
   * @param capacity number of decisions kept in memory; may be 0.
   * @param maxRequestLinesPerSecond limit on logged decisions on single requests; callers cause them. All others are logged.
   */
  constructor (private readonly logger: Pick<logOutput.Logger, 'info'>, private readonly isLogging: boolean, private readonly capacity: number, maxRequestLinesPerSecond = Infinity, time: Pick<clock.IClock, 'now'> = new clock.SystemClock()) {
    this.requestLog = new limitedLog.LimitedLog({ record: (decision) => this.write(decision) }, time, maxRequestLinesPerSecond)
    this.ring = new Array(capacity)
    this.times = new Float64Array(capacity)
  }

  record (decision: decisionLog.Decision): void {
    this.recordWithoutLogging(decision)
    if (!this.isLogging) return
    if (decision.requestId === undefined) this.write(decision)
    else this.requestLog.record(decision)
  }

  /** Number of decisions that were not logged because of the limit. */
  get droppedLines (): number {
    return this.requestLog.totalDropped
  }

  recordWithoutLogging (decision: decisionLog.Decision): void {
    if (this.capacity === 0) return
    this.ring[this.nextPosition] = decision
    this.times[this.nextPosition] = Date.now()
    this.nextPosition = (this.nextPosition + 1) % this.capacity
  }

  private write (decision: decisionLog.Decision): void {
    this.logger.info(decision, decision.event)
  }

  explain (requestId: string): readonly decisionLog.LoggedDecision[] {
    const matches: decisionLog.LoggedDecision[] = []
    for (let i = 0; i < this.capacity; i++) {
      const position = (this.nextPosition + i) % this.capacity
      const decision = this.ring[position]
      if (decision?.requestId === requestId) matches.push({ ...decision, time: this.times[position]! })
    }
    return matches
  }
}
