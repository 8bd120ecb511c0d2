/** Statistics of the endpoints of one service, by endpoint and incarnation. */
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as endpointStats from './endpointStats.js'

/** Time from the first endpoint until those that were there before this process are known too. */
const firstAnnouncementsMs = 500

interface IncarnationStats {
  readonly incarnation: number
  readonly stats: endpointStats.EndpointStats
}

/** Keeps the statistics of each endpoint from its first use until it leaves or restarts. */
export class EndpointStatsTable {
  private readonly statsById = new Map<string, IncarnationStats>()
  private newestSeenAt = -Infinity
  private oldestSeenAt = Infinity

  /** Time on the clock at which the newest endpoint was first seen, or last restarted its warm-up. */
  get newestEndpointSeenAt (): number {
    return this.newestSeenAt
  }

  /** Number of calls in flight at all endpoints. */
  get inFlight (): number {
    let sum = 0
    for (const { stats } of this.statsById.values()) sum += stats.inFlight
    return sum
  }

  statsFor (endpoint: endpointTable.Endpoint, now: number): endpointStats.EndpointStats {
    const known = this.statsById.get(endpoint.endpoint)
    if (known !== undefined && known.incarnation === endpoint.incarnation) return known.stats
    this.oldestSeenAt = Math.min(this.oldestSeenAt, now)
    // Endpoints that are known from the start, or soon after it, have not joined since.
    const hasJoined = now - this.oldestSeenAt > firstAnnouncementsMs
    const stats = new endpointStats.EndpointStats(now, hasJoined)
    this.newestSeenAt = now
    this.statsById.set(endpoint.endpoint, { incarnation: endpoint.incarnation, stats })
    return stats
  }

  /** Gives an endpoint whose limit has ended its calls gradually, like a new one. */
  restartWarmUp (endpoint: endpointTable.Endpoint, now: number): void {
    this.statsFor(endpoint, now).restartWarmUp(now)
    this.newestSeenAt = now
  }

  /** Withdraws the failures of all endpoints since a time. */
  withdrawFailures (since: number): void {
    for (const { stats } of this.statsById.values()) stats.withdrawFailures(since)
  }

  delete (endpoint: string): void {
    this.statsById.delete(endpoint)
  }
}
