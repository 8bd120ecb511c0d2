/** The replicated log of one replica: entries after the snapshot, in memory and on disk. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as logEntry from '../common/logEntry.js'
import type * as replicaStorage from './replicaStorage.js'

const emptyMembership: inner.Membership = protobuf.create(inner.MembershipSchema)

/** Position of an entry. */
export interface LogPosition {
  readonly index: number
  readonly term: number
}

/** Callers serialize all changes; reads see what is in memory, durable or not. */
export class ReplicaLog {
  private entries: logEntry.LogEntry[] = []
  private base: inner.Snapshot | undefined
  private members: inner.Membership = emptyMembership
  private membersIndex = 0

  constructor (private readonly storage: replicaStorage.IReplicaStorage) {}

  load (stored: replicaStorage.StoredReplica): void {
    this.base = stored.snapshot
    this.entries = [...stored.entries]
    this.refreshMembership()
  }

  get snapshot (): inner.Snapshot | undefined {
    return this.base
  }

  get snapshotIndex (): number {
    return Number(this.base?.index ?? 0n)
  }

  get last (): LogPosition {
    return this.entries.at(-1) ?? { index: this.snapshotIndex, term: this.base?.term ?? 0 }
  }

  /** The newest membership in the log, committed or not. */
  get membership (): inner.Membership {
    return this.members
  }

  /** Index of the entry that set the newest membership. */
  get membershipIndex (): number {
    return this.membersIndex
  }

  /** Term of the entry at an index; undefined when the log doesn't hold it. */
  termAt (index: number): number | undefined {
    if (index === this.snapshotIndex) return this.base?.term ?? 0
    return this.at(index)?.term
  }

  at (index: number): logEntry.LogEntry | undefined {
    if (index <= this.snapshotIndex) return undefined
    return this.entries[index - this.snapshotIndex - 1]
  }

  /** Entries from an index on, at most `most` of them. */
  from (index: number, most: number): readonly logEntry.LogEntry[] {
    const start = index - this.snapshotIndex - 1
    return this.entries.slice(start, start + most)
  }

  /** Membership as of an index that the log holds. */
  membershipAt (index: number): inner.Membership {
    return this.findMembership(index).membership
  }

  /** Adds entries in memory; they are durable once `persist` returned. */
  extend (entries: readonly logEntry.LogEntry[]): void {
    this.entries.push(...entries)
    if (entries.some((entry) => entry.command.case === 'membership')) this.refreshMembership()
  }

  async persist (entries: readonly logEntry.LogEntry[]): Promise<void> {
    await this.storage.append(entries)
  }

  /** Removes all entries after an index. */
  async truncateAfter (index: number): Promise<void> {
    this.entries = this.entries.slice(0, index - this.snapshotIndex)
    this.refreshMembership()
    await this.storage.rewrite(this.entries)
  }

  /** Makes a snapshot the base of the log, keeping the entries after it when they continue it. */
  async rebase (snapshot: inner.Snapshot): Promise<void> {
    const index = Number(snapshot.index)
    const continues = this.termAt(index) === snapshot.term
    const kept = continues ? this.entries.slice(index - this.snapshotIndex) : []
    this.base = snapshot
    this.entries = kept
    this.refreshMembership()
    await this.storage.saveSnapshot(snapshot, kept)
  }

  private findMembership (index: number): { readonly membership: inner.Membership, readonly index: number } {
    for (let i = index; i > this.snapshotIndex; i--) {
      const command = this.at(i)?.command
      if (command?.case === 'membership') return { membership: command.value, index: i }
    }
    return { membership: this.base?.membership ?? emptyMembership, index: this.snapshotIndex }
  }

  private refreshMembership (): void {
    const found = this.findMembership(this.last.index)
    this.members = found.membership
    this.membersIndex = found.index
  }
}
