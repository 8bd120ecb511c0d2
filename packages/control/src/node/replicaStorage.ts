/** Durable state of a control replica: identity and vote, log, snapshot. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as logEntry from '../common/logEntry.js'
import * as durableFile from './durableFile.js'
import * as recordFile from './recordFile.js'

const metaFile = 'replica'
const logFile = 'log'
const snapshotFile = 'snapshot'
const replicaIdBytes = 8
const fullCode = 'ENOSPC'
/** Time to the next try of a write that found the disk full, in milliseconds: an election takes about as long. */
const fullRetryMs = 250

/** What a data folder holds. */
export interface StoredReplica {
  readonly meta: inner.ReplicaMeta
  readonly snapshot: inner.Snapshot | undefined
  readonly entries: readonly logEntry.LogEntry[]
}

/**
 * Each call returns once its data is synced; a failed one leaves the storage unusable. While the disk is full a call
 * doesn't return: nothing of it counts yet.
 */
export interface IReplicaStorage extends lifecycle.IDisposable {
  /** True while a write waits for room on the disk. */
  readonly isFull: boolean
  /** Fires when the disk is found full, and when there is room again. */
  readonly onFullChanged: event.Event<boolean>
  load(): Promise<StoredReplica>
  saveMeta(meta: inner.ReplicaMeta): Promise<void>
  append(entries: readonly logEntry.LogEntry[]): Promise<void>
  /** Replaces the whole log. */
  rewrite(entries: readonly logEntry.LogEntry[]): Promise<void>
  /** Saves a snapshot, then replaces the log by the entries after it. */
  saveSnapshot(snapshot: inner.Snapshot, entriesAfter: readonly logEntry.LogEntry[]): Promise<void>
}

/** Storage in one data folder. */
export class ReplicaStorage implements IReplicaStorage {
  private log: fs.FileHandle | undefined
  private logBytes = 0
  private full = false
  private disposed = false
  private readonly fullEmitter = new event.Emitter<boolean>()
  readonly onFullChanged = this.fullEmitter.event

  /** @param onFailure called when the disk fails; what it holds can't be known any more. */
  constructor (
    private readonly folder: string,
    private readonly cluster: string,
    private readonly onFailure: (err: Error) => void
  ) {}

  get isFull (): boolean {
    return this.full
  }

  async load (): Promise<StoredReplica> {
    await fs.mkdir(this.folder, { recursive: true })
    await durableFile.syncFolder(path.dirname(path.resolve(this.folder)))
    const meta = await this.loadMeta()
    const snapshot = await this.loadSnapshot()
    const entries = await this.loadLog(Number(snapshot?.index ?? 0n))
    await this.openLog()
    return { meta, snapshot, entries }
  }

  async saveMeta (meta: inner.ReplicaMeta): Promise<void> {
    const record = recordFile.frameRecord(protobuf.toBinary(inner.ReplicaMetaSchema, meta))
    await this.guard(async () => await durableFile.replaceFile(this.file(metaFile), record))
  }

  async append (entries: readonly logEntry.LogEntry[]): Promise<void> {
    const record = recordFile.frameRecord(logEntry.encodeBatch(entries))
    await this.guard(async () => {
      await this.log!.appendFile(record)
      await this.log!.datasync()
    }, async () => await this.log!.truncate(this.logBytes))
    this.logBytes += record.length
  }

  async rewrite (entries: readonly logEntry.LogEntry[]): Promise<void> {
    const record = entries.length === 0 ? Buffer.alloc(0) : recordFile.frameRecord(logEntry.encodeBatch(entries))
    await this.guard(async () => {
      await durableFile.replaceFile(this.file(logFile), record)
      await this.openLog()
    })
  }

  async saveSnapshot (snapshot: inner.Snapshot, entriesAfter: readonly logEntry.LogEntry[]): Promise<void> {
    const record = recordFile.frameRecord(protobuf.toBinary(inner.SnapshotSchema, snapshot))
    await this.guard(async () => await durableFile.replaceFile(this.file(snapshotFile), record))
    await this.rewrite(entriesAfter)
  }

  dispose (): void {
    this.disposed = true
    this.fullEmitter.dispose()
    this.log?.close()
  }

