/** Logs when a replica has known no leader for longer than an election takes, and when it knows one again. */
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'

/** Time without a leader that is logged, in election timeouts: a timeout of up to two, and the election itself. */
const noLeaderFactor = 3

/** Measures the time without a known leader. */
export class LeaderWatch {
  private lastKnownAt = performance.now()
  private isLogged = false

  constructor (private readonly decisions: decisionLog.IDecisionLog, private readonly electionTimeoutMs: number) {}

  /** Records a message of the leader, or that this replica leads. */
  recordLeader (leaderId: string, now = performance.now()): void {
    const ms = Math.round(now - this.lastKnownAt)
    this.lastKnownAt = now
    if (!this.isLogged) return
    this.isLogged = false
    this.decisions.record({ event: 'control-no-leader', choice: 'ended', leader: leaderId, ms, why: 'a leader is known again' })
  }

  /** Milliseconds since a leader was last known. */
  sinceLeaderMs (now = performance.now()): number {
    return now - this.lastKnownAt
  }

  /** True when no leader was known for longer than an election takes. */
  isLeaderless (now = performance.now()): boolean {
    return this.sinceLeaderMs(now) > noLeaderFactor * this.electionTimeoutMs
  }

  /** Logs the lack of a leader, once each time; call about once a second. */
  check (now = performance.now()): void {
    if (this.isLogged || !this.isLeaderless(now)) return
    this.isLogged = true
    this.decisions.record({ event: 'control-no-leader', choice: 'none', ms: Math.round(this.sinceLeaderMs(now)), why: 'no message of a leader arrived and no election succeeded' })
  }
}
