/** Value of `Retry-After` of a refused request. */

const msPerSecond = 1000
/** Largest value, as a share of the caller's remaining time; callers do not follow longer ones, which leave too little time for a retry. */
const maxShare = 1 / 3
/** Shortest fractional value, in seconds. */
export const minRetryAfterS = 0.01
/** Largest part by which a value below the limit is lowered at random, so that callers refused together do not return together. */
const spread = 0.25

/** What the caller can use. */
export interface RetryAfterOptions {
  /** Whether the settings allow fractions of seconds. */
  readonly fractional: boolean
  /** Time until which the caller waits, in milliseconds from now; undefined if it has not said so. */
  readonly remainingMs: number | undefined
  readonly random: number
}

/** Returns the value of the header. If the caller sent a deadline, the value is limited so that a retry is still possible before it. */
export function formatRetryAfter (seconds: number, { fractional, remainingMs, random }: RetryAfterOptions): string {
  if (!fractional || remainingMs === undefined) return String(Math.ceil(seconds))
  const limited = Math.min(seconds, remainingMs / msPerSecond * maxShare)
  // Most values are at the limit, which differs little between callers that were refused together.
  return Math.max(minRetryAfterS, limited * (1 - spread * random)).toFixed(3)
}
