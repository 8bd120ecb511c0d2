/** Keeps recent decisions in memory for `explain` and logs each. */
import * as decisionLog from '../common/decisionLog.js'
import type * as logOutput from './logOutput.js'

/** Logs decisions and remembers the last ones. */
export class DecisionRing implements decisionLog.IDecisionLog {
  private readonly ring: Array<decisionLog.Decision | undefined>
  private readonly times: Float64Array
  private next = 0

  /** @param size decisions to remember; with 0, none. */
  constructor (private readonly logger: logOutput.Logger, private readonly toLog: boolean, private readonly size: number) {
    this.ring = new Array(size)
    this.times = new Float64Array(size)
  }

  record (decision: decisionLog.Decision): void {
    this.remember(decision)
    if (this.toLog) this.logger.info(decision, decision.event)
  }

  remember (decision: decisionLog.Decision): void {
    if (this.size === 0) return
    this.ring[this.next] = decision
    this.times[this.next] = Date.now()
    this.next = (this.next + 1) % this.size
  }

  explain (requestId: string): readonly decisionLog.LoggedDecision[] {
    const found: decisionLog.LoggedDecision[] = []
    for (let i = 0; i < this.size; i++) {
      const position = (this.next + i) % this.size
      const decision = this.ring[position]
      if (decision?.requestId === requestId) found.push({ ...decision, time: this.times[position]! })
    }
    return found
  }
}
