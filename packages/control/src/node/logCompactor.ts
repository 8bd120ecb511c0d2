/** Replaces applied entries of the log by a snapshot. */
import type * as async from '@rosemaryrack/base/common/async.js'
import * as logEntry from '../common/logEntry.js'
import type * as logApplier from './logApplier.js'
import type * as replicaLog from './replicaLog.js'

/** Size of the applied entries, or that of the configuration if it is larger, from which the log is compacted. */
const maxUncompactedBytes = 8_388_608

/** Compacts the log by number and by size of the entries, so that neither a restart nor a lagging replica has to handle a large one. */
export class LogCompactor {
  private uncompactedBytes = 0
  private isRunning = false

  /** @param snapshotEvery number of entries between two snapshots. */
  constructor (private readonly log: replicaLog.ReplicaLog, private readonly applier: logApplier.LogApplier, private readonly lock: async.Sequencer, private readonly snapshotEvery: number) {}

  /** Counts an applied entry. */
  count (entry: logEntry.LogEntry): void {
    this.uncompactedBytes += logEntry.sizeOf(entry)
  }

  /** Starts to count anew after a snapshot has replaced the state. */
  reset (): void {
    this.uncompactedBytes = 0
  }

  /** Starts a compaction if one is due and none is in progress. */
  compactIfDue (): void {
    if (this.isRunning || !this.isDue) return
    this.isRunning = true
    this.lock.run(async () => await this.compact()).finally(() => {
      this.isRunning = false
    })
  }

  private get isDue (): boolean {
    const { appliedIndex, state } = this.applier
    const configBytes = state.configJson.length + state.configSource.length
    return appliedIndex - this.log.snapshotIndex >= this.snapshotEvery || this.uncompactedBytes >= Math.max(maxUncompactedBytes, configBytes)
  }

  private async compact (): Promise<void> {
    const { appliedIndex, state } = this.applier
    this.reset()
    await this.log.replaceSnapshot(state.toSnapshot(appliedIndex, this.log.termAt(appliedIndex)!, this.log.membershipAt(appliedIndex)))
  }
}
