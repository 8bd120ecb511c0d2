/** Which headers go on to the next hop, and the headers of this system's own. */

/** Names the request in logs, at targets and towards the caller. */
export const requestIdHeader = 'x-request-id'
/** Milliseconds that are left for an answer, towards targets; callers may send it to ask for less. */
export const deadlineHeader = 'rack-deadline-ms'
/** `not-run` from a target states that it did not run the request; towards callers, the kind of a refusal. */
export const outcomeHeader = 'rack-outcome'
export const notRunOutcome = 'not-run'
/** Load report in an answer, as published by ORCA. */
export const loadHeader = 'endpoint-load-metrics'
export const idempotencyKeyHeader = 'idempotency-key'

const hopByHop: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Names listed by a `Connection` header, which end at this hop too. */
function connectionNames (connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined) return new Set()
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()))
}

/** Pairs of a flat header list that go on, without those in `replaced`. */
export function forwardable (raw: readonly string[], connection: string | undefined, replaced: ReadonlySet<string>): string[] {
  const named = connectionNames(connection)
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase()
    if (hopByHop.has(name) || named.has(name) || replaced.has(name)) continue
    kept.push(raw[i]!, raw[i + 1]!)
  }
  return kept
}
