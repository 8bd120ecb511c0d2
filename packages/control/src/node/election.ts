/** Task that starts an election when there is no leader, and ends the replica's own leadership when it has no quorum. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as quorum from '../common/quorum.js'
import type * as campaignLog from './campaignLog.js'
import type * as leadership from './leadership.js'
import type * as replica from './replica.js'
import * as voteRound from './voteRound.js'
import type * as voting from './voting.js'

/** Interval at which a leader checks its quorum, and longest time between two checks of other replicas, as a share of the election timeout. */
const checkShare = 0.25
/** Shortest time between two checks of a replica that doesn't lead, as a share of the election timeout. */
const minCheckShare = 0.05
/**
 * Checks after which a leader without responses from a quorum steps down: two election timeouts. They are counted, since a leader whose
 * process was paused has sent no heartbeats meanwhile.
 */
const quorumCheckCount = 8
/** Delay of a check that shows that the process was paused, as a share of the election timeout. */
const pauseShare = 0.1
/** Shortest time after a pause in which a replica waits for a heartbeat before its election, as a share of the election timeout. */
const awaitLeaderShare = 0.25
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
/** Shortest time between two requests for the same vote, as a share of the election timeout. */
const askAgainShare = 0.25
/** Timeout of a vote in election timeouts, long because voters of earlier builds respond only after their write. */
const voteTimeoutFactor = 4
/** How often that timeout is doubled at most, if requests to a voter time out one after the other. */
const maxTimeoutDoublings = 3

/** How often the time of a round with a refused vote is doubled at most. */
const maxLimitDoublings = 6
/** Time that one write of a leader may take while the other replicas commit without it, in election timeouts. */
const ownWriteTimeoutFactor = 25

/** Detects the loss of the leader for one replica, and runs its elections. */
export class Election implements lifecycle.IDisposable {
  private readonly stopped = new AbortController()
  private campaignCount = 0
  /** Number of candidacies in a row that were not won. */
  private lostRoundCount = 0
  /** Times of the latest checks of the own leadership, oldest first. */
  private leaderChecks: readonly number[] = []
  /** End of the last pause of the process. */
  private pausedUntil = -Infinity
  /** Whether the replica has waited for a heartbeat after a pause; it waits once before an election, so that frequent pauses don't prevent one. */
  private hasAwaitedLeader = false

  constructor (private readonly replica: replica.Replica) {}

  /** Runs until disposed. */
  async run (): Promise<void> {
    const baseMs = this.replica.electionTimeoutMs
    let timeoutMs = this.nextTimeoutMs()
    let lastAttemptAt = performance.now()
    while (!this.stopped.signal.aborted) {
      const delayMs = this.nextCheckDelayMs(timeoutMs, lastAttemptAt)
      const dueAt = performance.now() + delayMs
      await async.sleep(delayMs, this.stopped.signal)
      if (performance.now() - dueAt > baseMs * pauseShare) this.pausedUntil = performance.now()
      // Messages of a leader that arrived during a pause of this process are handled first.
      await async.nextTurn()
      if (this.stopped.signal.aborted) return
      const ownLeadership = this.replica.leadership
      if (ownLeadership !== undefined) {
        this.checkOwnLeadership(ownLeadership)
        continue
      }
      this.leaderChecks = []
      if (!this.replica.canStartElection || this.idleMs(lastAttemptAt) < timeoutMs) {
        this.hasAwaitedLeader = false
        continue
      }
      if (this.shouldAwaitLeader) {
        this.hasAwaitedLeader = true
        await async.sleep(randomTimeoutMs(baseMs * awaitLeaderShare), this.stopped.signal)
        continue
      }
      this.hasAwaitedLeader = false
      await this.tryCampaign()
      lastAttemptAt = performance.now()
      timeoutMs = this.nextTimeoutMs()
    }
  }

  dispose (): void {
    this.stopped.abort()
  }

