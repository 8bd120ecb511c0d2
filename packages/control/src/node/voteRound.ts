/** The requests for votes of one candidacy. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as quorum from '../common/quorum.js'
import type * as campaignLog from './campaignLog.js'

/** How a voter answered a request, or that it didn't. */
export type VoteAnswer = 'granted' | 'refused' | 'pending' | 'timed out' | 'unreachable'

/**
 * Requests a vote.
 * @param timeoutCount how many requests to this voter timed out one after the other.
 */
export type VoteRequester = (voter: inner.Replica, timeoutCount: number) => Promise<VoteAnswer>

/**
 * Asks all other voters until a majority granted its vote. A vote may take as long as the voter's disk does, so the round goes on
 * while the votes that are granted and those that may still come form a majority.
 */
export class VoteRound {
  private readonly others: readonly inner.Replica[]
  /** Votes of others that a majority requires. */
  readonly needed: number
  private readonly answers = new Map<string, VoteAnswer>()
  private readonly outcome = new async.Deferred<boolean>()
  private readonly decided = new AbortController()
  private readonly refused = new async.Deferred<void>()

  /** @param ended ends the round without success. */
  constructor (membership: inner.Membership, ownId: string, private readonly ended: AbortSignal) {
    this.others = quorum.votersOf(membership).filter(({ id }) => id !== ownId)
    this.needed = quorum.majoritySize(membership) - 1
  }

  /**
   * Resolves with true when a majority granted its votes, the candidate's own included.
   * @param contestedLimitMs time from the first refusal to the end of the round: candidates that refuse each other their votes would
   * otherwise wait for the same voter as long as it doesn't respond.
   */
  async run (request: VoteRequester, minIntervalMs: number, contestedLimitMs: number): Promise<boolean> {
    const end = (): void => this.decide(false)
    this.ended.addEventListener('abort', end)
    this.endWhenContested(contestedLimitMs)
    try {
      if (this.ended.aborted) return false
      for (const voter of this.others) this.ask(voter, request, minIntervalMs).catch((err) => this.fail(err))
      this.check()
      return await this.outcome.promise
    } finally {
      this.ended.removeEventListener('abort', end)
      this.decided.abort()
    }
  }

  /** The last answer of each voter by its address, for the log. */
  get outcomes (): ReadonlyMap<string, campaignLog.VoteOutcome> {
    return new Map(this.others.flatMap(({ id, address }) => {
      const answer = this.answers.get(id)
      return answer === undefined ? [] : [[address, answer === 'timed out' || answer === 'unreachable' ? 'failed' : answer]]
    }))
  }

  private async endWhenContested (limitMs: number): Promise<void> {
    await this.refused.promise
    await async.sleep(limitMs, this.decided.signal)
    this.decide(false)
  }

  /** Asks one voter until it grants or refuses; one that can't be reached may start again meanwhile. */
  private async ask (voter: inner.Replica, request: VoteRequester, minIntervalMs: number): Promise<void> {
    let timeoutCount = 0
    while (!this.decided.signal.aborted) {
      const askedAt = performance.now()
      const answer = await request(voter, timeoutCount)
      this.answers.set(voter.id, answer)
      if (answer === 'refused') this.refused.resolve()
      this.check()
      if (answer === 'granted' || answer === 'refused') return
      timeoutCount = answer === 'timed out' ? timeoutCount + 1 : 0
      await async.sleep(askedAt + minIntervalMs - performance.now(), this.decided.signal)
    }
  }

  private check (): void {
    const granted = this.others.filter(({ id }) => this.answers.get(id) === 'granted').length
    const lost = this.others.filter(({ id }) => this.isLost(id)).length
    if (granted >= this.needed) this.decide(true)
    else if (this.others.length - lost < this.needed) this.decide(false)
  }

  private isLost (voterId: string): boolean {
    const answer = this.answers.get(voterId)
    return answer === 'refused' || answer === 'unreachable'
  }

  private decide (isWon: boolean): void {
    this.outcome.resolve(isWon)
    this.decided.abort()
  }

  private fail (err: Error): void {
    this.outcome.reject(err)
    this.decided.abort()
  }
}
