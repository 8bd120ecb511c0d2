/** The replicated log of one replica: entries after the snapshot, in memory and on disk. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as logEntry from '../common/logEntry.js'
import type * as replicaStorage from './replicaStorage.js'

const emptyMembership: inner.Membership = protobuf.create(inner.MembershipSchema)

/** Index and term of an entry. */
export interface LogPosition {
  readonly index: number
  readonly term: number
}

/**
 * The log in memory, backed by storage; reads also return entries that are not durable yet. Callers must wait for a truncation, or
 * for a snapshot that is not one of the log's own entries, before the next change; not for a flush or a compaction.
 */
export class ReplicaLog {
  private entries: logEntry.LogEntry[] = []
  /** Entries that no write to the storage has taken yet. */
  private unwritten: logEntry.LogEntry[] = []
  private readonly writes = new async.Sequencer()
  private syncedIndex = 0
  private writeStartedAt: number | undefined
  private baseSnapshot: inner.Snapshot | undefined
  private storedSnapshot: inner.Snapshot | undefined
  private currentMembership: inner.Membership = emptyMembership
  private currentMembershipIndex = 0

  constructor (private readonly storage: replicaStorage.IReplicaStorage) {}

  /** Initializes the log from the stored entries and snapshot. */
  load (stored: replicaStorage.StoredReplica): void {
    this.baseSnapshot = stored.snapshot
    this.storedSnapshot = stored.snapshot
    this.entries = [...stored.entries]
    this.syncedIndex = this.last.index
    this.refreshMembership()
  }

  get snapshot (): inner.Snapshot | undefined {
    return this.baseSnapshot
  }

  get snapshotIndex (): number {
    return Number(this.baseSnapshot?.index ?? 0n)
  }

  /** Position of the last entry, or of the snapshot when there are no entries after it. */
  get last (): LogPosition {
    return this.entries.at(-1) ?? { index: this.snapshotIndex, term: this.baseSnapshot?.term ?? 0 }
  }

  /** Index of the last entry that is synced to disk, with all entries before it. */
  get durableIndex (): number {
    return this.syncedIndex
  }

  /** Milliseconds for which the write in progress has lasted; 0 if there is none. */
  get writeInProgressMs (): number {
    return this.writeStartedAt === undefined ? 0 : performance.now() - this.writeStartedAt
  }

  /** The newest membership in the log, committed or not. */
  get membership (): inner.Membership {
    return this.currentMembership
  }

  /** Index of the entry that set the newest membership. */
  get membershipIndex (): number {
    return this.currentMembershipIndex
  }

  /** Returns the term of the entry at an index; undefined when the log doesn't hold it. */
  termAt (index: number): number | undefined {
    if (index === this.snapshotIndex) return this.baseSnapshot?.term ?? 0
    return this.entryAt(index)?.term
  }

  /** Returns the entry at an index; undefined when the log doesn't hold it. */
  entryAt (index: number): logEntry.LogEntry | undefined {
    if (index <= this.snapshotIndex) return undefined
    return this.entries[index - this.snapshotIndex - 1]
  }

  /** Returns the entries from an index on: at most `maxCount`, and no more than `maxBytes` unless the first one alone is larger. */
  entriesFrom (index: number, maxCount: number, maxBytes: number): readonly logEntry.LogEntry[] {
    const start = index - this.snapshotIndex - 1
    const selected: logEntry.LogEntry[] = []
    let bytes = 0
    for (const entry of this.entries.slice(start, start + maxCount)) {
      bytes += logEntry.sizeOf(entry)
      if (selected.length > 0 && bytes > maxBytes) break
      selected.push(entry)
    }
    return selected
  }

  /** Returns the approximate size of the entries from an index on, in bytes. */
  bytesFrom (index: number): number {
    const start = Math.max(0, index - this.snapshotIndex - 1)
    return this.entries.slice(start).reduce((bytes, entry) => bytes + logEntry.sizeOf(entry), 0)
  }

  /** Returns the membership as of an index that the log holds. */
  membershipAt (index: number): inner.Membership {
    return this.findMembership(index).membership
  }

  /** Appends entries in memory; they are durable once a later `flush` has resolved. */
  extend (entries: readonly logEntry.LogEntry[]): void {
    this.entries.push(...entries)
    this.unwritten.push(...entries)
    if (entries.some((entry) => entry.command.case === 'membership')) this.refreshMembership()
  }

  /** Resolves once all entries are durable. Entries that are added while a write is in progress share the next one. */
  async flush (): Promise<void> {
    await this.writes.run(async () => {
      const batch = this.unwritten.splice(0)
      const last = batch.at(-1)
      if (last === undefined) return
      try {
        await this.measure(async () => await this.storage.append(batch))
      } catch (err) {
        // Kept, so that no later write leaves a gap.
        this.unwritten.unshift(...batch)
        throw err
      }
      this.markSynced(last)
    })
  }

  /** Removes all entries after an index. */
  async truncateAfter (index: number): Promise<void> {
    this.entries = this.entries.slice(0, index - this.snapshotIndex)
    this.unwritten = this.unwritten.filter((entry) => entry.index <= index)
    this.syncedIndex = Math.min(this.syncedIndex, index)
    this.refreshMembership()
    await this.rewrite()
  }

  /** Replaces the snapshot that precedes the log, and keeps the entries after it if the log holds the snapshot's last entry. */
  async replaceSnapshot (snapshot: inner.Snapshot): Promise<void> {
    const index = Number(snapshot.index)
    const hasSnapshotEntry = this.termAt(index) === snapshot.term
    const entriesAfter = hasSnapshotEntry ? this.entries.slice(index - this.snapshotIndex) : []
    if (!hasSnapshotEntry) this.syncedIndex = 0
    this.baseSnapshot = snapshot
    this.entries = entriesAfter
    this.refreshMembership()
    await this.rewrite()
  }

  /** Replaces the stored log and snapshot by the current ones, which always fit together, whatever has changed since the call. */
  private async rewrite (): Promise<void> {
    await this.writes.run(async () => {
      this.unwritten = []
      const entries = [...this.entries]
      const { last, snapshot } = this
      await this.measure(async () => snapshot === undefined || snapshot === this.storedSnapshot
        ? await this.storage.rewrite(entries)
        : await this.storage.saveSnapshot(snapshot, entries))
      this.storedSnapshot = snapshot
      this.markSynced(last)
    })
  }

  private async measure (write: () => Promise<void>): Promise<void> {
    this.writeStartedAt = performance.now()
    try {
      await write()
    } finally {
      this.writeStartedAt = undefined
    }
  }

  /** Records that the log is durable up to an entry, unless that entry was removed while it was being written. */
  private markSynced ({ index, term }: LogPosition): void {
    if (this.termAt(index) === term || index <= this.snapshotIndex) this.syncedIndex = Math.max(this.syncedIndex, index)
  }

  private findMembership (index: number): { readonly membership: inner.Membership, readonly index: number } {
    for (let i = index; i > this.snapshotIndex; i--) {
      const command = this.entryAt(i)?.command
      if (command?.case === 'membership') return { membership: command.value, index: i }
    }
    return { membership: this.baseSnapshot?.membership ?? emptyMembership, index: this.snapshotIndex }
  }

  private refreshMembership (): void {
    const newest = this.findMembership(this.last.index)
    this.currentMembership = newest.membership
    this.currentMembershipIndex = newest.index
  }
}
