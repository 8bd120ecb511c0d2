/** Latency distribution over hdr-histogram-js, of which only one histogram is loaded: the whole inflates a WebAssembly module. */
import * as hdr from 'hdr-histogram-js/dist/Int32Histogram.js'
import type * as latencyHistogram from '../common/latencyHistogram.js'

const maxLatencyUs = 600_000_000
/** Two digits resolve 1 in 100, at 12 KB a histogram. */
const significantDigits = 2
const usPerMs = 1000
const percent = 100

/** Records from one microsecond to ten minutes. */
export class HdrLatency implements latencyHistogram.ILatencyHistogram {
  private readonly histogram = new hdr.default.default(1, maxLatencyUs, significantDigits)

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
