/** One control replica: its role, its votes, and the log it takes from the leader. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as logEntry from '../common/logEntry.js'
import * as quorum from '../common/quorum.js'
import * as replicatedState from '../common/replicatedState.js'
import * as leadership from './leadership.js'
import type * as replicaLinks from './replicaLinks.js'
import * as replicaLog from './replicaLog.js'
import type * as replicaStorage from './replicaStorage.js'

/**
 * Part of the election timeout for which a promised vote is kept for its candidate, and the one who promised it doesn't stand
 * itself: a candidacy takes two writes to disks, one after the other.
 */
const promiseShare = 0.2

/** What a replica is told about itself and its group. */
export interface ReplicaOptions {
  readonly address: string
  readonly operatorAddress: string
  readonly failureDomain: string
  readonly electionTimeoutMs: number
  readonly heartbeatMs: number
  readonly snapshotEvery: number
}

export type Role = 'follower' | 'candidate' | 'leader'

/** Follows, votes and leads. All changes of term, vote and log run one after the other under `lock`. */
export class Replica implements leadership.ILeaderHost, lifecycle.IDisposable {
  readonly lock = new async.Sequencer()
  readonly log: replicaLog.ReplicaLog
  readonly state = new replicatedState.ReplicatedState()
  private readonly appliedEmitter = new event.Emitter<number>()
  /** Fires the index of the newest applied entry. */
  readonly onApplied = this.appliedEmitter.event
  private readonly appliedSignal = new async.Signal()
  private meta!: inner.ReplicaMeta
  private currentRole: Role = 'follower'
  private leading: leadership.Leadership | undefined
  private leader = ''
  private leaderContactAt = -Infinity
  private supportedCandidate = ''
  private supportEndsAt = -Infinity
  private seenLeader = false
  private applied = 0
  private snapshotting = false

  constructor (
    private readonly options: ReplicaOptions,
    private readonly storage: replicaStorage.IReplicaStorage,
    readonly links: replicaLinks.ReplicaLinks,
    readonly decisions: decisionLog.IDecisionLog
  ) {
    this.log = new replicaLog.ReplicaLog(storage)
    storage.onFullChanged((isFull) => this.fullChanged(isFull))
  }

  /** Loads what the data folder holds. */
  async load (): Promise<void> {
    const stored = await this.storage.load()
    this.meta = stored.meta
    this.log.load(stored)
    if (stored.snapshot !== undefined) this.restore(stored.snapshot)
    this.leaderContactAt = performance.now()
  }

  get replicaId (): string {
    return this.meta.replicaId
  }

  get term (): number {
    return this.meta.term
  }

  get founded (): boolean {
    return this.meta.founded
  }

  get role (): Role {
    return this.currentRole
  }

  get leadership (): leadership.Leadership | undefined {
    return this.leading
  }

  get leaderId (): string {
    return this.leader
  }

  get commitIndex (): number {
    return this.applied
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

  /** A replica whose disk is full can neither vote nor keep entries. */
  get mayStand (): boolean {
    return this.isVoter && !this.storage.isFull
  }

  get isMember (): boolean {
    return this.log.membership.replicas.some((replica) => replica.id === this.replicaId)
  }

  /** True once a leader was heard, or this replica led, since the start. */
  get hasSeenLeader (): boolean {
    return this.seenLeader
  }

  /** Milliseconds since a leader was heard of. */
  get leaderSilenceMs (): number {
    return performance.now() - this.leaderContactAt
  }

  /** Milliseconds since a vote, or the promise of one, was last kept for another candidate; negative while it is. */
  get uncommittedMs (): number {
    return this.supportedCandidate === this.replicaId ? Infinity : performance.now() - this.supportEndsAt
  }

  /** The replica that this one voted for last, which most likely led; empty where it isn't known. */
  get lastVotedFor (): string {
    return this.meta.votedFor
  }

  /** This replica as it would stand in the membership. */
  get self (): inner.Replica {
    return protobuf.create(inner.ReplicaSchema, {
      id: this.replicaId,
      address: this.options.address,
      operatorAddress: this.options.operatorAddress,
      failureDomain: this.options.failureDomain
    })
  }

  /** The leader as it stands in the membership, where one is known. */
  get leaderReplica (): inner.Replica | undefined {
    return this.log.membership.replicas.find((replica) => replica.id === this.leader)
  }

  dispose (): void {
    this.leading?.dispose()
    this.appliedEmitter.dispose()
    this.storage.dispose()
  }

  /** Founds a cluster with this replica as its only voter; the others of the group join it. */
  async found (): Promise<void> {
    await this.lock.run(async () => {
      if (this.founded) throw new errors.RackError({ kind: 'already-founded', message: 'this replica belongs to a cluster already' })
      const membership = protobuf.create(inner.MembershipSchema, { replicas: [{ ...this.self, voter: true }] })
      await this.log.rebase(this.state.toSnapshot(0, 0, membership))
      await this.saveMeta({ founded: true })
      this.decisions.record({ event: 'control-found', choice: this.replicaId, why: 'founded by an operator' })
    })
  }

  // ---- Votes ----

  async handleVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    this.requireAddressee(req.toReplicaId)
    this.requireRoom()
    return await this.lock.run(async () => await this.decideVote(req))
  }

