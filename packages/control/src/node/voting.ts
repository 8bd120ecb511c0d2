/** Term and vote of one replica: decides on the votes that candidates request, and saves term and vote. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as async from '@rosemaryrack/base/common/async.js'
import type * as replicaLog from './replicaLog.js'
import type * as replicaStorage from './replicaStorage.js'

/**
 * Share of the election timeout for which a granted vote or pre-vote stays reserved for its candidate, and for which the replica
 * that granted it starts no election of its own: long enough for the candidate to finish its election, which takes two disk
 * writes, one after the other.
 */
const voteReservationShare = 0.2

/** The parts of a replica that its votes depend on. */
export interface IVotingHost {
  readonly log: replicaLog.ReplicaLog
  readonly lock: async.Sequencer
  readonly electionTimeoutMs: number
  /** Returns whether a leader is active; votes are refused then, so that a rejoining replica can't depose a working leader. */
  hasActiveLeader(): boolean
  /** Ends the role in the term so far, before a higher term is adopted. */
  handleNewTerm(): void
  /** Postpones the replica's own election after it granted a vote. */
  handleVoteGranted(): void
}

/** Votes as in Raft. The term, the vote and all other changes of the stored data run one after the other under the host's lock. */
export class Voting {
  private meta!: inner.ReplicaMeta
  /** Term of the newest write, finished or not. */
  private writtenTerm = 0
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

  get term (): number {
    return this.meta.term
  }

  /** True while a higher term is being saved; messages of the current term must wait for it. */
  get isChangingTerm (): boolean {
    return this.writtenTerm > this.term
  }

  /** True once the replica belongs to a cluster. */
  get founded (): boolean {
    return this.meta.founded
  }

  /** Id of the replica that this one last voted for; empty when there is none. */
  get votedFor (): string {
    return this.meta.votedFor
  }

  /** Milliseconds since the reservation of a vote for another candidate ended; negative while it lasts. */
  get sinceReservationMs (): number {
    return this.reservedFor === this.replicaId ? Infinity : performance.now() - this.reservedUntil
  }

  /** Decides on a vote or pre-vote as Raft requires, and saves a granted vote before responding. */
  async handleVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    return await this.host.lock.run(async () => await this.decideVote(req))
  }

  private async decideVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    if (this.host.hasActiveLeader() || req.term < this.term) return this.createVoteRes(false)
    const isLogUpToDate = isUpToDate(req, this.host.log.last)
    if (req.preVote) return this.createVoteRes(isLogUpToDate && req.term > this.term && this.tryReserve(req.candidateId))
    const isNewTerm = req.term > this.term
    const canVote = isNewTerm || this.votedFor === '' || this.votedFor === req.candidateId
    if (!isLogUpToDate || !canVote) {
      if (isNewTerm) await this.adoptTerm(req.term)
      return this.createVoteRes(false)
    }
    // Term and vote are saved in one write, since the candidate waits for a majority of these writes.
    await this.adoptTerm(req.term, req.candidateId)
    this.host.handleVoteGranted()
    this.reserve(req.candidateId)
    return this.createVoteRes(true)
  }

  /** Saves a new term and the replica's vote for itself in it. Runs under the lock. */
  async voteForSelf (term: number): Promise<void> {
    this.reserve(this.replicaId)
    await this.saveMeta({ term, votedFor: this.replicaId })
    // Reserved again, since the write may outlast the first reservation.
    this.reserve(this.replicaId)
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

  /** Reserves this replica's vote for one candidate at a time, so that simultaneous candidates don't split the votes. */
  private tryReserve (candidateId: string): boolean {
    if (performance.now() < this.reservedUntil && this.reservedFor !== candidateId) return false
    this.reserve(candidateId)
    return true
  }

  private reserve (candidateId: string): void {
    this.reservedFor = candidateId
    this.reservedUntil = performance.now() + this.host.electionTimeoutMs * voteReservationShare
  }

  private createVoteRes (granted: boolean): inner.VoteRes {
    return protobuf.create(inner.VoteResSchema, { term: this.term, granted })
  }

  private async saveMeta (change: Partial<Pick<inner.ReplicaMeta, 'term' | 'votedFor' | 'founded'>>): Promise<void> {
    const next = protobuf.create(inner.ReplicaMetaSchema, { ...this.meta, ...change })
    this.writtenTerm = next.term
    await this.storage.saveMeta(next)
    this.meta = next
  }
}

/** Returns whether a candidate's log is at least as up to date as a log that ends at `last`. */
function isUpToDate (req: inner.VoteReq, last: replicaLog.LogPosition): boolean {
  if (req.lastTerm !== last.term) return req.lastTerm > last.term
  return Number(req.lastIndex) >= last.index
}
