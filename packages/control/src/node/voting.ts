/** Term and vote of one replica: decides on the votes that candidates request, and saves term and vote. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as replicaLog from './replicaLog.js'
import type * as replicaStorage from './replicaStorage.js'
import * as writeDurations from './writeDurations.js'

/**
 * Share of the election timeout for which a granted vote or pre-vote stays reserved for its candidate, and for which the replica
 * that granted it starts no election of its own: long enough for the messages of an election. A vote stays reserved for the time
 * of the candidate's own write in addition.
 */
const voteReservationShare = 0.2
/** Longest time that a candidate may state for its own write, in election timeouts. */
const maxWriteTimeFactor = 10
/** Time after which a vote that is still being written is answered with `pending`, as a share of the election timeout. */
const pendingAfterShare = 0.5

/** The parts of a replica that its votes depend on. */
export interface IVotingHost {
  readonly log: replicaLog.ReplicaLog
  readonly lock: async.Sequencer
  readonly decisions: decisionLog.IDecisionLog
  readonly electionTimeoutMs: number
  /** Returns whether a leader is active; votes are refused then, so that a rejoining replica can't depose a working leader. */
  hasActiveLeader(): boolean
  /** Ends the replica's own candidacy, if any, since another candidate asks for a vote in a higher term. */
  handleHigherTermRequested(): void
  /** Ends the role in the term so far, before a higher term is adopted. */
  handleNewTerm(): void
  /** Postpones the replica's own election after it granted a vote. */
  handleVoteGranted(): void
}

/** An attempt to become leader, from the start of the write of the own vote. */
export interface Candidacy {
  /** Aborts when the candidacy ends because of a leader, a higher term or a failed write. */
  readonly ended: AbortSignal
  /** Resolves when the write of the own vote has ended; votes of other replicas may be requested before. */
  readonly voteWritten: Promise<void>
}

/** A vote that is being decided on, or written. */
interface PendingVote {
  readonly term: number
  readonly candidateId: string
  readonly outcome: Promise<inner.VoteRes>
}

/**
 * Votes as in Raft. The term, the vote and all other changes of the stored data run one after the other under the host's lock.
 * Pre-votes change nothing that is stored, so they are decided at once, without the lock.
 */
export class Voting {
  private meta!: inner.ReplicaMeta
  /** Term and vote that are being written. */
  private saving: inner.ReplicaMeta | undefined
  private readonly pendingVotes = new Map<string, PendingVote>()
  private readonly writes = new writeDurations.WriteDurations()
  private reservedFor = ''
  private reservedUntil = -Infinity

  constructor (private readonly host: IVotingHost, private readonly storage: replicaStorage.IReplicaStorage) {}

  /** Initializes term and vote from the stored data. */
  load (meta: inner.ReplicaMeta): void {
    this.meta = meta
  }

  get replicaId (): string {
    return this.meta.replicaId
  }

  /** The stored term. */
  get term (): number {
    return this.meta.term
  }

  /** True while a higher term is being saved; messages of the current term must wait for it. */
  get isChangingTerm (): boolean {
    return this.latestTerm > this.term
  }

  /** The newest term that this replica has adopted, also if it is still being written. */
  get latestTerm (): number {
    return Math.max(this.meta.term, this.saving?.term ?? 0)
  }

  /** True once the replica belongs to a cluster. */
  get founded (): boolean {
    return this.meta.founded
  }

  /** Id of the replica that this one last voted for; empty when there is none. */
  get votedFor (): string {
    return this.meta.votedFor
  }

  /** Milliseconds that a write of the vote is expected to take. */
  get expectedWriteMs (): number {
    return Math.min(this.writes.expectedMs, this.maxWriteMs)
  }

  /** Milliseconds since the reservation of a vote for another candidate ended; not positive while it lasts. */
  get sinceReservationMs (): number {
    if (this.isBusyForOther(this.replicaId)) return 0
    return this.reservedFor === this.replicaId ? Infinity : performance.now() - this.reservedUntil
  }

