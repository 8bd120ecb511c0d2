/** A simulated disk with a voter's term and vote, whose writes take the time of a sync and end with the process. */
import * as protobuf from '@bufbuild/protobuf'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as replicaStorage from '../node/replicaStorage.js'

/** What a disk holds at first, and how slow it is. */
export interface DiskOptions {
  readonly meta: Partial<Pick<inner.ReplicaMeta, 'replicaId' | 'term' | 'votedFor'>>
  readonly snapshot: inner.Snapshot
  /** Time of a write with its sync. */
  readonly syncMs: number
}

/** Outlives the processes of its voter. */
export class VoterDisk {
  meta: inner.ReplicaMeta
  private stall: async.Deferred<void> | undefined

  constructor (readonly options: DiskOptions) {
    this.meta = protobuf.create(inner.ReplicaMetaSchema, { cluster: 'c', founded: true, ...options.meta })
  }

  /** Sets whether writes stay pending. */
  setStalled (isStalled: boolean): void {
    this.stall?.resolve()
    this.stall = isStalled ? new async.Deferred() : undefined
  }

  async sync (): Promise<void> {
    await async.sleep(this.options.syncMs)
    await this.stall?.promise
  }
}

/** Storage of one process. A kill during a write leaves either the old or the new term and vote. */
export class VoterStorage implements replicaStorage.IReplicaStorage {
  readonly isDiskFull = false
  private writing: inner.ReplicaMeta | undefined
  isKilled = false
  /** Rejects when the process is killed. */
  readonly whenKilled = new async.Deferred<never>()

  constructor (private readonly disk: VoterDisk) {
    this.whenKilled.promise.catch(() => {})
  }

  get isWritingVote (): boolean {
    return this.writing !== undefined
  }

  onDiskFullChanged (): { dispose: () => void } {
    return { dispose: () => {} }
  }

  async load (): Promise<replicaStorage.StoredReplica> {
    return { meta: this.disk.meta, snapshot: this.disk.options.snapshot, entries: [] }
  }

  async saveMeta (meta: inner.ReplicaMeta): Promise<void> {
    this.writing = meta
    await this.sync()
    this.writing = undefined
    this.disk.meta = meta
  }

  async append (): Promise<void> {
    await this.sync()
  }

  async rewrite (): Promise<void> {
    await this.sync()
  }

  async saveSnapshot (): Promise<void> {
    await this.sync()
    await this.rewrite()
  }

  /** Ends the process: its calls stay pending. */
  kill (isWritten: boolean): void {
    this.isKilled = true
    if (isWritten && this.writing !== undefined) this.disk.meta = this.writing
    this.whenKilled.reject(new errors.RackError({ kind: 'unreachable', message: 'the process was killed' }))
  }

  dispose (): void {}

  private async sync (): Promise<void> {
    await this.disk.sync()
    if (this.isKilled) await new Promise(() => {})
  }
}
