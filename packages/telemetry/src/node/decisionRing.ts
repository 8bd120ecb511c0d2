/** Ring buffer of recent decisions. */
import * as decisionLog from '../common/decisionLog.js'
import type * as logOutput from './logOutput.js'

/** Logs decisions and keeps the most recent ones in memory for `explain`. */
export class DecisionRing implements decisionLog.IDecisionLog {
  private readonly ring: Array<decisionLog.Decision | undefined>
  private readonly times: Float64Array
  private nextPosition = 0

  /** @param capacity number of decisions kept in memory; may be 0. */
  constructor (private readonly logger: logOutput.Logger, private readonly isLogging: boolean, private readonly capacity: number) {
    this.ring = new Array(capacity)
    this.times = new Float64Array(capacity)
  }

  record (decision: decisionLog.Decision): void {
    this.recordWithoutLogging(decision)
    if (this.isLogging) this.logger.info(decision, decision.event)
  }

  recordWithoutLogging (decision: decisionLog.Decision): void {
    if (this.capacity === 0) return
    this.ring[this.nextPosition] = decision
    this.times[this.nextPosition] = Date.now()
    this.nextPosition = (this.nextPosition + 1) % this.capacity
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
