/** One term as leader: proposals, commits, linearizable reads, membership changes. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as logEntry from '../common/logEntry.js'
import * as quorum from '../common/quorum.js'
import type * as replicatedState from '../common/replicatedState.js'
import * as peerReplication from './peerReplication.js'

const maxEntriesPerBatch = 200
const commitTimeoutMs = 5000
const catchUpTimeoutMs = 120_000

/** The parts of the leading replica that its leadership uses. */
export interface ILeaderHost extends peerReplication.IReplicationHost {
  readonly lock: async.Sequencer
  readonly decisions: decisionLog.IDecisionLog
  /** Marks all entries up to an index as committed and applies them. */
  commit(index: number): void
  /** Ends the leadership and adopts a higher term. */
  stepDown(term: number, why: string): void
}

/** A command that waits to be appended. */
interface Proposal {
  readonly command: logEntry.Command
  readonly outcome: async.Deferred<replicatedState.ApplyResult>
}

/** The work of the leader in one term, from construction until disposal. */
export class Leadership implements peerReplication.IReplicatingLeadership, lifecycle.IDisposable {
  private readonly peers = new Map<string, peerReplication.PeerReplication>()
  private readonly pendingByIndex = new Map<number, async.Deferred<replicatedState.ApplyResult>>()
  private readonly progressSignal = new async.Signal()
  private readonly membershipChanges = new async.Sequencer()
  private readonly admittingIds = new Set<string>()
  private queue: Proposal[] = []
  private isWriting = false
  private newestReadAt = 0
  /** Index of the first entry of this term; 0 until it is written. */
  private firstIndexOfTerm = 0
  private disposed = false
  /** Time on the process's monotonic clock at which this replica became leader. */
  readonly startedAt = performance.now()

  constructor (private readonly host: ILeaderHost, readonly term: number) {
    this.refreshPeers(this.startedAt)
  }

  get readRequestedAt (): number {
    return this.newestReadAt
  }

  /** Proposes an empty entry: entries of earlier terms are committed only together with an entry of this term. */
  start (): void {
    this.propose({ case: 'noop', value: true }).catch((err) => {
      this.host.decisions.record({ event: 'control-first-entry', choice: 'failed', term: this.term, why: errors.messageOf(err) })
    })
  }

  dispose (): void {
    this.disposed = true
    for (const peer of this.peers.values()) peer.dispose()
    const leadershipLost: errors.Fault = { kind: 'unknown', timedOut: false, message: 'leadership was lost before the outcome was known; resend with the same id' }
    for (const proposal of this.queue.splice(0)) proposal.outcome.reject(notLeaderError())
    for (const pending of this.pendingByIndex.values()) pending.reject(new errors.RackError(leadershipLost))
    this.pendingByIndex.clear()
    this.progressSignal.notify()
  }

  /** Appends a command; resolves with its result once it is committed and applied. */
  async propose (command: logEntry.Command): Promise<replicatedState.ApplyResult> {
    if (this.disposed) throw notLeaderError()
    logEntry.requireEncodable(command)
    const outcome = new async.Deferred<replicatedState.ApplyResult>()
    this.queue.push({ command, outcome })
    this.writeQueue()
    return await async.withTimeout(outcome.promise, commitTimeoutMs, commitTimeoutError)
  }

  /** Returns the index that must be applied before a linearizable read; throws `no-quorum`. */
  async readIndex (): Promise<number> {
    const requestedAt = performance.now()
    this.newestReadAt = requestedAt
    const deadline = requestedAt + this.host.electionTimeoutMs
    this.wakePeers()
    while (!this.disposed && performance.now() < deadline) {
      const hasCommittedInTerm = this.firstIndexOfTerm > 0 && this.host.commitIndex >= this.firstIndexOfTerm
      if (hasCommittedInTerm && this.hasQuorumAckedSince(requestedAt)) return this.host.commitIndex
      await this.progressSignal.wait(deadline - performance.now())
    }
    throw new errors.RackError({ kind: 'no-quorum', message: 'no quorum of control replicas confirmed the read' })
  }

