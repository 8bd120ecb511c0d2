/** Which headers go on to the next hop, and the headers of this system's own. */
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'

/** Headers of a message, by names in lower case. */
export type MessageHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Towards callers, the kind of a refusal. */
export const outcomeHeader = 'rack-outcome'
/** Answer of a target that is not the endpoint which the request names; it didn't run the request. */
const misdirectedStatus = 421
const firstRedirect = 300
const unavailableStatus = 503
const msPerSecond = 1000
const leavingValue = '1'
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

/** True when a target states that it didn't run the request. */
export function statesNotRun (names: settings.HeaderNames, status: number, headers: MessageHeaders): boolean {
  const { name, value } = names.notRun
  const found = headers[name]
  if (found !== undefined && (value === undefined || found === value)) return true
  return names.expectedEndpoint !== undefined && status === misdirectedStatus
}

/** What a target says of itself in an answer that is its own. */
export function noticeOf (names: settings.HeaderNames, status: number, headers: MessageHeaders): endpointNotices.Notice {
  // The endpoint that a misdirected request names isn't the one that answers.
  if (status === misdirectedStatus) return { leaving: false }
  const leaving = names.targetLeaving?.some((name) => headers[name] === leavingValue) === true
  const away = names.targetAway === undefined || status !== unavailableStatus ? undefined : headers[names.targetAway]
  const awayMs = Number(away ?? NaN) * msPerSecond
  return awayMs > 0 ? { leaving, awayMs } : { leaving }
}

/** Why an answer isn't the target's to this request; undefined when it is. Only a success needs to prove it. */
export function findForeignSign (names: settings.HeaderNames, requestId: string, status: number, headers: MessageHeaders): string | undefined {
  if (names.targetStamp === undefined) return undefined
  const named = headers[names.requestId]
  if (named !== undefined && named !== requestId) return `it names request ${String(named)}`
  if (status >= firstRedirect) return undefined
  if (named === undefined) return 'it names no request'
  if (headers[names.targetStamp] === undefined) return `no header ${names.targetStamp}`
  return headers['content-encoding'] === undefined ? undefined : 'its body is encoded, which was not asked for'
}
