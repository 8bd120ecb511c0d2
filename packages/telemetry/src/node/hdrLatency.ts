/** Latency histogram implemented by hdr-histogram-js. */
import * as hdr from 'hdr-histogram-js'
import type * as latencyHistogram from '../common/latencyHistogram.js'

const maxLatencyUs = 600_000_000
/** Two digits give a resolution of 1 in 100, at 12 KB per histogram. */
const significantDigits = 2
const usPerMs = 1000
const percent = 100

/** Records latencies from one microsecond to ten minutes; values outside are clamped. */
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

  valueAtQuantile (quantile: number): number {
    return this.histogram.getValueAtPercentile(quantile * percent) / usPerMs
  }
}
