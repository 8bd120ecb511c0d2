/** Percentiles of the recent latencies of one lane. */

/** Number of latencies kept: 2.5 KB a lane. Two histograms of hdr-histogram-js take 24 KB, too much where a process has thousands of lanes. */
const capacity = 128
/** A percentile of fewer latencies says little about the next one. */
const minCount = 20
const percent = 100

/** Keeps the newest latencies. */
export class RecentLatencies {
  private readonly latencies: number[] = []
  private nextIndex = 0
  private sorted: readonly number[] | undefined

  /** Records a latency in milliseconds, or its lower bound if the attempt was cancelled. */
  record (ms: number): void {
    this.latencies[this.nextIndex] = ms
    this.nextIndex = (this.nextIndex + 1) % capacity
    this.sorted = undefined
  }

  /** Returns the latency that `percentile` in 100 do not exceed; undefined while too few are known. */
  percentileMs (percentile: number): number | undefined {
    if (this.latencies.length < minCount) return undefined
    this.sorted ??= [...this.latencies].sort((a, b) => a - b)
    return this.sorted[Math.min(this.sorted.length, Math.ceil(this.sorted.length * percentile / percent)) - 1]
  }
}
