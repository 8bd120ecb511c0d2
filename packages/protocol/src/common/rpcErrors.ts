/** Carries faults through the inner protocol. */
import * as connect from '@connectrpc/connect'
import * as errors from '@rosemaryrack/base/common/errors.js'

const faultHeader = 'rack-fault'

/** Turns any thrown value into the error that the inner protocol carries. */
export function toConnectError (err: unknown): connect.ConnectError {
  if (!(err instanceof connect.ConnectError)) return carry(errors.faultOf(err))
  const fault = readFault(err.code, err.rawMessage)
  return fault === undefined ? err : carry(fault)
}

function carry (fault: errors.Fault): connect.ConnectError {
  const encoded = Buffer.from(JSON.stringify(fault)).toString('base64')
  return new connect.ConnectError(fault.message, codeOf(fault), { [faultHeader]: encoded })
}

/** The library says "resource exhausted" of a message that is too long, and "internal" of one it can't parse. */
function readFault (code: connect.Code, message: string): errors.Fault | undefined {
  if (code === connect.Code.ResourceExhausted) return { kind: 'too-large', message }
  return code === connect.Code.Internal ? { kind: 'bad-request', message } : undefined
}

/** Fault of a failed call: the peer's own, or `unreachable` when the transport failed. */
export function fromConnectError (err: unknown): errors.Fault {
  if (!(err instanceof connect.ConnectError)) return errors.faultOf(err)
  const encoded = err.metadata.get(faultHeader)
  if (encoded === null) return { kind: 'unreachable', message: err.message }
  return decodeFault(encoded) ?? { kind: 'unreachable', message: err.message }
}

function codeOf (fault: errors.Fault): connect.Code {
  if (fault.kind === 'unauthorized') return connect.Code.Unauthenticated
  if (fault.kind === 'wrong-cluster') return connect.Code.PermissionDenied
  if (fault.kind === 'bad-request') return connect.Code.InvalidArgument
  if (fault.kind === 'too-large') return connect.Code.ResourceExhausted
  return connect.Code.FailedPrecondition
}

function decodeFault (encoded: string): errors.Fault | undefined {
  try {
    const fault = JSON.parse(Buffer.from(encoded, 'base64').toString('utf8')) as errors.Fault
    return errors.isErrorKind(fault.kind) ? fault : undefined
  } catch {
    return undefined
  }
}
