/** Interface of latency histograms, independent of the library that implements them. */

/** Distribution of latencies in milliseconds. */
export interface ILatencyHistogram {
  readonly count: number
  record(ms: number): void
  /**
   * Returns the latency in milliseconds at a quantile.
   * @param quantile 0 to 1
   */
  valueAtQuantile(quantile: number): number
}
