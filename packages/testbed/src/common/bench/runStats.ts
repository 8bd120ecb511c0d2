/** What a run of the bench counts. */
import type * as latencyHistogram from '@rosemaryrack/telemetry/common/latencyHistogram.js'

/** Counts of one lane. */
export interface LaneCounts {
  readonly latency: latencyHistogram.ILatencyHistogram
  calls: number
  answered: number
  failed: number
  refused: number
  late: number
  retries: number
  hedges: number
}

/** One row of the bench's table. */
export interface LaneRow {
  readonly lane: string
  readonly calls: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
  readonly refused: number
  readonly failed: number
  readonly late: number
  readonly retries: number
  readonly hedges: number
}

export function newCounts (latency: latencyHistogram.ILatencyHistogram): LaneCounts {
  return { latency, calls: 0, answered: 0, failed: 0, refused: 0, late: 0, retries: 0, hedges: 0 }
}

export function toRow (lane: string, counts: LaneCounts): LaneRow {
  const { latency, calls, refused, failed, late, retries, hedges } = counts
  const at = (quantile: number): number => Math.round(latency.at(quantile) * 10) / 10
  return { lane, calls, p50: at(0.5), p99: at(0.99), p999: at(0.999), refused, failed, late, retries, hedges }
}