  /** Decides on a vote or pre-vote as Raft requires, and saves a granted vote before it is granted in a response. */
  async handleVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    if (req.preVote) return this.createVoteRes(this.tryGrantPreVote(req))
    if (req.term > this.latestTerm) this.host.handleHigherTermRequested()
    if (this.isAlreadyGranted(req)) return this.createVoteRes(true)
    const outcome = this.startVote(req)
    // Candidates of earlier builds take a pending vote for a refusal.
    const understandsPending = req.writeMs > 0
    if (!understandsPending || await async.settlesWithin(outcome, this.host.electionTimeoutMs * pendingAfterShare)) return await outcome
    return protobuf.create(inner.VoteResSchema, { term: this.term, pending: true })
  }

  private tryGrantPreVote (req: inner.VoteReq): boolean {
    if (this.host.hasActiveLeader() || req.term <= this.latestTerm || !isUpToDate(req, this.host.log.last)) return false
    if (this.isBusyForOther(req.candidateId) || this.isReservedForOther(req.candidateId)) return false
    this.reserve(req.candidateId, 0)
    return true
  }

  /** Returns whether a vote is stored already, so that it can be granted again, for example after its response was lost. */
  private isAlreadyGranted (req: inner.VoteReq): boolean {
    return req.term === this.latestTerm && req.term === this.term && req.candidateId === this.votedFor &&
      !this.host.hasActiveLeader() && isUpToDate(req, this.host.log.last)
  }

  /** Starts a decision under the lock, or joins the one on the same request. */
  private startVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    const { term, candidateId } = req
    // A candidate that restarts may ask again in the same term with another log.
    const key = `${term} ${candidateId} ${req.lastTerm} ${req.lastIndex}`
    const known = this.pendingVotes.get(key)
    if (known !== undefined) return known.outcome
    const outcome = this.host.lock.run(async () => await this.decideVote(req)).finally(() => this.pendingVotes.delete(key))
    this.pendingVotes.set(key, { term, candidateId, outcome })
    outcome.catch((err) => {
      this.host.decisions.record({ event: 'control-vote-failed', choice: candidateId, term, why: errors.messageOf(err) })
    })
    return outcome
  }

  private async decideVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    if (this.host.hasActiveLeader() || req.term < this.term || this.isSuperseded(req.term)) return this.createVoteRes(false)
    const isNewTerm = req.term > this.term
    const canVote = isNewTerm || this.votedFor === '' || this.votedFor === req.candidateId
    if (!isUpToDate(req, this.host.log.last) || !canVote) {
      if (isNewTerm) await this.adoptTerm(req.term)
      return this.createVoteRes(false)
    }
    // Term and vote are saved in one write, since the candidate waits for a majority of these writes.
    if (isNewTerm || this.votedFor === '') await this.adoptTerm(req.term, req.candidateId)
    this.host.handleVoteGranted()
    this.reserve(req.candidateId, req.writeMs)
    return this.createVoteRes(true)
  }

  /** Returns whether a candidate of a higher term is waiting, so that a write for this term would be in vain. */
  private isSuperseded (term: number): boolean {
    return [...this.pendingVotes.values()].some((vote) => vote.term > term)
  }

  /** Saves a new term and the replica's vote for itself in it. Runs under the lock. */
  async voteForSelf (term: number): Promise<void> {
    await this.saveMeta({ term, votedFor: this.replicaId })
    // Other voters may still write their votes. It isn't reserved for longer, since one of them may have stalled.
    this.reservedFor = this.replicaId
    this.reservedUntil = performance.now() + this.host.electionTimeoutMs
  }

  /** Ends the reservation of the own vote once the replica is no candidate any more. */
  releaseOwnVote (): void {
    if (this.reservedFor === this.replicaId) this.reservedUntil = -Infinity
  }

  /** Adopts a higher term, and saves it with the vote given in it, if any. Runs under the lock. */
  async adoptTerm (term: number, votedFor = ''): Promise<void> {
    this.host.handleNewTerm()
    await this.saveMeta({ term, votedFor })
  }

  /** Saves permanently that the replica belongs to a cluster. Runs under the lock. */
  async markFounded (): Promise<void> {
    await this.saveMeta({ founded: true })
  }

  /** Returns whether term or vote are being written, or a vote is being decided on, for another candidate. */
  private isBusyForOther (candidateId: string): boolean {
    if (this.saving !== undefined && this.saving.votedFor !== candidateId) return true
    return [...this.pendingVotes.values()].some((vote) => vote.candidateId !== candidateId)
  }

  /** Simultaneous candidates would split the votes, so each replica reserves its vote for one candidate at a time. */
  private isReservedForOther (candidateId: string): boolean {
    return performance.now() < this.reservedUntil && this.reservedFor !== candidateId
  }

  private reserve (candidateId: string, writeMs: number): void {
    this.reservedFor = candidateId
    this.reservedUntil = performance.now() + this.host.electionTimeoutMs * voteReservationShare + Math.min(writeMs, this.maxWriteMs)
  }

  private get maxWriteMs (): number {
    return this.host.electionTimeoutMs * maxWriteTimeFactor
  }

  private createVoteRes (granted: boolean): inner.VoteRes {
    return protobuf.create(inner.VoteResSchema, { term: this.term, granted })
  }

  private async saveMeta (change: Partial<Pick<inner.ReplicaMeta, 'term' | 'votedFor' | 'founded'>>): Promise<void> {
    const next = protobuf.create(inner.ReplicaMetaSchema, { ...this.meta, ...change })
    this.saving = next
    try {
      await this.writes.measure(async () => await this.storage.saveMeta(next))
      this.meta = next
    } finally {
      this.saving = undefined
    }
  }
}

/** Returns whether a candidate's log is at least as up to date as a log that ends at `last`. */
function isUpToDate (req: inner.VoteReq, last: replicaLog.LogPosition): boolean {
  if (req.lastTerm !== last.term) return req.lastTerm > last.term
  return Number(req.lastIndex) >= last.index
}
