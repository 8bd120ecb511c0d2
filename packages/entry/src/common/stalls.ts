/** Requests that callers keep from going on. */

/** A request that waits for its caller at times. */
export interface IStallable {
  /** Time on the process's monotonic clock since which it has waited for its caller; undefined if it doesn't. */
  readonly stalledSince: number | undefined
  /** Ends the request, and frees what it holds at once. */
  endStalled(): void
}

/** Returns the one that has waited for longest, if it has done so since `latest` or longer. */
export function findLongestStalled (requests: Iterable<IStallable>, latest: number): IStallable | undefined {
  let longest: IStallable | undefined
  let since = latest
  for (const request of requests) {
    const { stalledSince = Infinity } = request
    if (stalledSince > since) continue
    longest = request
    since = stalledSince
  }
  return longest
}
