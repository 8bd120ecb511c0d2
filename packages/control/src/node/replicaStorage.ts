/** Durable state of a control replica: its id, term and vote, the log, and a snapshot. */
import * as crypto from 'node:crypto'
import * as path from 'node:path'
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as logEntry from '../common/logEntry.js'
import type * as diskTiming from './diskTiming.js'
import * as durableFile from './durableFile.js'
import * as fileSystem from './fileSystem.js'
import * as recordFile from './recordFile.js'

const metaFile = 'replica'
const logFile = 'log'
const snapshotFile = 'snapshot'
const replicaIdBytes = 8
const diskFullCode = 'ENOSPC'
/** Delay before a write that failed on a full disk is retried; the group takes about as long to elect another leader. */
const diskFullRetryMs = 250

/** The content of a data folder. */
export interface StoredReplica {
  readonly meta: inner.ReplicaMeta
  readonly snapshot: inner.Snapshot | undefined
  readonly entries: readonly logEntry.LogEntry[]
}

/**
 * Storage of one replica. Each call resolves once its data is synced; a failed call leaves the storage unusable. While the disk
 * is full a call stays pending and none of its data counts as written.
 */
export interface IReplicaStorage extends lifecycle.IDisposable {
  /** True while a write waits for disk space. */
  readonly isDiskFull: boolean
  /** Fires true when a write fails on a full disk, and false when a write succeeds again. */
  readonly onDiskFullChanged: event.Event<boolean>
  load(): Promise<StoredReplica>
  saveMeta(meta: inner.ReplicaMeta): Promise<void>
  append(entries: readonly logEntry.LogEntry[]): Promise<void>
  /** Replaces the whole log. */
  rewrite(entries: readonly logEntry.LogEntry[]): Promise<void>
  /** Saves a snapshot, then replaces the log by the entries after it. */
  saveSnapshot(snapshot: inner.Snapshot, entriesAfter: readonly logEntry.LogEntry[]): Promise<void>
}

/** Storage in a data folder. */
export class ReplicaStorage implements IReplicaStorage {
  private logHandle: fileSystem.IFileHandle | undefined
  private currentLogBytes = 0
  private currentSnapshotBytes = 0
  /** Writes that wait for disk space; votes and log entries are written independently. */
  private waitingWriteCount = 0
  private disposed = false
  private readonly diskFullEmitter = new event.Emitter<boolean>()
  readonly onDiskFullChanged = this.diskFullEmitter.event

  /** @param onFailure called when the disk fails, after which its content is unknown. */
  constructor (
    private readonly folder: string,
    private readonly cluster: string,
    private readonly onFailure: (err: Error) => void,
    private readonly fs = fileSystem.machineFileSystem,
    private readonly timing?: diskTiming.DiskTiming
  ) {}

  /** Size of the log file. */
  get logBytes (): number {
    return this.currentLogBytes
  }

  /** Size of the snapshot file; 0 when there is none. */
  get snapshotBytes (): number {
    return this.currentSnapshotBytes
  }

  get isDiskFull (): boolean {
    return this.waitingWriteCount > 0
  }

  async load (): Promise<StoredReplica> {
    await this.fs.mkdir(this.folder, { recursive: true })
    await durableFile.syncFolder(path.dirname(path.resolve(this.folder)), this.fs)
    const meta = await this.loadMeta()
    const snapshot = await this.loadSnapshot()
    const entries = await this.loadLog(Number(snapshot?.index ?? 0n))
    await this.openLog()
    // Syncs entries that the previous process wrote but had not synced when it was killed.
    await this.runWrite('load', async () => await this.logHandle!.datasync())
    return { meta, snapshot, entries }
  }

  async saveMeta (meta: inner.ReplicaMeta): Promise<void> {
    const record = recordFile.frameRecord(protobuf.toBinary(inner.ReplicaMetaSchema, meta))
    await this.runWrite('meta', async () => await durableFile.replaceFile(this.filePath(metaFile), record, this.fs))
  }

  async append (entries: readonly logEntry.LogEntry[]): Promise<void> {
    const record = recordFile.frameRecord(logEntry.encodeBatch(entries))
    await this.runWrite('append', async () => {
      await this.logHandle!.appendFile(record)
      await this.logHandle!.datasync()
    }, async () => await this.logHandle!.truncate(this.currentLogBytes))
    this.currentLogBytes += record.length
  }

  async rewrite (entries: readonly logEntry.LogEntry[]): Promise<void> {
    const record = entries.length === 0 ? Buffer.alloc(0) : recordFile.frameRecord(logEntry.encodeBatch(entries))
    await this.runWrite('rewrite', async () => {
      await durableFile.replaceFile(this.filePath(logFile), record, this.fs)
      await this.openLog()
    })
  }

  async saveSnapshot (snapshot: inner.Snapshot, entriesAfter: readonly logEntry.LogEntry[]): Promise<void> {
    const record = recordFile.frameRecord(protobuf.toBinary(inner.SnapshotSchema, snapshot))
    await this.runWrite('snapshot', async () => await durableFile.replaceFile(this.filePath(snapshotFile), record, this.fs))
    this.currentSnapshotBytes = record.length
    await this.rewrite(entriesAfter)
  }

  dispose (): void {
    this.disposed = true
    this.diskFullEmitter.dispose()
    this.logHandle?.close()
  }

