/** Replication from the leader to one other replica: heartbeats, and the entries or the snapshot that it lacks. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as logEntry from '../common/logEntry.js'
import * as appendChannel from './appendChannel.js'
import type * as messageFailure from './messageFailure.js'
import * as partSender from './partSender.js'
import type * as replicaLinks from './replicaLinks.js'
import type * as replicaLog from './replicaLog.js'
import type * as replicaMonitor from './replicaMonitor.js'
import type * as replicationStatus from './replicationStatus.js'

const maxEntriesPerMessage = 200
/** Timeout of an append or a whole snapshot, whose response waits for the peer's disk. Heartbeats detect a dead connection earlier. */
const writeTimeoutMs = 30_000
const idleCheckMs = 1000
/** Time for the first heartbeat on a new connection, in election timeouts, before another connection is tried. */
const firstResponseTimeoutFactor = 5

/** The parts of the leading replica that replication uses. */
export interface IReplicationHost {
  readonly replicaId: string
  readonly log: replicaLog.ReplicaLog
  readonly links: replicaLinks.ReplicaLinks
  readonly monitor: replicaMonitor.ReplicaMonitor
  readonly commitIndex: number
  readonly electionTimeoutMs: number
  readonly heartbeatMs: number
}

/** The leadership that a replication belongs to. */
export interface IReplicatingLeadership {
  readonly term: number
  /** Time of the newest read that waits for heartbeats sent after it. */
  readonly readRequestedAt: number
  /** Handles a response with a higher term. */
  handleHigherTerm(term: number, replicaId: string): void
  /** Handles a response, or a higher `matchIndex`. */
  handleProgress(): void
}

/** Keeps one replica up to date until disposed. */
export class PeerReplication implements lifecycle.IDisposable {
  private readonly stopped = new AbortController()
  private readonly wakeHeartbeat = new async.Signal()
  private readonly wakeEntries = new async.Signal()
  private readonly link: replicaLinks.ReplicaLink
  private readonly heartbeats: appendChannel.AppendChannel
  private readonly appends: appendChannel.AppendChannel
  private readonly parts: partSender.PartSender
  private nextIndex: number
  private durableIndex = 0
  private hasMatched = false
  private ackedSendAt: number
  /** Send time of the message whose response is awaited; undefined while there is none. */
  private pendingSince: number | undefined
  /** Snapshot that is being sent; a newer one doesn't replace it before the replica has it. */
  private snapshotInTransfer: inner.Snapshot | undefined

  constructor (private readonly host: IReplicationHost, private readonly leadership: IReplicatingLeadership, readonly replica: inner.Replica, now: number) {
    this.link = host.links.linkTo(replica.address)
    this.heartbeats = new appendChannel.AppendChannel(host.links.linkTo(replica.address, 'heartbeats'), host.electionTimeoutMs * firstResponseTimeoutFactor)
    this.appends = new appendChannel.AppendChannel(this.link)
    this.parts = new partSender.PartSender(this.link, { term: leadership.term, leaderId: host.replicaId, toReplicaId: replica.id }, () => { this.pendingSince = performance.now() })
    this.nextIndex = host.log.last.index + 1
    this.ackedSendAt = now
  }

  private get status (): replicationStatus.ReplicationStatus {
    return this.host.monitor.replication
  }

  /** Index of the last entry that the replica is known to hold durably. */
  get matchIndex (): number {
    return this.durableIndex
  }

  /** Send time of the newest message that the replica acknowledged. */
  get lastAckedSendAt (): number {
    return this.ackedSendAt
  }

  /** Starts the tasks. */
  start (): void {
    this.keepAlive()
    this.keepUpToDate()
  }

  /** Sends new entries, the commit index and a confirmation of reads without delay. */
  wake (): void {
    this.wakeHeartbeat.notify()
    this.wakeEntries.notify()
  }

  dispose (): void {
    this.stopped.abort()
    this.heartbeats.dispose()
    this.appends.dispose()
    this.wake()
  }

  // ---- Heartbeats ----

  /** Sends heartbeats, which also carry the commit index; on a connection of their own, so that they never wait behind entries. */
  private async keepAlive (): Promise<void> {
    let failedAt = -Infinity
    while (!this.stopped.signal.aborted) {
      let sentAt: number
      let commitIndex: number
      try {
        const { res, ...answered } = await this.heartbeats.append(this.createHeartbeat(this.host.commitIndex), this.host.electionTimeoutMs)
        sentAt = answered.sentAt
        commitIndex = Number(answered.req.commitIndex)
        if (this.handleResponse('heartbeat', res.term, sentAt) && !res.success) this.handleLostEntries(Number(res.lastIndex))
        this.resetIfStalled(sentAt, failedAt)
      } catch (err) {
        this.recordFailure('heartbeat', err)
        failedAt = performance.now()
        await this.wakeHeartbeat.wait(this.host.heartbeatMs)
        continue
      }
      const isUpToDate = commitIndex === this.host.commitIndex && sentAt >= this.leadership.readRequestedAt
      if (isUpToDate) await this.wakeHeartbeat.wait(this.host.heartbeatMs)
    }
  }

  /** Sends again what the replica held durably and lost, for example with a damaged record at the end of its log. */
  private handleLostEntries (lastIndex: number): void {
    this.durableIndex = Math.min(this.durableIndex, lastIndex)
    this.nextIndex = Math.min(this.nextIndex, lastIndex + 1)
    this.hasMatched = false
    this.wakeEntries.notify()
  }

  /** Creates a message without entries that refers to an entry which the replica holds durably. */
  private createHeartbeat (commitIndex: number): inner.AppendReq {
    const prevTerm = this.host.log.termAt(this.matchIndex)
    const prevIndex = prevTerm === undefined ? 0 : this.matchIndex
    return this.createAppend(prevIndex, prevTerm ?? 0, commitIndex, [])
  }

