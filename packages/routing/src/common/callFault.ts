/** Creates the faults that callers get for calls without a response. */
import type * as errors from '@rosemaryrack/base/common/errors.js'

/** Time after which the caller may resend a request whose outcome is unknown; upper limit for requests that no endpoint ran. */
const failureRetryAfterS = 1
/** Share of the lane's typical latency after which the caller may retry a request that no endpoint ran. */
const retryAfterLatencyShare = 0.5
/** `Retry-After` of a call that got no slot: without an estimate of the wait, and the shortest one with an estimate. */
const noWaitRetryAfterS = 1
const minWaitRetryAfterS = 0.1
const msPerSecond = 1000

/** State of a call that ends without a response. */
export interface CallEnd {
  /** True if an endpoint may have run the call. */
  readonly mayHaveRun: boolean
  readonly timedOut: boolean
  readonly idempotent: boolean
  /** Typical time to the head of a response on the lane, in milliseconds. */
  readonly typicalMs: number
}

/** Returns a `not-run` fault if no endpoint can have run the call, else an `unknown` fault. */
export function finalFault (message: string, { mayHaveRun, timedOut, idempotent, typicalMs }: CallEnd): errors.Fault {
  // Endpoints that shed the call or were unreachable may accept the next one, and an early retry may still be in time.
  const notRunRetryAfterS = Math.min(failureRetryAfterS, typicalMs * retryAfterLatencyShare / msPerSecond)
  if (!mayHaveRun) return { kind: 'not-run', message, retryAfterS: notRunRetryAfterS }
  // A resend of an idempotent request is safe, but should come after the failures seen here have been announced to all instances.
  return { kind: 'unknown', message, timedOut, ...(idempotent ? { retryAfterS: failureRetryAfterS } : {}) }
}

/**
 * Returns the fault of a call for which all probed endpoints have queues. The caller may retry after the latency that was expected
 * at the best endpoint.
 */
export function overloadedFault ({ expectedLatencyMs, why }: { readonly expectedLatencyMs: number, readonly why: string }): errors.Fault {
  return { kind: 'not-run', message: `all probed endpoints have queues; ${why}`, retryAfterS: expectedLatencyMs / msPerSecond }
}

/**
 * Returns the fault of a call that got no slot.
 * @param waitMs estimated wait for a slot; 0 without an estimate.
 */
export function notPlacedFault (message: string, waitMs: number): errors.Fault {
  return { kind: 'not-run', message, retryAfterS: waitMs > 0 ? Math.max(minWaitRetryAfterS, waitMs / msPerSecond) : noWaitRetryAfterS }
}
