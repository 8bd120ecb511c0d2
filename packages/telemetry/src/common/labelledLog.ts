/** Decisions that share details, such as the workspace of a request. */
import type * as decisionLog from './decisionLog.js'

/** Adds the same details to each decision. */
export class LabelledLog implements decisionLog.IDecisionLog {
  constructor (private readonly log: decisionLog.IDecisionLog, private readonly details: Readonly<Record<string, string>>) {}

  record (decision: decisionLog.Decision): void {
    this.log.record({ ...decision, ...this.details })
  }

  recordWithoutLogging (decision: decisionLog.Decision): void {
    this.log.recordWithoutLogging({ ...decision, ...this.details })
  }

  explain (requestId: string): readonly decisionLog.LoggedDecision[] {
    return this.log.explain(requestId)
  }
}