  private async loadMeta (): Promise<inner.ReplicaMeta> {
    const data = await durableFile.readIfExists(this.file(metaFile))
    if (data === undefined) return await this.createMeta()
    const meta = protobuf.fromBinary(inner.ReplicaMetaSchema, this.singleRecord(metaFile, data))
    if (meta.cluster === this.cluster) return meta
    throw new errors.RackError({ kind: 'wrong-cluster', message: `${this.folder} belongs to cluster ${meta.cluster}, not ${this.cluster}` })
  }

  /** An id of its own for each folder: a replica that lost its disk comes back as another one. */
  private async createMeta (): Promise<inner.ReplicaMeta> {
    await this.refuseOrphanedFiles()
    const meta = protobuf.create(inner.ReplicaMetaSchema, {
      replicaId: crypto.randomBytes(replicaIdBytes).toString('hex'),
      cluster: this.cluster
    })
    await this.saveMeta(meta)
    return meta
  }

  private async refuseOrphanedFiles (): Promise<void> {
    for (const name of [logFile, snapshotFile]) {
      if (await durableFile.readIfExists(this.file(name)) === undefined) continue
      throw corrupt(`${this.folder} holds the file "${name}" but no replica id`)
    }
  }

  private async loadSnapshot (): Promise<inner.Snapshot | undefined> {
    const data = await durableFile.readIfExists(this.file(snapshotFile))
    if (data === undefined) return undefined
    return protobuf.fromBinary(inner.SnapshotSchema, this.singleRecord(snapshotFile, data))
  }

  /** These files are replaced whole, so any damage is more than a torn write. */
  private singleRecord (name: string, data: Buffer): Uint8Array {
    const [payload] = recordFile.scanRecords(this.file(name), data).payloads
    if (payload === undefined) throw corrupt(`${this.file(name)} is damaged`)
    return payload
  }

  private async loadLog (snapshotIndex: number): Promise<readonly logEntry.LogEntry[]> {
    const data = await durableFile.readIfExists(this.file(logFile)) ?? Buffer.alloc(0)
    const scan = recordFile.scanRecords(this.file(logFile), data)
    if (scan.wholeBytes < data.length) await this.cutLog(scan.wholeBytes)
    const entries = scan.payloads.flatMap(logEntry.decodeBatch).filter((entry) => entry.index > snapshotIndex)
    this.checkSequence(entries, snapshotIndex)
    return entries
  }

  private checkSequence (entries: readonly logEntry.LogEntry[], snapshotIndex: number): void {
    entries.forEach((entry, i) => {
      const expected = snapshotIndex + 1 + i
      if (entry.index !== expected) throw corrupt(`${this.file(logFile)} has entry ${entry.index} in the place of ${expected}`)
    })
  }

  private async cutLog (bytes: number): Promise<void> {
    await this.guard(async () => {
      const handle = await fs.open(this.file(logFile), 'r+')
      await handle.truncate(bytes)
      await handle.sync()
      await handle.close()
    })
  }

  private async openLog (): Promise<void> {
    await this.log?.close()
    this.log = await fs.open(this.file(logFile), 'a')
    this.logBytes = (await this.log.stat()).size
    await durableFile.syncFolder(this.folder)
  }

  /** @param undo removes what a write left that found the disk full; files that are replaced whole need none. */
  private async guard (write: () => Promise<void>, undo: () => Promise<void> = async () => {}): Promise<void> {
    try {
      while (!await this.hadRoom(write)) {
        await async.sleep(fullRetryMs)
        // The process stops: the call must not look as if its data were synced.
        if (this.disposed) throw new Error('no room on the disk until the end')
        await undo()
      }
    } catch (err) {
      if (!this.disposed) this.onFailure(err as Error)
      throw new errors.RackError({ kind: 'disk-failure', message: `${this.folder}: ${errors.messageOf(err)}` })
    }
  }

  private async hadRoom (write: () => Promise<void>): Promise<boolean> {
    try {
      await write()
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== fullCode) throw err
      this.setFull(true)
      return false
    }
    this.setFull(false)
    return true
  }

  private setFull (full: boolean): void {
    if (this.full === full) return
    this.full = full
    this.fullEmitter.fire(full)
  }

  private file (name: string): string {
    return path.join(this.folder, name)
  }
}

function corrupt (message: string): errors.RackError {
  return new errors.RackError({ kind: 'corrupt-record', message })
}
