/** Keeps recent decisions in memory for `explain` and logs each. */
import * as decisionLog from '../common/decisionLog.js'
import type * as logOutput from './logOutput.js'

const ringSize = 20_000

/** Logs decisions and remembers the last ones. */
export class DecisionRing implements decisionLog.IDecisionLog {
  private readonly ring: Array<decisionLog.Decision | undefined> = new Array(ringSize)
  private readonly times = new Float64Array(ringSize)
  private next = 0

  constructor (private readonly logger: logOutput.Logger, private readonly toLog: boolean) {}

  record (decision: decisionLog.Decision): void {
    this.remember(decision)
    if (this.toLog) this.logger.info(decision, decision.event)
  }

  remember (decision: decisionLog.Decision): void {
    this.ring[this.next] = decision
    this.times[this.next] = Date.now()
    this.next = (this.next + 1) % ringSize
  }

  explain (requestId: string): readonly decisionLog.LoggedDecision[] {
    const found: decisionLog.LoggedDecision[] = []
    for (let i = 0; i < ringSize; i++) {
      const position = (this.next + i) % ringSize
      const decision = this.ring[position]
      if (decision?.requestId === requestId) found.push({ ...decision, time: this.times[position]! })
    }
    return found
  }
}
