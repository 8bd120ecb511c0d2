/** Decision log that keeps the decisions for a test. */
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'

/** Keeps all recorded decisions, oldest first. */
export class RecordedDecisions extends decisionLog.NullDecisionLog {
  readonly decisions: decisionLog.Decision[] = []

  /** @param onRecord called with each decision. */
  constructor (private readonly onRecord: (decision: decisionLog.Decision) => void = () => {}) {
    super()
  }

  override record (decision: decisionLog.Decision): void {
    this.decisions.push(decision)
    this.onRecord(decision)
  }

  /** Returns the choices of all decisions on an event, oldest first. */
  choicesOf (event: string): ReadonlyArray<string | undefined> {
    return this.decisions.filter((each) => each.event === event).map(({ choice }) => choice)
  }

  /** Returns the newest decision on an event. */
  lastOf (event: string): decisionLog.Decision | undefined {
    return this.decisions.filter((each) => each.event === event).at(-1)
  }
}
