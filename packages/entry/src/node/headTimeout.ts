/** Time for the head of a request on a connection that this process did not read for a while. */

/** What the timeout depends on. */
export interface IPausableInput {
  /** True while the connection is not read. */
  readonly isPaused: boolean
  /** Number of requests whose head was complete. */
  readonly requestCount: number
}

/** Calls `expire` once the next head is incomplete although the connection was read for `ms`, in steps of that time. */
export function startHeadTimeout (input: IPausableInput, ms: number, expire: () => void): void {
  const { requestCount } = input
  let wasPaused = true
  const check = (): void => {
    if (input.requestCount !== requestCount) return
    if (!input.isPaused && !wasPaused) {
      expire()
      return
    }
    wasPaused = input.isPaused
    setTimeout(check, ms).unref()
  }
  setTimeout(check, ms).unref()
}
