/** Logs why elections of this replica fail, at a bounded rate. */
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'

/** Shortest time between two log lines. */
const logIntervalMs = 10_000

/** Responses of one voter to a request for its vote. */
export type VoteOutcome = 'granted' | 'refused' | 'pending' | 'failed'

/** The outcome of one round of vote requests. */
export interface CampaignRound {
  readonly term: number
  readonly preVote: boolean
  /** Votes of others that a majority requires. */
  readonly needed: number
  /** Responses by the address of the voter; a voter without one is left out. */
  readonly outcomes: ReadonlyMap<string, VoteOutcome>
}

/** Counts failed elections. */
export class CampaignLog {
  private loggedAt = -Infinity
  private unlogged: CampaignRound | undefined
  private unloggedCount = 0
  private failures = 0

  constructor (private readonly decisions: decisionLog.IDecisionLog) {}

  /** Number of elections that failed since the process started. */
  get failedCount (): number {
    return this.failures
  }

  /** Records a round that collected too few votes. */
  recordFailed (round: CampaignRound, now = performance.now()): void {
    this.failures++
    this.unlogged = round
    this.unloggedCount++
    this.check(now)
  }

  /** Logs the newest failed round unless a line was logged shortly before; call about once a second. */
  check (now = performance.now()): void {
    const round = this.unlogged
    if (round === undefined || now - this.loggedAt < logIntervalMs) return
    this.decisions.record({
      event: 'control-campaign',
      choice: 'failed',
      term: round.term,
      preVote: round.preVote,
      needed: round.needed,
      granted: addressesWith(round, 'granted'),
      refused: addressesWith(round, 'refused'),
      pending: addressesWith(round, 'pending'),
      failed: addressesWith(round, 'failed'),
      rounds: this.unloggedCount,
      why: 'too few votes'
    })
    this.loggedAt = now
    this.unlogged = undefined
    this.unloggedCount = 0
  }
}

function addressesWith ({ outcomes }: CampaignRound, outcome: VoteOutcome): string {
  return [...outcomes].filter(([, each]) => each === outcome).map(([address]) => address).join(', ')
}
