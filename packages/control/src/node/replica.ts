/** One control replica: its role in the election, and the log entries it receives from the leader. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as logEntry from '../common/logEntry.js'
import * as quorum from '../common/quorum.js'
import type * as replicatedState from '../common/replicatedState.js'
import * as leadership from './leadership.js'
import * as logApplier from './logApplier.js'
import * as logCompactor from './logCompactor.js'
import * as partReceiver from './partReceiver.js'
import type * as replicaLinks from './replicaLinks.js'
import * as replicaLog from './replicaLog.js'
import * as replicaMonitor from './replicaMonitor.js'
import type * as replicaStorage from './replicaStorage.js'
import * as voting from './voting.js'

/** Addresses and timing of a replica. */
export interface ReplicaOptions {
  readonly address: string
  readonly operatorAddress: string
  readonly failureDomain: string
  readonly electionTimeoutMs: number
  readonly heartbeatMs: number
  readonly snapshotEvery: number
}

/** Role of a replica in the current term. */
export type Role = 'follower' | 'candidate' | 'leader'

/** Follows, votes and leads as in Raft. All changes of term, vote and log run one after the other under `lock`. */
export class Replica implements leadership.ILeaderHost, voting.IVotingHost, lifecycle.IDisposable {
  readonly lock = new async.Sequencer()
  readonly log: replicaLog.ReplicaLog
  readonly monitor: replicaMonitor.ReplicaMonitor
  private readonly voting: voting.Voting
  private readonly applier: logApplier.LogApplier
  private readonly compactor: logCompactor.LogCompactor
  private currentRole: Role = 'follower'
  private currentLeadership: leadership.Leadership | undefined
  private currentLeaderId = ''
  private candidacyEnd = new AbortController()
  private leaderContactAt = -Infinity
  private seenLeader = false
  private readonly parts = new partReceiver.PartReceiver()

  constructor (
    private readonly options: ReplicaOptions,
    private readonly storage: replicaStorage.IReplicaStorage,
    readonly links: replicaLinks.ReplicaLinks,
    readonly decisions: decisionLog.IDecisionLog
  ) {
    this.log = new replicaLog.ReplicaLog(storage)
    this.monitor = new replicaMonitor.ReplicaMonitor(decisions, options.electionTimeoutMs, this)
    this.voting = new voting.Voting(this, storage)
    this.applier = new logApplier.LogApplier(this.log, decisions)
    this.compactor = new logCompactor.LogCompactor(this.log, this.applier, options.snapshotEvery, decisions)
    storage.onDiskFullChanged((isFull) => this.handleDiskFullChanged(isFull))
  }

  /** Loads the stored state from the data folder. */
  async load (): Promise<void> {
    const stored = await this.storage.load()
    this.voting.load(stored.meta)
    this.log.load(stored)
    if (stored.snapshot !== undefined) {
      this.applier.restore(stored.snapshot)
      this.applier.notify()
    }
    this.leaderContactAt = performance.now()
  }

  get state (): replicatedState.ReplicatedState {
    return this.applier.state
  }

  /** Fires the index of the newest applied entry. */
  get onApplied (): event.Event<number> {
    return this.applier.onApplied
  }

  private get appliedIndex (): number {
    return this.applier.appliedIndex
  }

  get replicaId (): string {
    return this.voting.replicaId
  }

  get term (): number {
    return this.voting.term
  }

  /** The newest term that this replica has adopted, also if it is still being written. */
  get latestTerm (): number {
    return this.voting.latestTerm
  }

  /** True once this replica belongs to a cluster. */
  get founded (): boolean {
    return this.voting.founded
  }

  get role (): Role {
    return this.currentRole
  }

  get leadership (): leadership.Leadership | undefined {
    return this.currentLeadership
  }

  get leaderId (): string {
    return this.currentLeaderId
  }

  /** Index of the last entry that is known to be committed and is applied. */
  get commitIndex (): number {
    return this.appliedIndex
  }

  get electionTimeoutMs (): number {
    return this.options.electionTimeoutMs
  }

  get heartbeatMs (): number {
    return this.options.heartbeatMs
  }

  get isVoter (): boolean {
    return quorum.isVoter(this.log.membership, this.replicaId)
  }

  /**
   * True for a voter with room on its disk that can apply its log: with a full disk it could store neither its vote nor log entries,
   * and a leader commits only what it has applied.
   */
  get canStartElection (): boolean {
    return this.isVoter && !this.storage.isDiskFull && this.applier.canApply
  }

