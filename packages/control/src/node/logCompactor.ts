/** Replaces applied entries of the log by a snapshot. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as logEntry from '../common/logEntry.js'
import type * as logApplier from './logApplier.js'
import type * as replicaLog from './replicaLog.js'

/** Size of the applied entries, or that of the configuration if it is larger, from which the log is compacted. */
const maxUncompactedBytes = 8_388_608

/**
 * Compacts the log by number and by size of the entries, so that neither a restart nor a lagging replica has to handle a large one.
 * Runs beside other writes, since a disk may take any time.
 */
export class LogCompactor {
  private uncompactedBytes = 0
  private isRunning = false

  /** @param snapshotEvery number of entries between two snapshots. */
  constructor (
    private readonly log: replicaLog.ReplicaLog,
    private readonly applier: logApplier.LogApplier,
    private readonly snapshotEvery: number,
    private readonly decisions: decisionLog.IDecisionLog
  ) {}

  /** Counts an applied entry. */
  count (entry: logEntry.LogEntry): void {
    this.uncompactedBytes += logEntry.sizeOf(entry)
  }

  /** Starts to count anew after a snapshot has replaced the state. */
  reset (): void {
    this.uncompactedBytes = 0
  }

  /** Starts a compaction if one is due and none is in progress. */
  async compactIfDue (): Promise<void> {
    if (this.isRunning || !this.isDue) return
    this.isRunning = true
    try {
      await this.compact()
    } catch (err) {
      // A failed disk ends the process by itself.
      this.decisions.record({ event: 'compaction-failed', choice: String(this.log.snapshotIndex), why: errors.messageOf(err) })
    } finally {
      this.isRunning = false
    }
  }

  /** False while applied entries are not on this disk yet: a snapshot would only wait behind them. */
  private get isDue (): boolean {
    const { appliedIndex, state } = this.applier
    const isLarge = appliedIndex - this.log.snapshotIndex >= this.snapshotEvery || this.uncompactedBytes >= Math.max(maxUncompactedBytes, state.configLength)
    return isLarge && this.log.durableIndex >= appliedIndex
  }

  private async compact (): Promise<void> {
    const { appliedIndex, state } = this.applier
    this.reset()
    await this.log.replaceSnapshot(state.toSnapshot(appliedIndex, this.log.termAt(appliedIndex)!, this.log.membershipAt(appliedIndex)))
  }
}