  private async loadMeta (): Promise<inner.ReplicaMeta> {
    const data = await durableFile.readIfExists(this.filePath(metaFile), this.fs)
    if (data === undefined) return await this.createMeta()
    const meta = protobuf.fromBinary(inner.ReplicaMetaSchema, this.readSingleRecord(metaFile, data))
    if (meta.cluster === this.cluster) return meta
    throw new errors.RackError({ kind: 'wrong-cluster', message: `${this.folder} belongs to cluster ${meta.cluster}, not ${this.cluster}` })
  }

  /** Creates a random id for each new folder: a replica that lost its disk returns as a different replica. */
  private async createMeta (): Promise<inner.ReplicaMeta> {
    await this.requireNoOrphanedFiles()
    const meta = protobuf.create(inner.ReplicaMetaSchema, {
      replicaId: crypto.randomBytes(replicaIdBytes).toString('hex'),
      cluster: this.cluster
    })
    await this.saveMeta(meta)
    return meta
  }

  /** Throws when there is a log or a snapshot but no id. */
  private async requireNoOrphanedFiles (): Promise<void> {
    for (const name of [logFile, snapshotFile]) {
      if (await durableFile.readIfExists(this.filePath(name), this.fs) === undefined) continue
      throw corruptRecordError(`${this.folder} holds the file "${name}" but no replica id`)
    }
  }

  private async loadSnapshot (): Promise<inner.Snapshot | undefined> {
    const data = await durableFile.readIfExists(this.filePath(snapshotFile), this.fs)
    if (data === undefined) return undefined
    this.currentSnapshotBytes = data.length
    return protobuf.fromBinary(inner.SnapshotSchema, this.readSingleRecord(snapshotFile, data))
  }

  /** Returns the only record of a file that is always replaced as a whole. Such a file is never partly written, so any damage is corruption. */
  private readSingleRecord (name: string, data: Buffer): Uint8Array {
    const [payload] = recordFile.scanRecords(this.filePath(name), data).payloads
    if (payload === undefined) throw corruptRecordError(`${this.filePath(name)} is damaged`)
    return payload
  }

  private async loadLog (snapshotIndex: number): Promise<readonly logEntry.LogEntry[]> {
    const data = await durableFile.readIfExists(this.filePath(logFile), this.fs) ?? Buffer.alloc(0)
    const scan = recordFile.scanRecords(this.filePath(logFile), data)
    // Removes a record at the end that was only partly written.
    if (scan.intactBytes < data.length) await this.truncateLog(scan.intactBytes)
    const entries = scan.payloads.flatMap(logEntry.decodeBatch).filter((entry) => entry.index > snapshotIndex)
    this.checkSequence(entries, snapshotIndex)
    return entries
  }

  private checkSequence (entries: readonly logEntry.LogEntry[], snapshotIndex: number): void {
    entries.forEach((entry, i) => {
      const expected = snapshotIndex + 1 + i
      if (entry.index !== expected) throw corruptRecordError(`${this.filePath(logFile)} has entry ${entry.index} where entry ${expected} is expected`)
    })
  }

  private async truncateLog (bytes: number): Promise<void> {
    await this.runWrite('load', async () => {
      const handle = await this.fs.open(this.filePath(logFile), 'r+')
      await handle.truncate(bytes)
      await handle.sync()
      await handle.close()
    })
  }

  private async openLog (): Promise<void> {
    await this.logHandle?.close()
    this.logHandle = await this.fs.open(this.filePath(logFile), 'a')
    this.currentLogBytes = (await this.logHandle.stat()).size
    await durableFile.syncFolder(this.folder, this.fs)
  }

  /**
   * Runs a write and repeats it while the disk is full.
   * @param undo removes the partial data of a write that failed on a full disk; files that are replaced as a whole need none.
   */
  private async runWrite (kind: diskTiming.WriteKind, write: () => Promise<void>, undo: () => Promise<void> = async () => {}): Promise<void> {
    let isWaiting = false
    try {
      while (!await this.tryWrite(kind, write)) {
        if (!isWaiting) this.changeWaitingWrites(1)
        isWaiting = true
        await async.sleep(diskFullRetryMs)
        // The process is stopping: the call must fail, since its data was not synced.
        if (this.disposed) throw new Error('the disk was still full when the process stopped')
        await undo()
      }
    } catch (err) {
      if (!this.disposed) this.onFailure(err as Error)
      throw new errors.RackError({ kind: 'disk-failure', message: `${this.folder}: ${errors.messageOf(err)}` })
    }
    if (isWaiting) this.changeWaitingWrites(-1)
  }

  /** Runs a write; returns false when the disk was full. */
  private async tryWrite (kind: diskTiming.WriteKind, write: () => Promise<void>): Promise<boolean> {
    try {
      await (this.timing === undefined ? write() : this.timing.measure(kind, write))
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== diskFullCode) throw err
      return false
    }
    return true
  }

  private changeWaitingWrites (difference: 1 | -1): void {
    const wasFull = this.isDiskFull
    this.waitingWriteCount += difference
    if (this.isDiskFull !== wasFull) this.diskFullEmitter.fire(this.isDiskFull)
  }

  private filePath (name: string): string {
    return path.join(this.folder, name)
  }
}

function corruptRecordError (message: string): errors.RackError {
  return new errors.RackError({ kind: 'corrupt-record', message })
}