  private async decideVote (req: inner.VoteReq): Promise<inner.VoteRes> {
    if (this.hearsLeader() || req.term < this.term) return this.voteRes(false)
    const upToDate = isUpToDate(req, this.log.last)
    if (req.preVote) return this.voteRes(upToDate && req.term > this.term && this.promises(req.candidateId))
    const isNewTerm = req.term > this.term
    const free = isNewTerm || this.meta.votedFor === '' || this.meta.votedFor === req.candidateId
    if (!upToDate || !free) {
      if (isNewTerm) await this.adoptTerm(req.term)
      return this.voteRes(false)
    }
    // Term and vote in one write: a candidate waits for a majority of these.
    await this.adoptTerm(req.term, req.candidateId)
    this.leaderContactAt = performance.now()
    this.support(req.candidateId)
    return this.voteRes(true)
  }

  /** One candidate at a time is promised a vote, so that two that stand at once don't take votes from each other. */
  private promises (candidateId: string): boolean {
    if (performance.now() < this.supportEndsAt && this.supportedCandidate !== candidateId) return false
    this.support(candidateId)
    return true
  }

  private support (candidateId: string): void {
    this.supportedCandidate = candidateId
    this.supportEndsAt = performance.now() + this.options.electionTimeoutMs * promiseShare
  }

  /** A replica that hears its leader gives no votes: a rejoining peer can't unseat a working leader. */
  private hearsLeader (): boolean {
    if (this.leading !== undefined) {
      return this.leading.quorumAckedSince(performance.now() - this.options.electionTimeoutMs)
    }
    return this.leader !== '' && this.leaderSilenceMs < this.options.electionTimeoutMs
  }

  private voteRes (granted: boolean): inner.VoteRes {
    return protobuf.create(inner.VoteResSchema, { term: this.term, granted })
  }

  /** Begins a candidacy in a term for which votes were promised; false when a leader or another candidate came first. */
  async becomeCandidate (term: number): Promise<boolean> {
    return await this.lock.run(async () => {
      if (this.hearsLeader() || !this.isVoter || this.leading !== undefined || this.term + 1 !== term) return false
      this.support(this.replicaId)
      await this.saveMeta({ term, votedFor: this.replicaId })
      this.support(this.replicaId)
      this.currentRole = 'candidate'
      this.leader = ''
      return true
    })
  }

  /** Leads the term for which it won the votes, unless that has passed. */
  async becomeLeader (term: number): Promise<void> {
    await this.lock.run(async () => {
      if (this.term !== term || this.currentRole !== 'candidate') return
      this.currentRole = 'leader'
      this.leader = this.replicaId
      this.seenLeader = true
      this.leading = new leadership.Leadership(this, term)
      this.leading.start()
      this.decisions.record({ event: 'control-leader', choice: this.replicaId, term, why: 'won the election' })
    })
  }

  stepDown (term: number, why: string): void {
    if (this.leading !== undefined) {
      this.decisions.record({ event: 'control-step-down', choice: this.replicaId, term: this.term, why })
    }
    this.follow('')
    this.lock.run(async () => {
      if (term > this.term) await this.adoptTerm(term)
    })
  }

  private async adoptTerm (term: number, votedFor = ''): Promise<void> {
    this.follow('')
    await this.saveMeta({ term, votedFor })
  }

  private follow (leaderId: string): void {
    this.leading?.dispose()
    this.leading = undefined
    this.currentRole = 'follower'
    this.leader = leaderId
  }

  // ---- Replication ----

  async handleAppend (req: inner.AppendReq): Promise<inner.AppendRes> {
    this.requireAddressee(req.toReplicaId)
    this.requireRoom()
    return await this.lock.run(async () => {
      if (req.term < this.term) return this.appendRes(false, 0)
      await this.acknowledgeLeader(req.term, req.leaderId)
      const prevIndex = Number(req.prevIndex)
      if (!this.continuesAt(prevIndex, req.prevTerm)) return this.appendRes(false, Math.min(this.log.last.index, prevIndex - 1))
      await this.takeEntries(req.entries.map(logEntry.decodeEntry))
      const lastIndex = prevIndex + req.entries.length
      this.leaderContactAt = performance.now()
      this.commit(Math.min(Number(req.commitIndex), lastIndex))
      return this.appendRes(true, lastIndex)
    })
  }

  async handleInstallSnapshot (req: inner.InstallSnapshotReq): Promise<inner.InstallSnapshotRes> {
    this.requireAddressee(req.toReplicaId)
    this.requireRoom()
    return await this.lock.run(async () => {
      const snapshot = req.snapshot
      if (req.term >= this.term && snapshot !== undefined) {
        await this.acknowledgeLeader(req.term, req.leaderId)
        await this.takeSnapshot(snapshot)
        this.leaderContactAt = performance.now()
      }
      return protobuf.create(inner.InstallSnapshotResSchema, { term: this.term })
    })
  }

