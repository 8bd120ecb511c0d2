/** Stand-in for a control replica of an earlier build, which knows neither messages in parts nor the fields and calls that came with them. */
import * as protobuf from '@bufbuild/protobuf'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

const maxEntriesPerMessage = 200
const responseTimeoutMs = 400
const heartbeatMs = 100

/** The calls that an earlier replica makes as leader. */
export interface IFollower {
  append(req: inner.AppendReq): Promise<inner.AppendRes>
  installSnapshot(req: inner.InstallSnapshotReq): Promise<inner.InstallSnapshotRes>
}

/** Votes, follows and leads with one message at a time and one disk write at a time. */
export class EarlierReplica {
  private readonly lock = new async.Sequencer()
  private term = 0
  private votedFor = ''
  private entries: inner.LogEntry[] = []
  private isStopped = false
  snapshot: inner.Snapshot | undefined
  leaderId = ''
  commitIndex = 0

  constructor (readonly id: string, private readonly syncMs: number, snapshot?: inner.Snapshot) {
    this.snapshot = snapshot
    this.commitIndex = this.snapshotIndex
  }

  get lastIndex (): number {
    return this.snapshotIndex + this.entries.length
  }

  dispose (): void {
    this.isStopped = true
  }

  async vote (req: inner.VoteReq): Promise<inner.VoteRes> {
    return await this.lock.run(async () => {
      const isUpToDate = req.lastTerm > this.termAt(this.lastIndex)! || (req.lastTerm === this.termAt(this.lastIndex) && Number(req.lastIndex) >= this.lastIndex)
      if (req.preVote) return protobuf.create(inner.VoteResSchema, { term: this.term, granted: isUpToDate && req.term > this.term })
      const canVote = req.term > this.term || (req.term === this.term && (this.votedFor === '' || this.votedFor === req.candidateId))
      if (!canVote || !isUpToDate) return protobuf.create(inner.VoteResSchema, { term: this.term, granted: false })
      await async.sleep(this.syncMs)
      this.term = req.term
      this.votedFor = req.candidateId
      return protobuf.create(inner.VoteResSchema, { term: this.term, granted: true })
    })
  }

  async append (req: inner.AppendReq): Promise<inner.AppendRes> {
    return await this.lock.run(async () => {
      if (req.term < this.term) return this.createAppendRes(false, 0)
      await this.follow(req.term, req.leaderId)
      const prevIndex = Number(req.prevIndex)
      if (prevIndex >= this.snapshotIndex && this.termAt(prevIndex) !== req.prevTerm) return this.createAppendRes(false, Math.min(this.lastIndex, prevIndex - 1))
      const firstNew = req.entries.findIndex((entry) => Number(entry.index) > this.snapshotIndex && this.termAt(Number(entry.index)) !== entry.term)
      if (firstNew >= 0) {
        const added = req.entries.slice(firstNew)
        this.entries = [...this.entries.slice(0, Number(added[0]!.index) - this.snapshotIndex - 1), ...added]
        await async.sleep(this.syncMs)
      }
      const lastIndex = prevIndex + req.entries.length
      this.commitIndex = Math.max(this.commitIndex, Math.min(Number(req.commitIndex), lastIndex))
      return this.createAppendRes(true, lastIndex)
    })
  }

  async installSnapshot (req: inner.InstallSnapshotReq): Promise<inner.InstallSnapshotRes> {
    return await this.lock.run(async () => {
      if (req.term >= this.term && Number(req.snapshot!.index) > this.commitIndex) {
        await this.follow(req.term, req.leaderId)
        await async.sleep(this.syncMs)
        this.snapshot = req.snapshot
        this.entries = []
        this.commitIndex = this.snapshotIndex
      }
      return protobuf.create(inner.InstallSnapshotResSchema, { term: this.term })
    })
  }

  /** Returns the sources of the configurations in the log, in their order. */
  get sources (): readonly string[] {
    return this.entries.flatMap(({ command }) => command.case === 'put' ? command.value.source : [])
  }

  /** Adds an entry as leader. */
  add (term: number, command: inner.LogEntry['command']): void {
    this.term = term
    this.entries.push(protobuf.create(inner.LogEntrySchema, { index: BigInt(this.lastIndex + 1), term, command }))
  }

  /**
   * Sends one follower what it lacks, as leader, until disposed. Entries, heartbeats and confirmations of reads are the same messages.
   * @param onMatch called with each index that the follower states to hold durably.
   */
  async keepSending (toReplicaId: string, follower: IFollower, onMatch: (index: number) => void): Promise<void> {
    let nextIndex = this.lastIndex + 1
    while (!this.isStopped) {
      try {
        nextIndex = await async.withTimeout(this.sendTo(toReplicaId, follower, nextIndex, onMatch), responseTimeoutMs, noResponse)
        if (nextIndex > this.lastIndex) await async.sleep(heartbeatMs)
      } catch {
        await async.sleep(heartbeatMs)
      }
    }
  }

  private async sendTo (toReplicaId: string, follower: IFollower, nextIndex: number, onMatch: (index: number) => void): Promise<number> {
    const sender = { term: this.term, leaderId: this.id, toReplicaId }
    const prevIndex = nextIndex - 1
    const prevTerm = this.termAt(prevIndex)
    if (prevTerm === undefined) {
      await follower.installSnapshot(protobuf.create(inner.InstallSnapshotReqSchema, { ...sender, snapshot: this.snapshot! }))
      onMatch(this.snapshotIndex)
      return this.snapshotIndex + 1
    }
    const start = nextIndex - this.snapshotIndex - 1
    const entries = this.entries.slice(start, start + maxEntriesPerMessage)
    const req = { ...sender, prevIndex: BigInt(prevIndex), prevTerm, commitIndex: BigInt(this.commitIndex), entries }
    const res = await follower.append(protobuf.create(inner.AppendReqSchema, req))
    if (!res.success) return Math.max(1, Math.min(prevIndex, Number(res.lastIndex) + 1))
    onMatch(Number(res.lastIndex))
    return Number(res.lastIndex) + 1
  }

  private get snapshotIndex (): number {
    return Number(this.snapshot?.index ?? 0)
  }

  private termAt (index: number): number | undefined {
    return index === this.snapshotIndex ? this.snapshot?.term ?? 0 : this.entries[index - this.snapshotIndex - 1]?.term
  }

  private async follow (term: number, leaderId: string): Promise<void> {
    this.leaderId = leaderId
    if (term === this.term) return
    await async.sleep(this.syncMs)
    this.term = term
    this.votedFor = ''
  }

  private createAppendRes (success: boolean, lastIndex: number): inner.AppendRes {
    return protobuf.create(inner.AppendResSchema, { term: this.term, success, lastIndex: BigInt(Math.max(0, lastIndex)) })
  }
}

function noResponse (): errors.RackError {
  return new errors.RackError({ kind: 'unreachable', message: 'no response in time' })
}