  /**
   * Closes the connection for entries if the response that was awaited when a heartbeat failed is overdue: the replica may have
   * been started again, or the connection may be dead although a new one for heartbeats works.
   */
  private resetIfStalled (now: number, heartbeatFailedAt: number): void {
    const { pendingSince } = this
    if (pendingSince === undefined || pendingSince > heartbeatFailedAt || now - pendingSince <= this.host.electionTimeoutMs) return
    this.appends.close()
    this.link.reset()
  }

  // ---- Entries and snapshots ----

  /** Sends what the replica lacks. */
  private async keepUpToDate (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      const prevTerm = this.host.log.termAt(this.nextIndex - 1)
      const what = prevTerm === undefined ? 'snapshot' : 'append'
      const sentAt = performance.now()
      this.pendingSince = sentAt
      try {
        if (prevTerm === undefined) await this.sendSnapshot(sentAt)
        else await this.sendEntries(prevTerm, sentAt)
      } catch (err) {
        this.recordFailure(what, err)
        await this.wakeEntries.wait(this.host.heartbeatMs)
      }
      this.pendingSince = undefined
      while (!this.stopped.signal.aborted && this.isUpToDate) await this.wakeEntries.wait(idleCheckMs)
    }
  }

  private get isUpToDate (): boolean {
    return this.hasMatched && this.nextIndex > this.host.log.last.index
  }

  private async sendEntries (prevTerm: number, sentAt: number): Promise<void> {
    const prevIndex = this.nextIndex - 1
    const entries = this.host.log.entriesFrom(this.nextIndex, maxEntriesPerMessage, partSender.maxWholeMessageBytes)
    this.status.recordSent(this.replica.id, 'append', entries.reduce((bytes, entry) => bytes + logEntry.sizeOf(entry), 0))
    const res = await this.sendAppend(this.createAppend(prevIndex, prevTerm, this.host.commitIndex, entries))
    if (!this.handleResponse('append', res.term, sentAt)) return
    if (res.success) this.setMatchIndex(Number(res.lastIndex))
    else this.nextIndex = Math.max(1, Math.min(prevIndex, Number(res.lastIndex) + 1))
  }

  private async sendAppend (req: inner.AppendReq): Promise<inner.AppendRes> {
    const [first] = req.entries
    const sendWhole = async (): Promise<inner.AppendRes> => (await this.appends.append(req, writeTimeoutMs)).res
    const isLarge = first !== undefined && logEntry.sizeOf(logEntry.decodeEntry(first)) > partSender.maxWholeMessageBytes
    return isLarge ? await this.parts.sendAppend(`entry ${first.index}`, req, sendWhole) : await sendWhole()
  }

  private async sendSnapshot (sentAt: number): Promise<void> {
    const snapshot = this.snapshotInTransfer ?? this.host.log.snapshot
    this.snapshotInTransfer = snapshot
    if (snapshot === undefined) {
      this.nextIndex = 1
      return
    }
    const req = protobuf.create(inner.InstallSnapshotReqSchema, {
      term: this.leadership.term,
      leaderId: this.host.replicaId,
      snapshot,
      toReplicaId: this.replica.id
    })
    const sendWhole = async (): Promise<inner.InstallSnapshotRes> =>
      await this.link.call(async (client, options) => await client.installSnapshot(req, options), writeTimeoutMs)
    this.status.recordSent(this.replica.id, 'snapshot', snapshot.documentJson.length + snapshot.extensionsJson.length + snapshot.source.length)
    const res = await this.parts.sendSnapshot(`snapshot ${snapshot.index}`, req, sendWhole)
    this.snapshotInTransfer = undefined
    if (this.handleResponse('snapshot', res.term, sentAt)) this.setMatchIndex(Number(snapshot.index))
  }

  private createAppend (prevIndex: number, prevTerm: number, commitIndex: number, entries: readonly logEntry.LogEntry[]): inner.AppendReq {
    return protobuf.create(inner.AppendReqSchema, {
      term: this.leadership.term,
      leaderId: this.host.replicaId,
      prevIndex: BigInt(prevIndex),
      prevTerm,
      commitIndex: BigInt(commitIndex),
      entries: entries.map(logEntry.encodeEntry),
      toReplicaId: this.replica.id
    })
  }

  /** Returns false if the leadership has ended, or ends now because the response has a newer term. */
  private handleResponse (what: messageFailure.MessageKind, term: number, sentAt: number): boolean {
    if (this.stopped.signal.aborted) return false
    if (term > this.leadership.term) {
      this.status.recordFailureReason(this.replica.id, what, { reason: 'higher-term', why: `replica ${this.replica.id} is in term ${term}` })
      this.leadership.handleHigherTerm(term, this.replica.id)
      return false
    }
    this.status.recordAcknowledged(this.replica.id, what)
    this.recordProgress()
    this.ackedSendAt = Math.max(this.ackedSendAt, sentAt)
    this.leadership.handleProgress()
    return true
  }

  private setMatchIndex (index: number): void {
    this.hasMatched = true
    this.nextIndex = index + 1
    this.durableIndex = Math.max(this.durableIndex, index)
    this.recordProgress()
    this.leadership.handleProgress()
  }

  private recordFailure (what: messageFailure.MessageKind, err: unknown): void {
    if (this.stopped.signal.aborted) return
    this.status.recordFailure(this.replica.id, what, err)
    this.recordProgress()
  }

  private recordProgress (): void {
    const { log } = this.host
    this.status.recordProgress(this.replica.id, this.matchIndex, log.last.index, log.bytesFrom(this.matchIndex + 1))
  }
}