  /** Returns whether a majority responded to messages that were sent at or after a time. */
  hasQuorumAckedSince (time: number): boolean {
    const ackedAt = quorum.valueReachedByMajority(this.host.log.membership, (id) => this.lastAckedSendAt(id))
    return ackedAt >= time
  }

  handleHigherTerm (term: number, replicaId: string): void {
    if (!this.disposed) this.host.stepDown(term, `replica ${replicaId} is in term ${term}`)
  }

  handleProgress (): void {
    this.advanceCommit()
  }

  /** Milliseconds for which the write in progress of this replica has lasted, if the others have committed entries without it; else 0. */
  get stalledWriteMs (): number {
    const { log, commitIndex } = this.host
    return commitIndex > log.durableIndex ? log.writeInProgressMs : 0
  }

  /** Resolves the proposal of an applied entry. */
  handleApplied (entry: logEntry.LogEntry, result: replicatedState.ApplyResult): void {
    this.pendingByIndex.get(entry.index)?.resolve(result)
    this.pendingByIndex.delete(entry.index)
  }

  /**
   * Admits a replica, first as a learner, replacing any member with the same address,
   * then as a voter once it holds the complete log durably.
   */
  async admit (joining: inner.Replica, maxReplicas: number): Promise<void> {
    const known = this.memberById(joining.id)
    if (known?.voter === true || this.admittingIds.has(joining.id)) return
    this.admittingIds.add(joining.id)
    try {
      if (known === undefined) await this.addLearner(joining, maxReplicas)
      await this.waitForCatchUp(joining.id)
      await this.changeMembership(`${joining.id} has caught up with the log`, (replicas) =>
        replicas.map((replica) => replica.id === joining.id ? { ...replica, voter: true } : replica))
    } finally {
      this.admittingIds.delete(joining.id)
    }
  }

  /** Returns the voters that responded to no message sent in the last `unresponsiveMs`, longest unresponsive first. */
  findUnresponsiveVoters (unresponsiveMs: number): readonly string[] {
    const since = performance.now() - unresponsiveMs
    return quorum.votersOf(this.host.log.membership)
      .map(({ id }) => ({ id, ackedAt: this.lastAckedSendAt(id) }))
      .filter(({ ackedAt }) => ackedAt < since)
      .sort((a, b) => a.ackedAt - b.ackedAt)
      .map(({ id }) => id)
  }

  /** Removes a replica from the membership. */
  async remove (replicaId: string, why = 'removed by an operator'): Promise<void> {
    if (this.memberById(replicaId) === undefined) {
      throw new errors.RackError({ kind: 'not-found', message: `no control replica ${replicaId}` })
    }
    await this.changeMembership(why, (replicas) => replicas.filter((replica) => replica.id !== replicaId))
    if (replicaId === this.host.replicaId) this.host.stepDown(this.term, 'removed from the membership')
  }

  private async addLearner (joining: inner.Replica, maxReplicas: number): Promise<void> {
    await this.changeMembership(`new replica at ${joining.address}`, (replicas) => {
      const others = replicas.filter((replica) => replica.address !== joining.address)
      if (others.length >= maxReplicas) {
        throw new errors.RackError({ kind: 'bad-request', message: `the control group already has ${maxReplicas} replicas; remove one first` })
      }
      return [...others, { ...joining, voter: false }]
    })
  }

  /** Resolves once a replica holds all entries that the log has now; throws `no-quorum` after a timeout. */
  private async waitForCatchUp (replicaId: string): Promise<void> {
    const deadline = performance.now() + catchUpTimeoutMs
    const requiredIndex = this.host.log.last.index
    while (!this.disposed && performance.now() < deadline) {
      const peer = this.peers.get(replicaId)
      if (peer !== undefined && peer.matchIndex >= requiredIndex) return
      await this.progressSignal.wait(this.host.heartbeatMs)
    }
    throw new errors.RackError({ kind: 'no-quorum', message: `replica ${replicaId} did not catch up` })
  }