  /** Ends the own leadership if it can't commit entries. */
  private checkOwnLeadership (ownLeadership: leadership.Leadership): void {
    if (this.hasLostQuorum(ownLeadership)) {
      this.replica.stepDown(this.replica.term, 'no quorum responded to the heartbeats')
    } else if (ownLeadership.stalledWriteMs > ownWriteTimeoutFactor * this.replica.electionTimeoutMs) {
      this.replica.stepDown(this.replica.term, 'the own disk has stalled while a majority writes')
    }
  }

  /** Whether the leader may only seem lost, since this process was paused until just now; it may have been paused as well. */
  private get shouldAwaitLeader (): boolean {
    const sincePauseMs = performance.now() - this.pausedUntil
    return !this.hasAwaitedLeader && this.replica.hasSeenLeader && sincePauseMs < this.replica.electionTimeoutMs * awaitLeaderShare
  }

  /** Returns whether no quorum responded to what the leader sent since the first of the latest checks. */
  private hasLostQuorum (ownLeadership: leadership.Leadership): boolean {
    this.leaderChecks = [...this.leaderChecks, performance.now()].slice(-quorumCheckCount - 1)
    return this.leaderChecks.length > quorumCheckCount && !ownLeadership.hasQuorumAckedSince(this.leaderChecks[0]!)
  }

  /**
   * Returns the time since the most recent of these: contact from a leader, the end of a vote reservation for another candidate,
   * an own election attempt.
   */
  private idleMs (lastAttemptAt: number): number {
    return Math.min(this.replica.sinceLeaderContactMs, this.replica.sinceVoteReservationMs, performance.now() - lastAttemptAt)
  }

  /** Returns the time to the next check, short enough to notice pauses of the process. Contact from a leader and reserved votes can only postpone an election. */
  private nextCheckDelayMs (timeoutMs: number, lastAttemptAt: number): number {
    const baseMs = this.replica.electionTimeoutMs
    if (this.replica.leadership !== undefined) return baseMs * checkShare
    const delayMs = Math.max(baseMs * minCheckShare, timeoutMs - this.idleMs(lastAttemptAt))
    return this.replica.hasSeenLeader ? Math.min(baseMs * checkShare, delayMs) : delayMs
  }

  /** Returns the time without a leader before the next election. It includes the own write, so that replicas with fast disks come first. */
  private nextTimeoutMs (): number {
    return this.nextPatienceMs() + this.replica.expectedWriteMs
  }