  private async acknowledgeLeader (term: number, leaderId: string): Promise<void> {
    if (term > this.term) await this.adoptTerm(term)
    if (this.leader !== leaderId || this.currentRole !== 'follower') this.follow(leaderId)
    this.seenLeader = true
    this.leaderContactAt = performance.now()
  }

  /** Entries below the snapshot are committed, so they agree with any leader's. */
  private continuesAt (prevIndex: number, prevTerm: number): boolean {
    return prevIndex < this.log.snapshotIndex || this.log.termAt(prevIndex) === prevTerm
  }

  private async takeEntries (entries: readonly logEntry.LogEntry[]): Promise<void> {
    const firstNew = entries.findIndex((entry) => entry.index > this.log.snapshotIndex && this.log.termAt(entry.index) !== entry.term)
    if (firstNew < 0) return
    const added = entries.slice(firstNew)
    const start = added[0]!.index
    if (start <= this.log.last.index) await this.log.truncateAfter(start - 1)
    this.log.extend(added)
    await this.log.persist(added)
    await this.markFounded()
  }

  private async takeSnapshot (snapshot: inner.Snapshot): Promise<void> {
    if (Number(snapshot.index) <= this.applied && this.founded) return
    await this.log.rebase(snapshot)
    this.restore(snapshot)
    await this.markFounded()
  }

  /** From the time that a membership names it, a replica belongs to the cluster for good. */
  private async markFounded (): Promise<void> {
    if (!this.founded && this.isMember) await this.saveMeta({ founded: true })
  }

  private restore (snapshot: inner.Snapshot): void {
    this.state.restore(snapshot)
    this.applied = Number(snapshot.index)
    this.announceApplied()
  }

  private appendRes (success: boolean, lastIndex: number): inner.AppendRes {
    return protobuf.create(inner.AppendResSchema, { term: this.term, success, lastIndex: BigInt(Math.max(0, lastIndex)) })
  }

  /** Refuses messages meant for the replica that held this address before. */
  private requireAddressee (replicaId: string): void {
    if (replicaId === this.replicaId) return
    throw new errors.RackError({ kind: 'not-found', message: `replica ${replicaId} is not here; this is ${this.replicaId}` })
  }

  /** Refuses at once what would wait for room on the disk. */
  private requireRoom (): void {
    if (this.storage.isFull) throw new errors.RackError({ kind: 'disk-failure', message: 'the disk is full' })
  }

  private fullChanged (isFull: boolean): void {
    this.decisions.record({ event: 'disk-full', choice: isFull ? 'full' : 'room again', why: isFull ? 'a write found no room; this replica neither votes nor leads until there is some' : 'the write succeeded' })
    if (isFull && this.leading !== undefined) this.stepDown(this.term, 'the disk is full')
  }

  // ---- Applying ----

  commit (index: number): void {
    if (index <= this.applied) return
    while (this.applied < index) {
      const entry = this.log.at(this.applied + 1)
      if (entry === undefined) break
      this.applied++
      const result = this.state.apply(entry)
      this.leading?.applied(entry, result)
    }
    this.announceApplied()
    if (this.applied - this.log.snapshotIndex >= this.options.snapshotEvery) this.compact()
  }

  private announceApplied (): void {
    this.appliedSignal.notify()
    this.appliedEmitter.fire(this.applied)
  }

  private compact (): void {
    if (this.snapshotting) return
    this.snapshotting = true
    this.lock.run(async () => {
      const index = this.applied
      const snapshot = this.state.toSnapshot(index, this.log.termAt(index)!, this.log.membershipAt(index))
      await this.log.rebase(snapshot)
    }).finally(() => {
      this.snapshotting = false
    })
  }

  /** Resolves once an index is applied; throws `no-quorum` when that takes too long. */
  async waitApplied (index: number): Promise<void> {
    const deadline = performance.now() + this.options.electionTimeoutMs
    while (this.applied < index) {
      const left = deadline - performance.now()
      if (left <= 0) throw new errors.RackError({ kind: 'no-quorum', message: `log entry ${index} did not arrive in time` })
      await this.appliedSignal.wait(left)
    }
  }

  private async saveMeta (change: Partial<Pick<inner.ReplicaMeta, 'term' | 'votedFor' | 'founded'>>): Promise<void> {
    const next = protobuf.create(inner.ReplicaMetaSchema, { ...this.meta, ...change })
    await this.storage.saveMeta(next)
    this.meta = next
  }
}

function isUpToDate (req: inner.VoteReq, last: replicaLog.LogPosition): boolean {
  if (req.lastTerm !== last.term) return req.lastTerm > last.term
  return Number(req.lastIndex) >= last.index
}