  get isMember (): boolean {
    return this.log.membership.replicas.some((replica) => replica.id === this.replicaId)
  }

  /** True once a leader has contacted this replica, or this replica has led, since the process started. */
  get hasSeenLeader (): boolean {
    return this.seenLeader
  }

  /** Milliseconds since the last message of a leader, or since a vote was granted. */
  get sinceLeaderContactMs (): number {
    return performance.now() - this.leaderContactAt
  }

  /** Milliseconds that a write of this replica's vote is expected to take. */
  get expectedWriteMs (): number {
    return this.voting.expectedWriteMs
  }

  /** Milliseconds since the reservation of a vote for another candidate ended; not positive while it lasts. */
  get sinceVoteReservationMs (): number {
    return this.voting.sinceReservationMs
  }

  /** Id of the replica that this one last voted for, most likely the last leader; empty when there is none. */
  get lastVotedFor (): string {
    return this.voting.votedFor
  }

  /** This replica's entry for the membership, with `voter` unset. */
  get self (): inner.Replica {
    return protobuf.create(inner.ReplicaSchema, {
      id: this.replicaId,
      address: this.options.address,
      operatorAddress: this.options.operatorAddress,
      failureDomain: this.options.failureDomain
    })
  }

  /** The current leader's entry in the membership; undefined when no leader is known. */
  get leaderReplica (): inner.Replica | undefined {
    return this.log.membership.replicas.find((replica) => replica.id === this.currentLeaderId)
  }

  dispose (): void {
    this.currentLeadership?.dispose()
    this.applier.dispose()
    this.storage.dispose()
  }

  /** Founds a cluster with this replica as its only voter; the other replicas of the group join it. */
  async foundCluster (): Promise<void> {
    await this.lock.run(async () => {
      if (this.founded) throw new errors.RackError({ kind: 'already-founded', message: 'this replica already belongs to a cluster' })
      const membership = protobuf.create(inner.MembershipSchema, { replicas: [{ ...this.self, voter: true }] })
      await this.log.replaceSnapshot(this.state.toSnapshot(0, 0, membership))
      await this.voting.markFounded()
      this.decisions.record({ event: 'control-found', choice: this.replicaId, why: 'this replica founded the cluster' })
    })
  }

  // ---- Votes ----

