/** Reasons why messages between control replicas fail, as labels of metrics and log lines. */
import * as connect from '@connectrpc/connect'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as rpcErrors from '@rosemaryrack/protocol/common/rpcErrors.js'

/** Message to another replica. */
export type MessageKind = 'heartbeat' | 'append' | 'snapshot' | 'pre-vote' | 'vote'

/** Reason of a failed message; a fault that is no typical reason keeps its kind. */
export type FailureReason = 'too-large' | 'timeout' | 'unreachable' | 'disk-full' | 'other-replica' | 'higher-term' | errors.ErrorKind

/** A failed message: the reason, and the message of the error. */
export interface MessageFailure {
  readonly reason: FailureReason
  readonly why: string
}

const reasonsByCode: ReadonlyMap<connect.Code, FailureReason> = new Map([
  [connect.Code.DeadlineExceeded, 'timeout'],
  [connect.Code.ResourceExhausted, 'too-large']
])

/** A link reports the library's errors as `unreachable`, with the name of their code in front of the message. */
const reasonsByPrefix: ReadonlyArray<readonly [string, FailureReason]> = [
  ['[deadline_exceeded]', 'timeout'],
  ['[resource_exhausted]', 'too-large']
]

const reasonsByFault: { readonly [K in errors.ErrorKind]?: FailureReason } = {
  // A replica reports that its disk is full; with any other disk failure its process ends.
  'disk-failure': 'disk-full',
  // The address belongs to a replica with another id.
  'not-found': 'other-replica',
  // The sender reports a missing response as a missing vote for its quorum.
  'no-quorum': 'timeout'
}

/** Returns why a message failed. */
export function classifyFailure (err: unknown): MessageFailure {
  const fault = rpcErrors.fromConnectError(err)
  return { reason: codeReason(err) ?? prefixReason(fault) ?? timeoutReason(fault) ?? reasonsByFault[fault.kind] ?? fault.kind, why: fault.message }
}

function codeReason (err: unknown): FailureReason | undefined {
  return err instanceof connect.ConnectError ? reasonsByCode.get(err.code) : undefined
}

function prefixReason ({ kind, message }: errors.Fault): FailureReason | undefined {
  return kind === 'unreachable' ? reasonsByPrefix.find(([prefix]) => message.startsWith(prefix))?.[1] : undefined
}

function timeoutReason (fault: errors.Fault): FailureReason | undefined {
  return fault.kind === 'unknown' && fault.timedOut ? 'timeout' : undefined
}
