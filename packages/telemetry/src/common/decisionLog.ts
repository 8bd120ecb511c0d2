/** Decisions as they are logged and explained. */

/** One decision on a request, a placement or the membership. */
export interface Decision {
  /** What was decided, such as `route`, `refuse`, `retry`, `hedge`, `announce`, `member`. */
  readonly event: string
  readonly requestId?: string
  readonly lane?: string
  /** Candidates as `endpoint:score`, at most a few of the best. */
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

/** Takes decisions. */
export interface IDecisionLog {
  record(decision: Decision): void
  /** Remembers what became of a decision for `explain`, without a line of its own in the log. */
  remember(decision: Decision): void
  /** Recent decisions on a request, oldest first. */
  explain(requestId: string): readonly LoggedDecision[]
}

/** Drops all decisions. */
export class NullDecisionLog implements IDecisionLog {
  record (): void {}

  remember (): void {}

  explain (): readonly LoggedDecision[] {
    return []
  }
}
