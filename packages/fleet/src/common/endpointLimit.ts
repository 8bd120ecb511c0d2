/** Limit on the requests that an endpoint takes from all entry instances together, as the endpoint names it in its responses. */

const minPerSecond = 0.1
/** Window in which the requests to a limited endpoint are counted. */
export const windowMs = 4000

/** Returns the rate at which requests are sent under a limit. It is never 0, since only a response can show that the limit has ended. */
export function sendRate (perSecond: number): number {
  return Math.max(minPerSecond, perSecond)
}

/** A limit and how the instances' knowledge of it is ordered. */
export interface EndpointLimit {
  /** Requests per second from all instances together; undefined once the endpoint no longer names a limit. */
  readonly perSecond: number | undefined
  /** Number of changes of the limit in this incarnation; of two states, the one with the higher number is the later. */
  readonly revision: number
  /** Local time since which this instance has known it. */
  readonly knownSince: number
}

/** What a peer reports of a limit. */
export type ReportedLimit = Pick<EndpointLimit, 'perSecond' | 'revision'>

/**
 * Returns the limit after a response, or undefined if the response changes nothing.
 * @param named the limit in the response; undefined if it names none.
 * @param requestedAt local time at which the request of the response was sent.
 */
export function applyResponse (known: EndpointLimit | undefined, named: number | undefined, requestedAt: number, now: number): EndpointLimit | undefined {
  if (known?.perSecond === named) return undefined
  // Responses can overtake each other: one whose request was sent before the limit was known may be older than the limit.
  const mayBeOlder = known !== undefined && requestedAt < known.knownSince
  if (mayBeOlder && !isLower(named, known.perSecond)) return undefined
  return { perSecond: named, revision: (known?.revision ?? 0) + 1, knownSince: now }
}

/** Returns whether a limit that a peer reports replaces the known one. Of two concurrent changes, all instances take the lower limit. */
export function isLater (reported: ReportedLimit, known: ReportedLimit | undefined): boolean {
  if (known === undefined || reported.revision !== known.revision) return reported.revision > (known?.revision ?? 0)
  return isLower(reported.perSecond, known.perSecond)
}

/** Compares two limits; no limit is the highest. */
function isLower (a: number | undefined, b: number | undefined): boolean {
  return (a ?? Infinity) < (b ?? Infinity)
}
