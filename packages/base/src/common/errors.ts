/** The closed list of error kinds, and the table from kind to answer. */

/** Everything that can go wrong and be told to a caller, an operator or another process. */
export type Fault =
  | { readonly kind: 'bad-request', readonly message: string }
  | { readonly kind: 'too-large', readonly message: string }
  | { readonly kind: 'unauthorized', readonly message: string }
  | { readonly kind: 'not-found', readonly message: string }
  | { readonly kind: 'no-lane', readonly message: string }
  | { readonly kind: 'not-run', readonly message: string, readonly retryAfterS: number }
  | { readonly kind: 'unknown', readonly message: string, readonly timedOut: boolean, readonly retryAfterS?: number }
  | { readonly kind: 'quarantined', readonly message: string, readonly retryAfterS: number }
  | { readonly kind: 'duplicate', readonly message: string }
  | { readonly kind: 'version-conflict', readonly message: string, readonly currentVersion: number }
  | { readonly kind: 'invalid-config', readonly message: string }
  | { readonly kind: 'invalid-settings', readonly message: string }
  | { readonly kind: 'not-leader', readonly message: string }
  | { readonly kind: 'no-quorum', readonly message: string }
  | { readonly kind: 'not-founded', readonly message: string }
  | { readonly kind: 'already-founded', readonly message: string }
  | { readonly kind: 'wrong-cluster', readonly message: string }
  | { readonly kind: 'corrupt-record', readonly message: string }
  | { readonly kind: 'disk-failure', readonly message: string }
  | { readonly kind: 'unreachable', readonly message: string }
  | { readonly kind: 'internal', readonly message: string }

export type ErrorKind = Fault['kind']

/** How an error kind is answered: HTTP status, and exit code of the programs. */
export interface Answer {
  readonly status: number
  readonly exitCode: number
}

/** Answer for each error kind. */
export const answers: { readonly [K in ErrorKind]: Answer } = {
  'bad-request': { status: 400, exitCode: 2 },
  'too-large': { status: 413, exitCode: 2 },
  unauthorized: { status: 401, exitCode: 3 },
  'not-found': { status: 404, exitCode: 4 },
  'no-lane': { status: 404, exitCode: 4 },
  'not-run': { status: 503, exitCode: 8 },
  unknown: { status: 502, exitCode: 7 },
  quarantined: { status: 503, exitCode: 8 },
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
  internal: { status: 500, exitCode: 1 }
}

const timedOutStatus = 504

/** HTTP status for a fault; a timeout of unknown outcome is a 504. */
export function statusOf (fault: Fault): number {
  if (fault.kind === 'unknown' && fault.timedOut) return timedOutStatus
  return answers[fault.kind].status
}

/** Seconds until a caller may come back, where the fault tells. */
export function retryAfterOf (fault: Fault): number | undefined {
  return 'retryAfterS' in fault ? fault.retryAfterS : undefined
}

/** JSON body that tells a fault. */
export function bodyOf (fault: Fault): { readonly error: Fault } {
  return { error: fault }
}

/** A fault on its way up the stack. */
export class RackError extends Error {
  constructor (readonly fault: Fault) {
    super(fault.message)
    this.name = 'RackError'
  }
}

/** Takes a thrown value as a fault; what is not a `RackError` is an internal one. */
export function faultOf (err: unknown): Fault {
  if (err instanceof RackError) return err.fault
  return { kind: 'internal', message: messageOf(err) }
}

/** Message of a thrown value. */
export function messageOf (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}

/** True when the text is one of the closed list of kinds. */
export function isErrorKind (text: string): text is ErrorKind {
  return Object.hasOwn(answers, text)
}
