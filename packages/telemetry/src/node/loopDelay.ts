/** Measures and logs how long the event loop of this process was blocked. */
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as decisionLog from '../common/decisionLog.js'
import * as failureLog from '../common/failureLog.js'

const tickMs = 50
const subject = 'event loop'

/** Reports the longest delay between two checks, and logs when it becomes longer than a limit and when it no longer is. */
export class LoopDelay implements lifecycle.IDisposable {
  private readonly log: failureLog.FailureLog
  private readonly timer = setInterval(() => this.tick(), tickMs)
  private lastTickAt = performance.now()
  private longestSinceCheckMs = 0
  private reportedMs = 0

  constructor (decisions: decisionLog.IDecisionLog, private readonly limitMs: number) {
    this.log = new failureLog.FailureLog(decisions, 'event-loop')
  }

  /** Longest delay in the interval before the last check, in milliseconds. */
  get longestMs (): number {
    return this.reportedMs
  }

  /** Ends an interval; call about once a second. */
  check (): void {
    this.reportedMs = this.longestSinceCheckMs
    this.longestSinceCheckMs = 0
    if (this.reportedMs > this.limitMs) this.log.noteFailure(subject, `blocked for ${Math.round(this.reportedMs)} ms; messages that arrived were handled later`)
    else this.log.noteSuccess(subject)
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  private tick (): void {
    const now = performance.now()
    this.longestSinceCheckMs = Math.max(this.longestSinceCheckMs, now - this.lastTickAt - tickMs)
    this.lastTickAt = now
  }
}
