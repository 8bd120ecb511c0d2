/** Latency distribution over hdr-histogram-js. */
import * as hdr from 'hdr-histogram-js'
import type * as latencyHistogram from '../common/latencyHistogram.js'

const maxLatencyUs = 3_600_000_000
const significantDigits = 3
const usPerMs = 1000
const percent = 100

/** Records from one microsecond to an hour. */
export class HdrLatency implements latencyHistogram.ILatencyHistogram {
  private readonly histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxLatencyUs,
    numberOfSignificantValueDigits: significantDigits,
    useWebAssembly: false
  })

  get count (): number {
    return this.histogram.totalCount
  }

  record (ms: number): void {
    this.histogram.recordValue(Math.min(maxLatencyUs, Math.max(1, Math.round(ms * usPerMs))))
  }

  at (quantile: number): number {
    return this.histogram.getValueAtPercentile(quantile * percent) / usPerMs
  }
}
