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
 * Part of the timeout after which a replica that has heard no leader since it started stands for election. A working leader
 * is not disturbed: those that hear it give no votes, not even before the term is raised.
 */
const firstTimeoutShare = 0.25

/** Watches the leader on behalf of one replica. */
export class Election implements lifecycle.IDisposable {
  private readonly stopped = new AbortController()

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

  /** Time in which neither a leader was heard nor an election tried. */
  private idleMs (lastAttemptAt: number): number {
    return Math.min(this.replica.leaderSilenceMs, performance.now() - lastAttemptAt)
  }

  /** A leader that is heard only moves the time to stand for election, so nothing is due before. */
  private untilDueMs (timeout: number, lastAttemptAt: number): number {
    const base = this.replica.electionTimeoutMs
    if (this.replica.leadership !== undefined) return base * leaderCheckShare
    return Math.max(base * idleCheckShare, timeout - this.idleMs(lastAttemptAt))
  }

  private nextTimeout (): number {
    const base = this.replica.electionTimeoutMs
    return randomTimeout(this.replica.hasSeenLeader ? base : base * firstTimeoutShare)
  }

  private async campaign (): Promise<void> {
    const wouldWin = await this.askVotes(this.replica.term + 1, true)
    if (!wouldWin || this.stopped.signal.aborted) return
    const term = await this.replica.becomeCandidate()
    if (term === undefined) return
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
      const res = await link.call(async (client, options) => await client.vote(req, options), this.replica.electionTimeoutMs)
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
