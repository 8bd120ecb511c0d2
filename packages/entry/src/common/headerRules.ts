/** Selects the headers that are forwarded to the next hop, and interprets the load balancer's own headers. */
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'

/** Headers of a message by lower-case name. */
export type MessageHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Response header that tells the caller the error kind of a refused request. */
export const outcomeHeader = 'rack-outcome'
/** Status of a target that did not run the request because the request names another endpoint. */
const misdirectedStatus = 421
const firstRedirectStatus = 300
const unavailableStatus = 503
const noContentStatus = 204
const notModifiedStatus = 304
const msPerSecond = 1000
const leavingHeaderValue = '1'
const chunkedPattern = /(?:^|[,\s])chunked\s*$/i
const decimalPattern = /^\d+(?:\.\d+)?$/
/** Response header with a load report in the format of ORCA (Open Request Cost Aggregation). */
export const orcaLoadHeader = 'endpoint-load-metrics'
export const idempotencyKeyHeader = 'idempotency-key'

const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Begins the names of the headers between an instance that forwards a request and its peer; they go no further. */
export const forwardHeaderPrefix = 'rack-forward-'

/** Returns the names that a `Connection` header lists, which are hop-by-hop headers too. */
function parseConnectionHeader (connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined) return new Set()
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()))
}

/**
 * Returns the headers that are forwarded, without hop-by-hop headers, those of forwarding and those in `excluded`.
 * @param raw flat list of names and values.
 */
export function forwardableHeaders (raw: readonly string[], connection: string | undefined, excluded: ReadonlySet<string>): string[] {
  const connectionHeaders = parseConnectionHeader(connection)
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase()
    if (hopByHopHeaders.has(name) || name.startsWith(forwardHeaderPrefix) || connectionHeaders.has(name) || excluded.has(name)) continue
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

/**
 * Returns what a target states about itself in a response: whether it is leaving, for how long it is away, that is, asks to get no
 * requests, and how many requests per second it takes.
 */
export function parseNotice (names: settings.HeaderNames, status: number, headers: MessageHeaders): endpointNotices.Notice {
  // A 421 comes from a different endpoint than the one that the request names, so its notices do not apply to the latter.
  if (status === misdirectedStatus) return { leaving: false }
  const leaving = names.targetLeaving?.some((name) => headers[name] === leavingHeaderValue) === true
  const awayHeader = names.targetAway === undefined || status !== unavailableStatus ? undefined : headers[names.targetAway]
  const awayMs = Number(awayHeader ?? NaN) * msPerSecond
  const limit = parseLimit(names, status, headers)
  return { leaving, ...(awayMs > 0 ? { awayMs } : {}), ...(limit === undefined ? {} : { limit }) }
}

/** Returns the notice in the response to a health check. It can name a limit, but only a response to a request shows that there is none. */
export function parseHealthCheckNotice (names: settings.HeaderNames, status: number, headers: MessageHeaders): endpointNotices.Notice {
  const { limit, ...rest } = parseNotice(names, status, headers)
  const coldLeftMs = parseColdLeft(names, status, headers)
  const notice = coldLeftMs === undefined ? rest : { ...rest, coldLeftMs }
  return limit === undefined || limit.kind === 'not-named' ? notice : { ...notice, limit }
}

/** Returns how much longer the target is cold, in milliseconds; undefined if the response does not state it as one decimal number. */
function parseColdLeft (names: settings.HeaderNames, status: number, headers: MessageHeaders): number | undefined {
  const value = names.coldLeft === undefined || status === misdirectedStatus ? undefined : headers[names.coldLeft]
  return typeof value === 'string' && decimalPattern.test(value) ? Number(value) : undefined
}

/** Returns what a response states about the target's limit. That there is none is stated only by a success, which every target makes itself. */
function parseLimit (names: settings.HeaderNames, status: number, headers: MessageHeaders): endpointNotices.LimitStatement | undefined {
  if (names.targetLimit === undefined) return undefined
  const values = [...new Set(names.targetLimit.flatMap((name) => headers[name] ?? []))]
  const [value] = values
  if (value === undefined) return status < firstRedirectStatus ? { kind: 'not-named' } : undefined
  const perSecond = Number(value)
  const isValid = values.length === 1 && decimalPattern.test(value) && Number.isFinite(perSecond)
  return isValid ? { kind: 'named', perSecond } : { kind: 'invalid', value: values.join(', ') }
}

/**
 * Returns why a response is not the target's response to this request; undefined when it is. A successful response must have
 * the id of the request and the stamp of the target; any other must have the id only if `mustHaveId` is set.
 */
export function findMismatch (names: settings.HeaderNames, requestId: string, status: number, headers: MessageHeaders, mustHaveId = false): string | undefined {
  if (names.targetStamp === undefined) return undefined
  const receivedId = headers[names.requestId]
  if (receivedId !== undefined && receivedId !== requestId) return `it has the id of request ${String(receivedId)}`
  const isSuccess = status < firstRedirectStatus
  if (receivedId === undefined && (isSuccess || mustHaveId)) return 'it has no request id'
  if (!isSuccess) return undefined
  if (headers[names.targetStamp] === undefined) return `it has no header ${names.targetStamp}`
  return headers['content-encoding'] === undefined ? undefined : 'its body has an encoding that was not requested'
}

/** Returns whether the headers determine where the body ends. */
export function isFramed (headers: MessageHeaders): boolean {
  // A body with another last transfer coding ends with its connection (RFC 9112, section 6.3).
  return headers['content-length'] !== undefined || chunkedPattern.test(String(headers['transfer-encoding'] ?? ''))
}

/** Returns whether the response to a request can have a body. */
export function canHaveBody (method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && status !== noContentStatus && status !== notModifiedStatus
}
