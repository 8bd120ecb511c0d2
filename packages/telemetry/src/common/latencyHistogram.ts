/** Latency distributions, whatever library counts them. */

/** Distribution of latencies in milliseconds. */
export interface ILatencyHistogram {
  readonly count: number
  record(ms: number): void
  /** @param quantile 0 to 1 */
  at(quantile: number): number
}
