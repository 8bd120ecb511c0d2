/** Judges and counts what callers on plain sockets got. */
import type * as byteConnection from './byteConnection.js'
import * as byteEndpoint from './byteEndpoint.js'

const idHeader = 'x-rosemaryrack-request-id'
const idHeaderLine = 'X-Rosemaryrack-Request-Id: '
const stampHeader = 'x-rosemaryrack-server-stamp'
const ok = 200
const firstRedirectStatus = 300

/** Returns in which way a response that looks complete isn't the endpoint's whole response to its request; undefined if it is or fails. */
export function findMixed (requestId: string, bytes: number, result: byteConnection.ByteOutcome['result']): string | undefined {
  if (typeof result === 'string') return undefined
  const { status, headers, body } = result
  if ((headers[idHeader] ?? requestId) !== requestId) return 'another request id'
  if (status < ok || status >= firstRedirectStatus) return undefined
  const whole = byteEndpoint.createBody(requestId, headers[stampHeader] ?? '', bytes)
  if (body.equals(whole)) return undefined
  if (whole.subarray(0, body.length).equals(body)) return 'a part of the body'
  if (body.subarray(0, whole.length).equals(whole)) return 'more than the body'
  return body.includes(idHeaderLine) ? 'a response to another request within the body' : 'another body'
}

/** Returns a name such as `200 length` or `cut`. */
export function nameResult (result: byteConnection.ByteOutcome['result']): string {
  return typeof result === 'string' ? result : `${result.status} ${result.framing}`
}

/** Counts outcomes by kind. */
export class OutcomeTally {
  private readonly tallies = new Map<string, Map<string, number>>()

  add (kind: string, outcome: string): void {
    const tally = this.tallies.get(kind) ?? new Map<string, number>()
    this.tallies.set(kind, tally.set(outcome, (tally.get(outcome) ?? 0) + 1))
  }

  /** Returns lines such as `unframed: 200 chunks 12, cut 1`. */
  format (): readonly string[] {
    return [...this.tallies].sort().map(([kind, tally]) => `${kind}: ${[...tally].sort().map(([name, count]) => `${name} ${count}`).join(', ')}`)
  }
}
