/** Logs when a replica has known no leader for longer than an election takes, and when it knows one again. */
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'

/** Time without a leader that is logged, in election timeouts: a timeout of up to two, and the election itself. */
const noLeaderFactor = 3
/** Time for which a leader must be known before the lack of one counts as ended, so that leaders that come and go fill no log. */
const stableMs = 3000

/** A time without a leader that was logged. */
interface Outage {
  readonly since: number
  /** Time from which on a leader has been known without interruption. */
  endedAt: number
}

/** Measures the time without a known leader. */
export class LeaderWatch {
  private lastKnownAt = performance.now()
  private lastLeaderId = ''
  private outage: Outage | undefined

  constructor (private readonly decisions: decisionLog.IDecisionLog, private readonly electionTimeoutMs: number) {}

  /** Records a message of the leader, or that this replica leads. */
  recordLeader (leaderId: string, now = performance.now()): void {
    // Also logs an outage that began and ended between two checks.
    if (this.isLeaderless(now)) this.startOutage(now).endedAt = now
    this.lastKnownAt = now
    this.lastLeaderId = leaderId
  }

  /** Milliseconds since a leader was last known. */
  sinceLeaderMs (now = performance.now()): number {
    return now - this.lastKnownAt
  }

  /** True when no leader was known for longer than an election takes. */
  isLeaderless (now = performance.now()): boolean {
    return this.sinceLeaderMs(now) > noLeaderFactor * this.electionTimeoutMs
  }

  /** Logs the lack of a leader and its end, once each; call about once a second. */
  check (now = performance.now()): void {
    if (this.isLeaderless(now)) this.startOutage(now)
    else if (this.outage !== undefined && now - this.outage.endedAt >= stableMs) this.endOutage(this.outage)
  }

  private startOutage (now: number): Outage {
    if (this.outage !== undefined) return this.outage
    this.outage = { since: this.lastKnownAt, endedAt: now }
    this.decisions.record({ event: 'control-no-leader', choice: 'none', ms: Math.round(this.sinceLeaderMs(now)), why: 'no message of a leader arrived and no election succeeded' })
    return this.outage
  }

  private endOutage ({ since, endedAt }: Outage): void {
    this.outage = undefined
    this.decisions.record({ event: 'control-no-leader', choice: 'ended', leader: this.lastLeaderId, ms: Math.round(endedAt - since), why: 'a leader is known again' })
  }
}