  async handleVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    this.requireAddressee(req.toReplicaId)
    this.requireDiskSpace()
    return await this.voting.handleVote(req)
  }

  /** Returns whether a leader is active; votes are refused then, so that a rejoining replica can't depose a working leader. */
  hasActiveLeader (): boolean {
    if (this.currentLeadership !== undefined) {
      return this.currentLeadership.hasQuorumAckedSince(performance.now() - this.options.electionTimeoutMs)
    }
    return this.currentLeaderId !== '' && this.sinceLeaderContactMs < this.options.electionTimeoutMs
  }

  handleNewTerm (): void {
    this.follow('')
  }

  handleVoteGranted (): void {
    this.leaderContactAt = performance.now()
  }

  handleHigherTermRequested (): void {
    this.withdrawCandidacy()
  }

  /**
   * Becomes candidate in a term for which a majority granted pre-votes; returns undefined when a leader or another candidate came
   * first. The own vote is written while the other votes are requested: it counts only once it is stored, since a candidate
   * becomes leader under the lock.
   * @param preVotesAskedAt since when a message of a leader, or a vote for another candidate, means that it came first.
   */
  async becomeCandidate (term: number, preVotesAskedAt = performance.now()): Promise<voting.Candidacy | undefined> {
    const started = new async.Deferred<AbortSignal | undefined>()
    const voteWritten = this.lock.run(async () => {
      if (this.hasActiveLeader() || !this.isVoter || this.currentLeadership !== undefined || this.term + 1 !== term || this.leaderContactAt > preVotesAskedAt) {
        return started.resolve(undefined)
      }
      this.follow('')
      this.currentRole = 'candidate'
      this.candidacyEnd = new AbortController()
      const write = this.voting.voteForSelf(term)
      started.resolve(this.candidacyEnd.signal)
      await write
      if (this.currentRole !== 'candidate') this.voting.releaseOwnVote()
    }).catch((err) => {
      this.decisions.record({ event: 'control-vote-failed', choice: this.replicaId, term, why: errors.messageOf(err) })
      this.withdrawCandidacy()
      started.resolve(undefined)
    })
    const ended = await started.promise
    return ended === undefined ? undefined : { ended, voteWritten }
  }

  /** Ends a candidacy that can't be won any more. */
  withdrawCandidacy (): void {
    if (this.currentRole === 'candidate') this.follow('')
  }

  /** Becomes leader of the term in which it won the election, unless the term or the role has changed meanwhile. */
  async becomeLeader (term: number): Promise<void> {
    await this.lock.run(async () => {
      if (this.term !== term || this.currentRole !== 'candidate') return
      this.currentRole = 'leader'
      this.currentLeaderId = this.replicaId
      this.seenLeader = true
      this.currentLeadership = new leadership.Leadership(this, term)
      this.currentLeadership.start()
      this.monitor.leader.recordLeader(this.replicaId)
      this.decisions.record({ event: 'control-leader', choice: this.replicaId, term, why: 'won the election' })
    })
  }

  /** Ends this replica's leadership, if any, and adopts a higher term. */
  stepDown (term: number, why: string): void {
    if (this.currentLeadership !== undefined) {
      this.decisions.record({ event: 'control-step-down', choice: this.replicaId, term: this.term, why })
    }
    this.follow('')
    // Not awaited: the leadership ends now, and the term is saved once earlier changes under `lock` are done.
    this.lock.run(async () => {
      if (term > this.term) await this.voting.adoptTerm(term)
    }).catch((err) => {
      this.decisions.record({ event: 'control-term-failed', choice: this.replicaId, term, why: errors.messageOf(err) })
    })
  }

  /** Becomes follower of a leader; the id is empty when the leader isn't known. */
  private follow (leaderId: string): void {
    if (this.currentLeadership !== undefined) this.monitor.endLeadership()
    this.currentLeadership?.dispose()
    this.currentLeadership = undefined
    this.currentRole = 'follower'
    this.currentLeaderId = leaderId
    this.candidacyEnd.abort()
    this.voting.releaseOwnVote()
  }

  // ---- Replication ----

  async handleAppend (req: inner.AppendReq): Promise<inner.AppendRes> {
    this.requireAddressee(req.toReplicaId)
    this.requireDiskSpace()
    return this.tryHandleHeartbeat(req) ?? await this.lock.run(async () => {
      if (req.term < this.term) return this.createAppendRes(false, 0)
      await this.acknowledgeLeader(req.term, req.leaderId)
      const prevIndex = Number(req.prevIndex)
      if (!this.containsEntry(prevIndex, req.prevTerm)) return this.createAppendRes(false, Math.min(this.log.last.index, prevIndex - 1))
      await this.storeEntries(req.entries.map(logEntry.decodeEntry))
      // Also waits for entries that this replica added as a former leader.
      await this.log.flush()
      await this.markFounded()
      const lastIndex = prevIndex + req.entries.length
      this.leaderContactAt = performance.now()
      this.commit(Math.min(Number(req.commitIndex), lastIndex))
      return this.createAppendRes(true, lastIndex)
    })
  }

  /**
   * Handles a message without entries if that needs neither the disk nor `lock`, so that a leader can tell a slow disk from a lost
   * replica; otherwise returns undefined.
   */
  private tryHandleHeartbeat (req: inner.AppendReq): inner.AppendRes | undefined {
    const isCurrentTerm = req.term === this.term && !this.voting.isChangingTerm
    if (req.entries.length > 0 || !isCurrentTerm || this.currentLeadership !== undefined) return undefined
    const prevIndex = Number(req.prevIndex)
    if (prevIndex > this.log.durableIndex || !this.containsEntry(prevIndex, req.prevTerm)) return undefined
    this.followLeader(req.leaderId)
    this.commit(Math.min(Number(req.commitIndex), prevIndex))
    return this.createAppendRes(true, prevIndex)
  }

  /** Handles a part of a message; the response to the last part contains that to the message. */
  async handlePart (part: inner.ReplicationPart): Promise<inner.ReplicationPartRes> {
    this.requireAddressee(part.toReplicaId)
    this.requireDiskSpace()
    if (part.term < this.term) return protobuf.create(inner.ReplicationPartResSchema, { term: this.term })
    const res = await this.parts.receive(part, this)
    return protobuf.create(inner.ReplicationPartResSchema, { ...res, term: this.term })
  }

  async handleInstallSnapshot (req: inner.InstallSnapshotReq): Promise<inner.InstallSnapshotRes> {
    this.requireAddressee(req.toReplicaId)
    this.requireDiskSpace()
    return await this.lock.run(async () => {
      const snapshot = req.snapshot
      if (req.term >= this.term && snapshot !== undefined) {
        await this.acknowledgeLeader(req.term, req.leaderId)
        await this.installSnapshot(snapshot)
        this.leaderContactAt = performance.now()
      }
      return protobuf.create(inner.InstallSnapshotResSchema, { term: this.term })
    })
  }

  private async acknowledgeLeader (term: number, leaderId: string): Promise<void> {
    if (term > this.term) await this.voting.adoptTerm(term)
    this.followLeader(leaderId)
  }

  private followLeader (leaderId: string): void {
    if (this.currentLeaderId !== leaderId || this.currentRole !== 'follower') this.follow(leaderId)
    this.seenLeader = true
    this.leaderContactAt = performance.now()
    this.monitor.leader.recordLeader(leaderId)
  }

  /** Returns whether the log holds an entry. Entries below the snapshot are committed, so any leader has the same ones. */
  private containsEntry (index: number, term: number): boolean {
    return index < this.log.snapshotIndex || this.log.termAt(index) === term
  }

  /** Appends the entries that the log lacks, after removing those that conflict with them. */
  private async storeEntries (entries: readonly logEntry.LogEntry[]): Promise<void> {
    const firstNew = entries.findIndex((entry) => entry.index > this.log.snapshotIndex && this.log.termAt(entry.index) !== entry.term)
    if (firstNew < 0) return
    const added = entries.slice(firstNew)
    const start = added[0]!.index
    if (start <= this.log.last.index) await this.log.truncateAfter(start - 1)
    this.log.extend(added)
  }

  /** Replaces log and state by a snapshot, unless its entries are already applied. */
  private async installSnapshot (snapshot: inner.Snapshot): Promise<void> {
    // As a former leader this replica may have applied entries that its own disk lacks.
    if (Number(snapshot.index) <= this.appliedIndex && this.founded) return await this.log.flush()
    // First, so that a snapshot that this build can't read leaves the log as it is.
    this.applier.restore(snapshot)
    this.compactor.reset()
    await this.log.replaceSnapshot(snapshot)
    this.applier.notify()
    await this.markFounded()
  }

  /** Records that this replica belongs to the cluster, permanently, once a membership lists it. */
  private async markFounded (): Promise<void> {
    if (!this.founded && this.isMember) await this.voting.markFounded()
  }

  private createAppendRes (success: boolean, lastIndex: number): inner.AppendRes {
    return protobuf.create(inner.AppendResSchema, { term: this.term, success, lastIndex: BigInt(Math.max(0, lastIndex)) })
  }

  /** Throws for messages addressed to the replica that used this address before. */
  private requireAddressee (replicaId: string): void {
    if (replicaId === this.replicaId) return
    throw new errors.RackError({ kind: 'not-found', message: `replica ${replicaId} is not at this address; this is replica ${this.replicaId}` })
  }

  /** Throws immediately when the disk is full, instead of letting the call wait for space. */
  private requireDiskSpace (): void {
    if (this.storage.isDiskFull) throw new errors.RackError({ kind: 'disk-failure', message: 'the disk is full' })
  }

  private handleDiskFullChanged (isFull: boolean): void {
    this.decisions.record({ event: 'disk-full', choice: isFull ? 'full' : 'room again', why: isFull ? 'a write failed for lack of disk space; this replica neither votes nor leads until there is space' : 'the write succeeded' })
    if (isFull && this.currentLeadership !== undefined) this.stepDown(this.term, 'the disk is full')
  }

  // ---- Applying ----

  /** Applies the entries up to a committed index, as far as this build can; a leader that can't steps down. */
  commit (index: number): void {
    if (index <= this.appliedIndex) return
    this.applier.applyUpTo(index, (entry, result) => {
      this.compactor.count(entry)
      this.currentLeadership?.handleApplied(entry, result)
    })
    if (!this.applier.canApply && this.currentLeadership !== undefined) this.stepDown(this.term, 'this build can\'t apply a committed entry')
    this.compactor.compactIfDue()
  }

  /** Resolves once the entry at an index is applied; throws `no-quorum` after an election timeout. */
  async waitUntilApplied (index: number): Promise<void> {
    if (await this.isAppliedWithin(index, this.options.electionTimeoutMs)) return
    throw new errors.RackError({ kind: 'no-quorum', message: `log entry ${index} was not applied in time` })
  }

  /** Resolves to true once the entry at an index is applied, to false after `timeoutMs`. */
  async isAppliedWithin (index: number, timeoutMs: number): Promise<boolean> {
    return await this.applier.waitUntilApplied(index, timeoutMs)
  }
}
