/** Latency distribution over hdr-histogram-js. */
import * as hdr from 'hdr-histogram-js'
import type * as latencyHistogram from '../common/latencyHistogram.js'

const maxLatencyUs = 600_000_000
/** Two digits resolve 1 in 100, at 12 KB a histogram. */
const significantDigits = 2
const usPerMs = 1000
const percent = 100

/** Records from one microsecond to ten minutes. */
export class HdrLatency implements latencyHistogram.ILatencyHistogram {
  private readonly histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxLatencyUs,
    numberOfSignificantValueDigits: significantDigits,
    bitBucketSize: 32,
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
