/** What the caller is told of a call that has no answer. */
import type * as errors from '@rosemaryrack/base/common/errors.js'

const retryAfterFailureS = 1
/** Part of a typical answer's time after which the caller of a request that endpoints shed may come back. */
const returnShareOfTypical = 0.5
const msPerSecond = 1000

/** What is known of a call when it ends. */
export interface CallEnd {
  /** Some endpoint may have run it. */
  readonly mayHaveRun: boolean
  readonly timedOut: boolean
  readonly idempotent: boolean
  /** Typical time to an answer's head on the lane, in milliseconds. */
  readonly typicalMs: number
}

/** `not-run` where no endpoint can have run the call, else `unknown`. */
export function finalFault (message: string, { mayHaveRun, timedOut, idempotent, typicalMs }: CallEnd): errors.Fault {
  // Endpoints that shed or were gone may take the next try; one soon enough may still be in time.
  const soonS = Math.min(retryAfterFailureS, typicalMs * returnShareOfTypical / msPerSecond)
  if (!mayHaveRun) return { kind: 'not-run', message, retryAfterS: soonS }
  // A resend of an idempotent request is safe, and better once all instances know what this one has seen.
  return { kind: 'unknown', message, timedOut, ...(idempotent ? { retryAfterS: retryAfterFailureS } : {}) }
}

/** The caller may come back when the best of the queues will be empty. */
export function overloadedFault ({ expectedMs, why }: { readonly expectedMs: number, readonly why: string }): errors.Fault {
  return { kind: 'not-run', message: `each endpoint that was asked has a queue; ${why}`, retryAfterS: expectedMs / msPerSecond }
}
