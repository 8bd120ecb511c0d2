/** Task that starts an election when there is no leader, and ends the replica's own leadership when it has no quorum. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as quorum from '../common/quorum.js'
import type * as campaignLog from './campaignLog.js'
import type * as replica from './replica.js'

/** Interval at which a leader checks its quorum, as a share of the election timeout. */
const leaderCheckShare = 0.25
/** Shortest time between two checks of a replica that doesn't lead, as a share of the election timeout. */
const nonLeaderCheckShare = 0.05
/** Time without responses from a quorum after which a leader steps down, in election timeouts. */
const quorumTimeoutFactor = 2
/**
 * Delay of the first election after a start without contact from a leader, as a share of the election timeout, for the replica
 * that the others last voted for. A working leader is not affected: replicas in contact with it reject even pre-votes.
 */
const firstTimeoutShare = 0.03
/** Additional delay for each further voter, in the order of the membership: about as long as one election takes. */
const rankDelayShare = 0.1
/** Delay of further elections before the first contact from a leader, as a share of the election timeout. */
const retryDelayShare = 0.04
/** Factor by which that delay grows with each election. */
const retryDelayGrowth = 1.05
/** Largest random addition to that delay, as a multiple of it, so that simultaneous candidates don't collide again. */
const maxRetryJitter = 2
/**
 * Timeout of a pre-vote before the first contact from a leader, as a share of the election timeout: short, because many
 * replicas may still be starting.
 */
const preVoteTimeoutShare = 0.25

/** Detects the loss of the leader for one replica, and runs its elections. */
export class Election implements lifecycle.IDisposable {
  private readonly stopped = new AbortController()
  private campaignCount = 0

  constructor (private readonly replica: replica.Replica) {}

  /** Runs until disposed. */
  async run (): Promise<void> {
    const baseMs = this.replica.electionTimeoutMs
    let timeoutMs = this.nextTimeoutMs()
    let lastAttemptAt = performance.now()
    while (!this.stopped.signal.aborted) {
      await async.sleep(this.nextCheckDelayMs(timeoutMs, lastAttemptAt), this.stopped.signal)
      const ownLeadership = this.replica.leadership
      if (ownLeadership !== undefined) {
        if (!ownLeadership.hasQuorumAckedSince(performance.now() - quorumTimeoutFactor * baseMs)) {
          this.replica.stepDown(this.replica.term, 'no quorum responded to the heartbeats')
        }
        continue
      }
      if (!this.replica.canStartElection || this.idleMs(lastAttemptAt) < timeoutMs) continue
      await this.campaign()
      lastAttemptAt = performance.now()
      timeoutMs = this.nextTimeoutMs()
    }
  }

  dispose (): void {
    this.stopped.abort()
  }

  /**
   * Returns the time since the most recent of these: contact from a leader, the end of a vote reservation for another candidate,
   * an own election attempt.
   */
  private idleMs (lastAttemptAt: number): number {
    return Math.min(this.replica.sinceLeaderContactMs, this.replica.sinceVoteReservationMs, performance.now() - lastAttemptAt)
  }

  /** Returns the time to the next check. Contact from a leader and reserved votes can only postpone an election, so no earlier check is needed. */
  private nextCheckDelayMs (timeoutMs: number, lastAttemptAt: number): number {
    const baseMs = this.replica.electionTimeoutMs
    if (this.replica.leadership !== undefined) return baseMs * leaderCheckShare
    return Math.max(baseMs * nonLeaderCheckShare, timeoutMs - this.idleMs(lastAttemptAt))
  }

  private nextTimeoutMs (): number {
    const baseMs = this.replica.electionTimeoutMs
    if (this.replica.hasSeenLeader) return randomTimeoutMs(baseMs)
    if (this.campaignCount === 0) return baseMs * (firstTimeoutShare + rankDelayShare * this.rank)
    return Math.min(baseMs, baseMs * retryDelayShare * retryDelayGrowth ** (this.campaignCount - 1) * (1 + maxRetryJitter * Math.random()))
  }

  /** Position in the order of first elections, 0 for the replica that most likely led last. */
  private get rank (): number {
    const ids = this.voterIds
    const own = ids.indexOf(this.replica.replicaId)
    const first = Math.max(0, ids.indexOf(this.replica.lastVotedFor))
    return (own - first + ids.length) % Math.max(1, ids.length)
  }

  private get voterIds (): readonly string[] {
    return quorum.votersOf(this.replica.log.membership).map(({ id }) => id)
  }

  /** Runs an election: collects pre-votes first, so that the term isn't raised without a chance to win. */
  private async campaign (): Promise<void> {
    this.campaignCount++
    const term = this.replica.term + 1
    const wouldWin = await this.requestVotes(term, true)
    if (!wouldWin || this.stopped.signal.aborted) return
    if (!await this.replica.becomeCandidate(term)) return
    if (await this.requestVotes(term, false)) await this.replica.becomeLeader(term)
  }

  /** Requests votes from all other voters in parallel; resolves with true as soon as a majority granted them. */
  private async requestVotes (term: number, preVote: boolean): Promise<boolean> {
    const membership = this.replica.log.membership
    const others = quorum.votersOf(membership).filter((voter) => voter.id !== this.replica.replicaId)
    const needed = quorum.majoritySize(membership) - 1
    if (needed <= 0) return true
    const outcome = new async.Deferred<boolean>()
    const outcomes = new Map<string, campaignLog.VoteOutcome>()
    let granted = 0
    const requests = others.map(async (voter) => {
      const isGranted = await this.requestVote(voter, term, preVote, (each) => { outcomes.set(voter.address, each) })
      if (isGranted && ++granted >= needed) outcome.resolve(true)
    })
    Promise.all(requests).then(() => outcome.resolve(false), () => outcome.resolve(false))
    const won = await outcome.promise
    if (!won && !this.stopped.signal.aborted) this.replica.monitor.campaigns.recordFailed({ term, preVote, needed, outcomes })
    return won
  }

  private voteTimeoutMs (preVote: boolean): number {
    const baseMs = this.replica.electionTimeoutMs
    return preVote && !this.replica.hasSeenLeader ? baseMs * preVoteTimeoutShare : baseMs
  }

  private async requestVote (voter: inner.Replica, term: number, preVote: boolean, record: (outcome: campaignLog.VoteOutcome) => void): Promise<boolean> {
    const what = preVote ? 'pre-vote' : 'vote'
    const { replication } = this.replica.monitor
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
      const link = this.replica.links.linkTo(voter.address)
      const res = await link.call(async (client, options) => await client.vote(req, options), this.voteTimeoutMs(preVote))
      if (res.term > this.replica.term) this.replica.stepDown(res.term, `replica ${voter.id} is in term ${res.term}`)
      replication.recordAcknowledged(voter.id, what)
      record(res.granted ? 'granted' : 'refused')
      return res.granted
    } catch (err) {
      // An unreachable voter counts as a refusal.
      if (!this.stopped.signal.aborted) replication.recordFailure(voter.id, what, err)
      record('failed')
      return false
    }
  }
}

function randomTimeoutMs (baseMs: number): number {
  return baseMs * (1 + Math.random())
}
