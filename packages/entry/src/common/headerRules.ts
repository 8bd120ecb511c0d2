/** Selects the headers that are forwarded to the next hop, and reads headers with a meaning for this system. */
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'

/** Headers of a message by lower-case name. */
export type MessageHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Response header to callers with the kind of a refusal. */
export const outcomeHeader = 'rack-outcome'
/** Status from a target that is not the endpoint named in the request, and did not run the request. */
const misdirectedStatus = 421
const firstRedirectStatus = 300
const unavailableStatus = 503
const msPerSecond = 1000
const leavingValue = '1'
/** Response header with a load report in the format of ORCA (Open Request Cost Aggregation). */
export const loadHeader = 'endpoint-load-metrics'
export const idempotencyKeyHeader = 'idempotency-key'

const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Returns the names that a `Connection` header lists, which are hop-by-hop headers too. */
function parseConnectionHeader (connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined) return new Set()
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()))
}

/**
 * Returns the headers that are forwarded, without hop-by-hop headers and those in `excluded`.
 * @param raw flat list of names and values.
 */
export function forwardableHeaders (raw: readonly string[], connection: string | undefined, excluded: ReadonlySet<string>): string[] {
  const connectionHeaders = parseConnectionHeader(connection)
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase()
    if (hopByHopHeaders.has(name) || connectionHeaders.has(name) || excluded.has(name)) continue
    kept.push(raw[i]!, raw[i + 1]!)
  }
  return kept
}

/** Returns true if a target states that it did not run the request. */
export function statesNotRun (names: settings.HeaderNames, status: number, headers: MessageHeaders): boolean {
  const { name, value } = names.notRun
  const received = headers[name]
  if (received !== undefined && (value === undefined || received === value)) return true
  return names.expectedEndpoint !== undefined && status === misdirectedStatus
}

/** Returns what a target states about itself in a response: whether it is leaving, and how long a pause in requests it asks for. */
export function parseNotice (names: settings.HeaderNames, status: number, headers: MessageHeaders): endpointNotices.Notice {
  // The response to a misdirected request comes from another endpoint than the one that the request names.
  if (status === misdirectedStatus) return { leaving: false }
  const leaving = names.targetLeaving?.some((name) => headers[name] === leavingValue) === true
  const awayHeader = names.targetAway === undefined || status !== unavailableStatus ? undefined : headers[names.targetAway]
  const awayMs = Number(awayHeader ?? NaN) * msPerSecond
  return awayMs > 0 ? { leaving, awayMs } : { leaving }
}

/**
 * Returns why a response is not the target's response to this request; undefined when it is. Only a successful response
 * must have the id of the request and the stamp of the target.
 */
export function findMismatch (names: settings.HeaderNames, requestId: string, status: number, headers: MessageHeaders): string | undefined {
  if (names.targetStamp === undefined) return undefined
  const receivedId = headers[names.requestId]
  if (receivedId !== undefined && receivedId !== requestId) return `it has the id of request ${String(receivedId)}`
  if (status >= firstRedirectStatus) return undefined
  if (receivedId === undefined) return 'it has no request id'
  if (headers[names.targetStamp] === undefined) return `it has no header ${names.targetStamp}`
  return headers['content-encoding'] === undefined ? undefined : 'its body has an encoding that was not requested'
}