  private nextPatienceMs (): number {
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

  private async tryCampaign (): Promise<void> {
    try {
      await this.campaign()
    } catch (err) {
      // The next election may succeed; a failed disk ends the process by itself.
      this.replica.decisions.record({ event: 'control-election-failed', choice: this.replica.replicaId, why: errors.messageOf(err) })
    }
  }

  /** Runs an election: collects pre-votes first, so that the term isn't raised without a chance to win. */
  private async campaign (): Promise<void> {
    this.campaignCount++
    const term = this.replica.term + 1
    const preVotesAskedAt = performance.now()
    if (!await this.collectPreVotes(term) || this.stopped.signal.aborted) return
    const candidacy = await this.replica.becomeCandidate(term, preVotesAskedAt)
    if (candidacy === undefined) return
    const round = new voteRound.VoteRound(this.replica.log.membership, this.replica.replicaId, candidacy.ended)
    const minIntervalMs = this.replica.electionTimeoutMs * askAgainShare
    const isWon = await round.run(async (voter, timeoutCount) => await this.requestVote(voter, term, timeoutCount), minIntervalMs, this.contestedLimitMs)
    this.lostRoundCount = isWon ? 0 : this.lostRoundCount + 1
    if (isWon) await this.replica.becomeLeader(term)
    else this.giveUp(term, candidacy, round)
    // A new election could not be written to the disk before.
    await candidacy.voteWritten
  }

  /** Time for which a round with a refused vote goes on. It grows, so that it outlasts the writes of voters however slow they are. */
  private get contestedLimitMs (): number {
    return (randomTimeoutMs(this.replica.electionTimeoutMs) + this.replica.expectedWriteMs) * 2 ** Math.min(this.lostRoundCount, maxLimitDoublings)
  }

  private giveUp (term: number, { ended }: voting.Candidacy, { needed, outcomes }: voteRound.VoteRound): void {
    if (ended.aborted) return
    this.replica.monitor.campaigns.recordFailed({ term, preVote: false, needed, outcomes })
    this.replica.withdrawCandidacy()
  }

  /** Requests pre-votes from all other voters in parallel; resolves with true as soon as a majority granted them. */
  private async collectPreVotes (term: number): Promise<boolean> {
    const membership = this.replica.log.membership
    const others = quorum.votersOf(membership).filter((voter) => voter.id !== this.replica.replicaId)
    const needed = quorum.majoritySize(membership) - 1
    if (needed <= 0) return true
    const outcome = new async.Deferred<boolean>()
    const outcomes = new Map<string, campaignLog.VoteOutcome>()
    let granted = 0
    const requests = others.map(async (voter) => {
      const isGranted = await this.requestPreVote(voter, term, outcomes)
      if (isGranted && ++granted >= needed) outcome.resolve(true)
    })
    Promise.all(requests).then(() => outcome.resolve(false), (err) => outcome.reject(err))
    const isGranted = await outcome.promise
    if (!isGranted && !this.stopped.signal.aborted) this.replica.monitor.campaigns.recordFailed({ term, preVote: true, needed, outcomes })
    return isGranted
  }

  private async requestPreVote (voter: inner.Replica, term: number, outcomes: Map<string, campaignLog.VoteOutcome>): Promise<boolean> {
    const baseMs = this.replica.electionTimeoutMs
    try {
      const { granted } = await this.callVote(voter, term, true, this.replica.hasSeenLeader ? baseMs : baseMs * preVoteTimeoutShare)
      outcomes.set(voter.address, granted ? 'granted' : 'refused')
      return granted
    } catch {
      // An unreachable voter counts as a refusal; `callVote` records why.
      outcomes.set(voter.address, 'failed')
      return false
    }
  }

  private async requestVote (voter: inner.Replica, term: number, timeoutCount: number): Promise<voteRound.VoteAnswer> {
    const timeoutMs = this.replica.electionTimeoutMs * voteTimeoutFactor * 2 ** Math.min(timeoutCount, maxTimeoutDoublings)
    try {
      const { granted, pending } = await this.callVote(voter, term, false, timeoutMs)
      if (granted) return 'granted'
      return pending ? 'pending' : 'refused'
    } catch (err) {
      const fault = errors.faultOf(err)
      return fault.kind === 'unknown' && fault.timedOut ? 'timed out' : 'unreachable'
    }
  }

  /** Calls a voter. A timeout doesn't reset the connection as long as it responds, since other calls use it too. */
  private async callVote (voter: inner.Replica, term: number, preVote: boolean, timeoutMs: number): Promise<inner.VoteRes> {
    const last = this.replica.log.last
    const req = protobuf.create(inner.VoteReqSchema, {
      term,
      candidateId: this.replica.replicaId,
      lastIndex: BigInt(last.index),
      lastTerm: last.term,
      preVote,
      toReplicaId: voter.id,
      // 0 would say that this build doesn't know pending votes.
      writeMs: Math.max(1, Math.round(this.replica.expectedWriteMs))
    })
    const what = preVote ? 'pre-vote' : 'vote'
    const { replication } = this.replica.monitor
    try {
      const link = this.replica.links.linkTo(voter.address)
      const res = await link.call(async (client, options) => await client.vote(req, options), timeoutMs, 'verify')
      if (res.term > this.replica.latestTerm) this.replica.stepDown(res.term, `replica ${voter.id} is in term ${res.term}`)
      replication.recordAcknowledged(voter.id, what)
      return res
    } catch (err) {
      if (!this.stopped.signal.aborted) replication.recordFailure(voter.id, what, err)
      throw err
    }
  }
}

function randomTimeoutMs (baseMs: number): number {
  return baseMs * (1 + Math.random())
}
