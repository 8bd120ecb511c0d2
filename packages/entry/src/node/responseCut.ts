/** Why a response ended before it was complete. */
import type * as errors from '@rosemaryrack/base/common/errors.js'

/** How the body of a response ended before it was complete. */
export type CutReason = 'broken' | 'caller-left' | 'overdue' | 'stalled' | 'stopping' | 'too-long'

/** What the log says of a response that this process has cut; that the caller has left is logged with its connection. */
export const cutMessages: { readonly [K in CutReason]: string | undefined } = {
  broken: 'the response of the target was incomplete',
  overdue: 'the deadline passed before the target had sent the whole response',
  stalled: 'the caller took nothing of the response, or sent nothing of its request, while other requests waited for a slot',
  stopping: 'the process ends before the response is complete',
  'too-long': 'the response has no length and is too long to be held back for an HTTP/1.0 caller',
  'caller-left': undefined
}

/** Returns the fault of a response that was cut before its caller got any of it. */
export function cutFault (reason: CutReason): errors.Fault {
  return { kind: 'unknown', message: cutMessages[reason] ?? reason, timedOut: reason === 'overdue' }
}
