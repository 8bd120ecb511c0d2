/** Converts faults to and from errors of the inner protocol. */
import * as connect from '@connectrpc/connect'
import * as errors from '@rosemaryrack/base/common/errors.js'

const faultHeader = 'rack-fault'

/** Converts any thrown value to a protocol error with the fault encoded in its headers. */
export function toConnectError (err: unknown): connect.ConnectError {
  if (!(err instanceof connect.ConnectError)) return encodeFault(errors.faultOf(err))
  const fault = faultOfLibraryError(err.code, err.rawMessage)
  return fault === undefined ? err : encodeFault(fault)
}

function encodeFault (fault: errors.Fault): connect.ConnectError {
  const encoded = Buffer.from(JSON.stringify(fault)).toString('base64')
  return new connect.ConnectError(fault.message, connectCodeOf(fault), { [faultHeader]: encoded })
}

/** Returns the fault behind an error of the library, which uses "resource exhausted" for a message that is too long, and "internal" for one it cannot parse. */
function faultOfLibraryError (code: connect.Code, message: string): errors.Fault | undefined {
  if (code === connect.Code.ResourceExhausted) return { kind: 'too-large', message }
  return code === connect.Code.Internal ? { kind: 'bad-request', message } : undefined
}

/** Returns the fault of a failed call: the one the peer reported, `unsupported` if the peer doesn't know the call, or `unreachable` if the transport failed. */
export function fromConnectError (err: unknown): errors.Fault {
  if (!(err instanceof connect.ConnectError)) return errors.faultOf(err)
  const encoded = err.metadata.get(faultHeader)
  if (encoded === null) return { kind: err.code === connect.Code.Unimplemented ? 'unsupported' : 'unreachable', message: err.message }
  return decodeFault(encoded) ?? { kind: 'unreachable', message: err.message }
}

function connectCodeOf (fault: errors.Fault): connect.Code {
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
