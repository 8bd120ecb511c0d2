/** All error kinds, with the HTTP status and the exit code of each. */

/** An error that may be reported to a caller, an operator or another process. */
export type Fault =
  | { readonly kind: 'bad-request', readonly message: string }
  | { readonly kind: 'too-large', readonly message: string }
  | { readonly kind: 'unauthorized', readonly message: string }
  | { readonly kind: 'not-found', readonly message: string }
  /** The request did not arrive in time, so that it was certainly not run. */
  | { readonly kind: 'request-timeout', readonly message: string }
  /** No lane matches the request. */
  | { readonly kind: 'no-lane', readonly message: string }
  /** The request was certainly not run, so that it may be sent again. */
  | { readonly kind: 'not-run', readonly message: string, readonly retryAfterS: number }
  /** The request may have been run, but its outcome is not known. */
  | { readonly kind: 'unknown', readonly message: string, readonly timedOut: boolean, readonly retryAfterS?: number }
  /** The request crashed targets before and was not run again. */
  | { readonly kind: 'quarantined', readonly message: string, readonly retryAfterS: number }
  /** The workspace is over its quota. The request was certainly not run and will not be. */
  | { readonly kind: 'over-quota', readonly message: string, readonly retryAfterS: number }
  /** The same request, or a newer announcement, was accepted before. */
  | { readonly kind: 'duplicate', readonly message: string }
  | { readonly kind: 'version-conflict', readonly message: string, readonly currentVersion: number }
  | { readonly kind: 'invalid-config', readonly message: string }
  | { readonly kind: 'invalid-settings', readonly message: string }
  | { readonly kind: 'not-leader', readonly message: string }
  | { readonly kind: 'no-quorum', readonly message: string }
  /** The cluster of control replicas has not been founded yet. */
  | { readonly kind: 'not-founded', readonly message: string }
  | { readonly kind: 'already-founded', readonly message: string }
  | { readonly kind: 'wrong-cluster', readonly message: string }
  | { readonly kind: 'corrupt-record', readonly message: string }
  | { readonly kind: 'disk-failure', readonly message: string }
  | { readonly kind: 'unreachable', readonly message: string }
  /** The receiver doesn't support the call, such as a peer of an earlier version, or can't express the result. */
  | { readonly kind: 'unsupported', readonly message: string }
  | { readonly kind: 'internal', readonly message: string }

/** Kind of a fault, which determines its HTTP status and exit code. */
export type ErrorKind = Fault['kind']

/** HTTP status of responses and exit code of programs for an error kind. */
export interface ErrorCodes {
  readonly status: number
  readonly exitCode: number
}

/** Status and exit code of each error kind. */
export const errorCodes: { readonly [K in ErrorKind]: ErrorCodes } = {
  'bad-request': { status: 400, exitCode: 2 },
  'too-large': { status: 413, exitCode: 2 },
  unauthorized: { status: 401, exitCode: 3 },
  'not-found': { status: 404, exitCode: 4 },
  'request-timeout': { status: 408, exitCode: 8 },
  'no-lane': { status: 404, exitCode: 4 },
  'not-run': { status: 503, exitCode: 8 },
  unknown: { status: 502, exitCode: 7 },
  quarantined: { status: 503, exitCode: 8 },
  'over-quota': { status: 429, exitCode: 8 },
  duplicate: { status: 409, exitCode: 5 },
  'version-conflict': { status: 412, exitCode: 5 },
  'invalid-config': { status: 422, exitCode: 2 },
  'invalid-settings': { status: 422, exitCode: 2 },
  'not-leader': { status: 503, exitCode: 6 },
  'no-quorum': { status: 503, exitCode: 6 },
  'not-founded': { status: 503, exitCode: 6 },
  'already-founded': { status: 409, exitCode: 5 },
  'wrong-cluster': { status: 403, exitCode: 3 },
  'corrupt-record': { status: 500, exitCode: 9 },
  'disk-failure': { status: 500, exitCode: 9 },
  unreachable: { status: 503, exitCode: 6 },
  unsupported: { status: 501, exitCode: 2 },
  internal: { status: 500, exitCode: 1 }
}

const timedOutStatus = 504
/** End of the messages in which `JSON.parse` quotes a part of the text. */
const quotingMessageEnd = 'is not valid JSON'

/** Returns the HTTP status of a fault: 504 for an unknown outcome after a timeout, otherwise the status of its kind. */
export function statusOf (fault: Fault): number {
  if (fault.kind === 'unknown' && fault.timedOut) return timedOutStatus
  return errorCodes[fault.kind].status
}

/** Returns the seconds after which a caller may retry, if the fault contains them. */
export function retryAfterSecondsOf (fault: Fault): number | undefined {
  return 'retryAfterS' in fault ? fault.retryAfterS : undefined
}

/** Returns the JSON body of the response to a fault. */
export function bodyOf (fault: Fault): { readonly error: Fault } {
  return { error: fault }
}

/** Error that carries a fault. */
export class RackError extends Error {
  constructor (readonly fault: Fault) {
    super(fault.message)
    this.name = 'RackError'
  }
}

/** Returns the fault of a thrown value: an internal one for anything but a `RackError`. */
export function faultOf (err: unknown): Fault {
  if (err instanceof RackError) return err.fault
  return { kind: 'internal', message: messageOf(err) }
}

/** Returns the message of a thrown value. */
export function messageOf (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}

/** Returns the message of an error of `JSON.parse` without the text near it, which Node.js quotes and which may hold an API key. */
export function jsonMessageOf (err: unknown): string {
  const message = messageOf(err)
  return message.endsWith(quotingMessageEnd) ? 'unexpected character' : message
}

/** Returns true when the text is an error kind. */
export function isErrorKind (text: string): text is ErrorKind {
  return Object.hasOwn(errorCodes, text)
}
