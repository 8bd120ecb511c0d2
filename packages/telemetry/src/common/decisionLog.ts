/** Log of decisions, such as routing decisions, for the log output and `rackctl explain`. */

/** One decision on a request, an endpoint, the configuration or the membership. */
export interface Decision {
  /** Kind of decision, such as `route`, `refuse`, `retry`, `hedge`, `announce`, `member`. */
  readonly event: string
  readonly requestId?: string
  readonly lane?: string
  /** The best few candidates, as `endpoint:score`. */
  readonly candidates?: string
  readonly considered?: number
  readonly choice?: string
  readonly why: string
  readonly [detail: string]: string | number | boolean | undefined
}

/** A decision with the time at which it was logged. */
export interface LoggedDecision extends Decision {
  readonly time: number
}

/** Records decisions. */
export interface IDecisionLog {
  /** Logs a decision and keeps it in memory for `explain`. */
  record(decision: Decision): void
  /** Keeps a decision in memory for `explain` without logging it. */
  recordWithoutLogging(decision: Decision): void
  /** Returns recent decisions on a request, oldest first. */
  explain(requestId: string): readonly LoggedDecision[]
}

/** Discards all decisions. */
export class NullDecisionLog implements IDecisionLog {
  record (_decision: Decision): void {}

  recordWithoutLogging (): void {}

  explain (): readonly LoggedDecision[] {
    return []
  }
}
