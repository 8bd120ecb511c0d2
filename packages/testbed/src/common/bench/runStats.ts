/** Counts of a run of the bench and the rows of its table. */
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

/** Creates counts that are all zero. */
export function createLaneCounts (latency: latencyHistogram.ILatencyHistogram): LaneCounts {
  return { latency, calls: 0, answered: 0, failed: 0, refused: 0, late: 0, retries: 0, hedges: 0 }
}

/** Returns the row of a lane; latencies are rounded to a tenth of a millisecond. */
export function toLaneRow (lane: string, counts: LaneCounts): LaneRow {
  const { latency, calls, refused, failed, late, retries, hedges } = counts
  const percentileMs = (quantile: number): number => Math.round(latency.valueAtQuantile(quantile) * 10) / 10
  return { lane, calls, p50: percentileMs(0.5), p99: percentileMs(0.99), p999: percentileMs(0.999), refused, failed, late, retries, hedges }
}
