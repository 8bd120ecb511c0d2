/** Metrics of a control replica, computed only when they are read. */
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as quorum from '../common/quorum.js'
import * as diskTiming from './diskTiming.js'
import type * as replica from './replica.js'

const msPerSecond = 1000
const prefix = 'rosemaryrack_control_'

/** Sizes of the stored files. */
export interface StoredSizes {
  readonly isDiskFull: boolean
  readonly logBytes: number
  readonly snapshotBytes: number
}

/** Registers the metrics of a replica that has loaded its data folder by the time they are read. */
export function registerControlMetrics (registry: metrics.Metrics, member: replica.Replica, stored: StoredSizes, disk: diskTiming.DiskTiming): void {
  registry.registerCollector(() => [
    ...replicaSamples(member),
    ...storageSamples(member, stored, disk),
    ...peerSamples(member),
    ...failureSamples(member)
  ])
}

function replicaSamples (member: replica.Replica): readonly metrics.Sample[] {
  const { log, monitor } = member
  return [
    sample('term', member.term),
    sample('leads', Number(member.leadership !== undefined)),
    sample('voter', Number(member.isVoter)),
    sample('knows_leader', Number(monitor.knowsLeader)),
    sample('seconds_without_leader', monitor.withoutLeaderMs / msPerSecond),
    sample('commit_index', member.commitIndex),
    sample('last_index', log.last.index),
    sample('config_version', member.state.config.version),
    sample('evacuated_failure_domains', member.state.evacuations.toMessage().failureDomains.length),
    sample('voters', quorum.votersOf(log.membership).length),
    sample('learners', log.membership.replicas.length - quorum.votersOf(log.membership).length),
    sample('disk_losses_tolerated', quorum.toleratedDiskLosses(log.membership)),
    sample('campaigns_failed_total', monitor.campaigns.failedCount)
  ]
}

function storageSamples (member: replica.Replica, stored: StoredSizes, disk: diskTiming.DiskTiming): readonly metrics.Sample[] {
  const { log } = member
  return [
    sample('log_entries', log.last.index - log.snapshotIndex),
    sample('log_bytes', stored.logBytes),
    sample('snapshot_index', log.snapshotIndex),
    sample('snapshot_bytes', stored.snapshotBytes),
    sample('disk_full', Number(stored.isDiskFull)),
    ...diskTiming.writeKinds.flatMap((write) => {
      const times = disk.timesOf(write)
      return [
        sample('disk_writes_total', times.count, { write }),
        sample('disk_write_last_seconds', times.lastMs / msPerSecond, { write }),
        sample('disk_write_longest_seconds', times.longestMs / msPerSecond, { write }),
        sample('disk_write_in_progress_seconds', times.inProgressMs / msPerSecond, { write })
      ]
    })
  ]
}

/** Returns the progress of the other replicas; empty when this replica doesn't lead. */
function peerSamples (member: replica.Replica): readonly metrics.Sample[] {
  return member.log.membership.replicas.flatMap(({ id, address }) => {
    const progress = member.monitor.replication.progressOf(id)
    if (progress === undefined) return []
    const labels = { replica: id, address }
    const pending = member.monitor.replication.pendingOf(id)
    return [
      sample('replica_behind', Number(progress.isBehind), labels),
      sample('replica_message_pending_seconds', (pending?.ageMs ?? 0) / msPerSecond, labels),
      sample('replica_lag_entries', progress.lagEntries, labels),
      sample('replica_lag_bytes', progress.lagBytes, labels),
      sample('replica_lag_seconds', progress.lagMs / msPerSecond, labels),
      sample('replica_since_response_seconds', progress.sinceResponseMs / msPerSecond, labels)
    ]
  })
}

function failureSamples (member: replica.Replica): readonly metrics.Sample[] {
  const { refusals, replication } = member.monitor
  const addresses = new Map(member.log.membership.replicas.map(({ id, address }) => [id, address]))
  return [
    ...replication.failureCounts().map(({ replicaId, what, reason, count }) =>
      sample('messages_failed_total', count, { replica: replicaId, address: addresses.get(replicaId) ?? '', message: what, reason })),
    ...refusals.read().map(({ operation, kind, count }) => sample('refused_total', count, { operation, kind })),
    sample('writes_intolerant_total', refusals.intolerantCount)
  ]
}

function sample (name: string, value: number, labels: metrics.Labels = {}): metrics.Sample {
  return { name: prefix + name, labels, value }
}
