/** Collects what an operator needs to know of a replica, for metrics, status and log. */
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as campaignLog from './campaignLog.js'
import * as leaderWatch from './leaderWatch.js'
import type * as leadership from './leadership.js'
import * as refusalCounter from './refusalCounter.js'
import type * as replicaLog from './replicaLog.js'
import * as replicationStatus from './replicationStatus.js'

/** The parts of a replica that are monitored. */
export interface IMonitoredReplica {
  readonly replicaId: string
  readonly leaderId: string
  readonly leadership: leadership.Leadership | undefined
  readonly log: replicaLog.ReplicaLog
}

/** Counts and logs of one replica. */
export class ReplicaMonitor {
  readonly replication: replicationStatus.ReplicationStatus
  readonly leader: leaderWatch.LeaderWatch
  readonly campaigns: campaignLog.CampaignLog
  readonly refusals = new refusalCounter.RefusalCounter()

  constructor (decisions: decisionLog.IDecisionLog, electionTimeoutMs: number, private readonly replica: IMonitoredReplica) {
    this.replication = new replicationStatus.ReplicationStatus(decisions, () => replica.log.membership.replicas)
    this.leader = new leaderWatch.LeaderWatch(decisions, electionTimeoutMs)
    this.campaigns = new campaignLog.CampaignLog(decisions)
  }

  /** Records that this replica has led until now. */
  endLeadership (): void {
    this.replication.endLeadership()
    this.leader.recordLeader(this.replica.replicaId)
  }

  /** True when the replica leads, or follows a leader that it has had contact with recently. */
  get knowsLeader (): boolean {
    return this.replica.leadership !== undefined || (this.replica.leaderId !== '' && !this.leader.isLeaderless())
  }

  /** Milliseconds since a leader was last known; 0 while the replica leads. */
  get withoutLeaderMs (): number {
    return this.replica.leadership === undefined ? this.leader.sinceLeaderMs() : 0
  }

  /** Logs the changes that depend on time; call about once a second. */
  check (): void {
    if (this.replica.leadership !== undefined) this.leader.recordLeader(this.replica.replicaId)
    this.replication.check()
    this.leader.check()
    this.campaigns.check()
  }
}
