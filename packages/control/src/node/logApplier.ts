/** Applies committed entries of the log to the state, and tells readers how far it has got. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as logEntry from '../common/logEntry.js'
import * as lastingPut from '../common/lastingPut.js'
import * as replicatedState from '../common/replicatedState.js'
import type * as replicaLog from './replicaLog.js'

/** Receives the result of each entry. */
export type ResultHandler = (entry: logEntry.LogEntry, result: replicatedState.ApplyResult) => void

/** The state with the index up to which entries are applied. An entry that can't be applied is never passed over. */
export class LogApplier implements lifecycle.IDisposable {
  readonly state = new replicatedState.ReplicatedState()
  private readonly appliedEmitter = new event.Emitter<number>()
  /** Fires the index of the newest applied entry. */
  readonly onApplied = this.appliedEmitter.event
  private readonly appliedSignal = new async.Signal()
  private index = 0
  /** Index of the entry or snapshot that this build can't apply; 0 if there is none. */
  private inapplicableIndex = 0

  constructor (private readonly log: replicaLog.ReplicaLog, private readonly decisions: decisionLog.IDecisionLog) {}

  /** Index of the newest applied entry. */
  get appliedIndex (): number {
    return this.index
  }

  /** False while this build can't apply an entry or a snapshot, for example a document with fields of a newer build. */
  get canApply (): boolean {
    return this.inapplicableIndex === 0
  }

  dispose (): void {
    this.appliedEmitter.dispose()
  }

  /**
   * Applies the entries up to a committed index, as far as this build can. Of several documents only the one that lasts is read, so
   * that a replica that applies many versions at once still responds in time.
   */
  applyUpTo (index: number, onResult: ResultHandler): void {
    const readFrom = this.firstIndexToRead(index)
    let hasApplied = true
    while (hasApplied && this.index < index) hasApplied = this.applyNext(onResult, readFrom)
    this.notify()
  }

  /** Replaces the state by a snapshot without telling readers; throws `corrupt-record` if this build can't read it. */
  restore (snapshot: inner.Snapshot): void {
    const index = Number(snapshot.index)
    try {
      this.state.restore(snapshot)
    } catch (err) {
      this.recordFailure(index, err)
      throw err
    }
    this.recordApplied(index)
  }

  /** Tells readers that entries or a snapshot have been applied. */
  notify (): void {
    this.appliedSignal.notify()
    this.appliedEmitter.fire(this.index)
  }

  /** Resolves to true once the entry at an index is applied, to false after `timeoutMs`. */
  async waitUntilApplied (index: number, timeoutMs: number): Promise<boolean> {
    const deadline = performance.now() + timeoutMs
    while (this.index < index) {
      const remainingMs = deadline - performance.now()
      if (remainingMs <= 0) return false
      await this.appliedSignal.wait(remainingMs)
    }
    return true
  }

  /** Returns the index of the put that replaces all documents before it; 0 if there is none. */
  private firstIndexToRead (index: number): number {
    if (index <= this.index + 1 || !this.canApply) return 0
    const lasting = lastingPut.findLastingPut(this.entriesUpTo(index), this.state.config.version)
    return lasting !== undefined && this.state.canRead(lasting.put) ? lasting.index : 0
  }

  private * entriesUpTo (index: number): Generator<logEntry.LogEntry> {
    for (let next = this.index + 1; next <= index; next++) {
      const entry = this.log.entryAt(next)
      if (entry === undefined) return
      yield entry
    }
  }

  /** Applies the next entry; returns false if the log doesn't hold it or this build can't apply it. */
  private applyNext (onResult: ResultHandler, readFrom: number): boolean {
    const entry = this.log.entryAt(this.index + 1)
    if (entry === undefined || entry.index === this.inapplicableIndex) return false
    let result: replicatedState.ApplyResult
    try {
      result = this.state.apply(entry, entry.index < readFrom)
    } catch (err) {
      this.recordFailure(entry.index, err)
      return false
    }
    this.recordApplied(entry.index)
    onResult(entry, result)
    return true
  }

  private recordApplied (index: number): void {
    this.index = index
    if (this.inapplicableIndex === 0) return
    this.inapplicableIndex = 0
    this.decisions.record({ event: 'apply-resumed', choice: String(index), why: 'a newer entry or snapshot was applied' })
  }

  /** Logs the first failure at an index. */
  private recordFailure (index: number, err: unknown): void {
    if (this.inapplicableIndex === index) return
    this.inapplicableIndex = index
    this.decisions.record({ event: 'apply-failed', choice: String(index), why: `${errors.messageOf(err)}; this replica confirms no later entry and starts no election` })
  }
}
