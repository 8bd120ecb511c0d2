/** Collects what an operator needs to know of a replica, for metrics, status and log. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as campaignLog from './campaignLog.js'
import * as leaderWatch from './leaderWatch.js'
import * as replicationStatus from './replicationStatus.js'

/** Counts and logs of one replica. */
export class ReplicaMonitor {
  readonly replication: replicationStatus.ReplicationStatus
  readonly leader: leaderWatch.LeaderWatch
  readonly campaigns: campaignLog.CampaignLog

  constructor (decisions: decisionLog.IDecisionLog, electionTimeoutMs: number, members: () => readonly inner.Replica[]) {
    this.replication = new replicationStatus.ReplicationStatus(decisions, members)
    this.leader = new leaderWatch.LeaderWatch(decisions, electionTimeoutMs)
    this.campaigns = new campaignLog.CampaignLog(decisions)
  }

  /** Records that this replica has led until now. */
  endLeadership (replicaId: string): void {
    this.replication.endLeadership()
    this.leader.recordLeader(replicaId)
  }

  /**
   * Logs the changes that depend on time; call about once a second.
   * @param leadingId id of this replica while it leads, else undefined.
   */
  check (leadingId: string | undefined): void {
    if (leadingId !== undefined) this.leader.recordLeader(leadingId)
    this.replication.check()
    this.leader.check()
  }
}