  /** Commits one membership change at a time, so that the majorities before and after each change always share a voter. */
  private async changeMembership (why: string, change: (replicas: readonly inner.Replica[]) => readonly inner.Replica[]): Promise<void> {
    await this.membershipChanges.run(async () => {
      await this.readIndex()
      if (this.host.log.membershipIndex > this.host.commitIndex) {
        throw new errors.RackError({ kind: 'no-quorum', message: 'an earlier membership change is not committed yet' })
      }
      const replicas = change(this.host.log.membership.replicas)
      const value = protobuf.create(inner.MembershipSchema, { replicas: [...replicas] })
      this.host.decisions.record({ event: 'control-membership', choice: describeMembership(value), why })
      await this.propose({ case: 'membership', value })
    })
  }

  private memberById (replicaId: string): inner.Replica | undefined {
    return this.host.log.membership.replicas.find((replica) => replica.id === replicaId)
  }

  /** Adds the queued proposals to the log in batches, until the queue is empty. */
  private async writeQueue (): Promise<void> {
    if (this.isWriting) return
    this.isWriting = true
    try {
      while (this.queue.length > 0 && !this.disposed) {
        await this.host.lock.run(async () => this.writeBatch())
      }
    } catch (err) {
      this.handleWriteFailure(err)
    } finally {
      this.isWriting = false
    }
  }

  /** Adds a batch to the log. The other replicas receive it while this one writes it, and its disk may be slower than theirs. */
  private writeBatch (): void {
    if (this.disposed) return
    const proposals = this.queue.splice(0, maxEntriesPerBatch)
    const start = this.host.log.last.index + 1
    const entries = proposals.map(({ command }, i) => ({ index: start + i, term: this.term, command }))
    proposals.forEach(({ outcome }, i) => this.pendingByIndex.set(start + i, outcome))
    if (this.firstIndexOfTerm === 0) this.firstIndexOfTerm = start
    this.host.log.extend(entries)
    this.refreshPeers(performance.now())
    this.wakePeers()
    this.host.log.flush().then(() => this.advanceCommit(), (err: unknown) => this.handleWriteFailure(err))
  }

  private handleWriteFailure (err: unknown): void {
    if (!this.disposed) this.host.stepDown(this.term, `the log could not be written: ${errors.messageOf(err)}`)
  }

  /** Commits the entries that a majority holds, if the last of them is of this term. */
  private advanceCommit (): void {
    if (this.disposed) return
    const index = quorum.valueReachedByMajority(this.host.log.membership, (id) => this.matchIndex(id))
    const isOwnTerm = this.host.log.termAt(index) === this.term
    if (index > this.host.commitIndex && isOwnTerm) {
      this.host.commit(index)
      this.wakePeers()
    }
    this.progressSignal.notify()
  }

  private matchIndex (replicaId: string): number {
    return replicaId === this.host.replicaId ? this.host.log.durableIndex : this.peers.get(replicaId)?.matchIndex ?? 0
  }

  private lastAckedSendAt (replicaId: string): number {
    return replicaId === this.host.replicaId ? Infinity : this.peers.get(replicaId)?.lastAckedSendAt ?? 0
  }

  /** Starts a replication task for each new member and stops those of removed members. */
  private refreshPeers (now: number): void {
    const members = this.host.log.membership.replicas.filter((replica) => replica.id !== this.host.replicaId)
    const ids = new Set(members.map((replica) => replica.id))
    for (const [id, peer] of this.peers) {
      if (ids.has(id)) continue
      peer.dispose()
      this.peers.delete(id)
    }
    for (const replica of members) {
      if (this.peers.has(replica.id)) continue
      const peer = new peerReplication.PeerReplication(this.host, this, replica, now)
      this.peers.set(replica.id, peer)
      peer.start()
    }
  }

  private wakePeers (): void {
    for (const peer of this.peers.values()) peer.wake()
  }
}

function notLeaderError (): errors.RackError {
  return new errors.RackError({ kind: 'not-leader', message: 'this replica is not the leader; nothing was written' })
}

function describeMembership (membership: inner.Membership): string {
  return membership.replicas.map((replica) => `${replica.id}@${replica.address}${replica.voter ? '' : ' (learner)'}`).join(', ')
}

function commitTimeoutError (): errors.RackError {
  return new errors.RackError({
    kind: 'unknown',
    timedOut: true,
    message: `not committed by a quorum within ${commitTimeoutMs} ms; resend with the same id`
  })
}
