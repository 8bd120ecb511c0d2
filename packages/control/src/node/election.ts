/** Task that stands for election when no leader is heard, and ends a leadership without a quorum. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as quorum from '../common/quorum.js'
import type * as replica from './replica.js'

/** Parts of the timeout after which a leader looks for its quorum, and a replica that can't stand for election looks again. */
const leaderCheckShare = 0.25
const idleCheckShare = 0.05
const leaderTimeouts = 2
/**
 * Parts of the timeout after which a replica that has heard no leader since it started stands for election: the replica that it
 * voted for last first, then the others in the order of the membership, a vote's way apart. A working leader is not
 * disturbed: those that hear it give no votes, not even before the term is raised.
 */
const firstTimeoutShare = 0.03
const rankShare = 0.1
/** Part of the timeout after which a try before any leader was heard is made again, and its growth from try to try. */
const retryShare = 0.04
const retryGrowth = 1.05
/** Widest part of that time that is added by chance, so that replicas that stood at once don't again. */
const retrySpread = 2
/** Part of the timeout for which promises of votes are waited for, as long as no leader was heard: most replicas may just be starting. */
const promiseTimeoutShare = 0.25

/** Watches the leader on behalf of one replica. */
export class Election implements lifecycle.IDisposable {
  private readonly stopped = new AbortController()
  private tries = 0

  constructor (private readonly replica: replica.Replica) {}

  /** Runs until disposed. */
  async run (): Promise<void> {
    const base = this.replica.electionTimeoutMs
    let timeout = this.nextTimeout()
    let lastAttemptAt = performance.now()
    while (!this.stopped.signal.aborted) {
      await async.sleep(this.untilDueMs(timeout, lastAttemptAt), this.stopped.signal)
      const leading = this.replica.leadership
      if (leading !== undefined) {
        if (!leading.quorumAckedSince(performance.now() - leaderTimeouts * base)) {
          this.replica.stepDown(this.replica.term, 'no quorum answers')
        }
        continue
      }
      if (!this.replica.mayStand || this.idleMs(lastAttemptAt) < timeout) continue
      await this.campaign()
      lastAttemptAt = performance.now()
      timeout = this.nextTimeout()
    }
  }

  dispose (): void {
    this.stopped.abort()
  }

  /** Time in which neither a leader was heard, nor a vote kept for another candidate, nor an election tried. */
  private idleMs (lastAttemptAt: number): number {
    return Math.min(this.replica.leaderSilenceMs, this.replica.uncommittedMs, performance.now() - lastAttemptAt)
  }

  /** A leader that is heard and a promised vote only move the time to stand for election, so nothing is due before. */
  private untilDueMs (timeout: number, lastAttemptAt: number): number {
    const base = this.replica.electionTimeoutMs
    if (this.replica.leadership !== undefined) return base * leaderCheckShare
    return Math.max(base * idleCheckShare, timeout - this.idleMs(lastAttemptAt))
  }

  private nextTimeout (): number {
    const base = this.replica.electionTimeoutMs
    if (this.replica.hasSeenLeader) return randomTimeout(base)
    if (this.tries === 0) return base * (firstTimeoutShare + rankShare * this.rank)
    return Math.min(base, base * retryShare * retryGrowth ** (this.tries - 1) * (1 + retrySpread * Math.random()))
  }

  /** Place in the order of first tries, 0 for the replica that most likely led before. */
  private get rank (): number {
    const ids = this.voterIds
    const own = ids.indexOf(this.replica.replicaId)
    const first = Math.max(0, ids.indexOf(this.replica.lastVotedFor))
    return (own - first + ids.length) % Math.max(1, ids.length)
  }

  private get voterIds (): readonly string[] {
    return quorum.votersOf(this.replica.log.membership).map(({ id }) => id)
  }

  private async campaign (): Promise<void> {
    this.tries++
    const term = this.replica.term + 1
    const wouldWin = await this.askVotes(term, true)
    if (!wouldWin || this.stopped.signal.aborted) return
    if (!await this.replica.becomeCandidate(term)) return
    if (await this.askVotes(term, false)) await this.replica.becomeLeader(term)
  }

  /** Asks all other voters at once; true as soon as a majority granted. */
  private async askVotes (term: number, preVote: boolean): Promise<boolean> {
    const membership = this.replica.log.membership
    const others = quorum.votersOf(membership).filter((voter) => voter.id !== this.replica.replicaId)
    const needed = quorum.majorityOf(membership) - 1
    if (needed <= 0) return true
    const outcome = new async.Deferred<boolean>()
    let granted = 0
    const asked = others.map(async (voter) => {
      if (await this.askVote(voter, term, preVote) && ++granted >= needed) outcome.resolve(true)
    })
    Promise.all(asked).then(() => outcome.resolve(false), () => outcome.resolve(false))
    return await outcome.promise
  }

  private voteTimeoutMs (preVote: boolean): number {
    const base = this.replica.electionTimeoutMs
    return preVote && !this.replica.hasSeenLeader ? base * promiseTimeoutShare : base
  }

  private async askVote (voter: inner.Replica, term: number, preVote: boolean): Promise<boolean> {
    const last = this.replica.log.last
    const req = protobuf.create(inner.VoteReqSchema, {
      term,
      candidateId: this.replica.replicaId,
      lastIndex: BigInt(last.index),
      lastTerm: last.term,
      preVote,
      toReplicaId: voter.id
    })
    try {
      const link = this.replica.links.to(voter.address)
      const res = await link.call(async (client, options) => await client.vote(req, options), this.voteTimeoutMs(preVote))
      if (res.term > this.replica.term) this.replica.stepDown(res.term, `replica ${voter.id} is in term ${res.term}`)
      return res.granted
    } catch {
      // An unreachable voter grants nothing.
      return false
    }
  }
}

function randomTimeout (base: number): number {
  return base * (1 + Math.random())
}
