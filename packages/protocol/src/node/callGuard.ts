/** Authenticates callers, and converts the RPC library's own rejections into faults of `errors.ErrorKind`. */
import * as connect from '@connectrpc/connect'
import type * as connectProtocol from '@connectrpc/connect/protocol'
import * as connectWire from '@connectrpc/connect/protocol-connect'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as headers from '../common/headers.js'
import * as rpcErrors from '../common/rpcErrors.js'

const minErrorStatus = 400
const tooLargeStatus = connectWire.codeToHttpStatus(connect.Code.ResourceExhausted)

/** Cluster name and token that each inner call must present. */
export interface InnerIdentity {
  readonly cluster: string
  readonly token: string
}

/** Whether the library has parsed a call and passed it on to the service's code. */
interface CallState {
  hasReachedService: boolean
}

const callStateKey = connect.createContextKey<CallState>({ hasReachedService: false })

/** Wraps each handler of a router in a guard; call after all services have been registered. */
export function guardHandlers (router: connect.ConnectRouter, identity: InnerIdentity): void {
  router.handlers.splice(0, router.handlers.length, ...router.handlers.map((handler) => guardHandler(handler, identity)))
}

/** Marks that a call reached the service's code, and converts its errors to protocol errors. */
export const faultInterceptor: connect.Interceptor = (next) => async (req) => {
  req.contextValues.get(callStateKey).hasReachedService = true
  try {
    const res = await next(req)
    return res.stream ? { ...res, message: convertStreamErrors(res.message) } : res
  } catch (err) {
    throw rpcErrors.toConnectError(err)
  }
}

/** Converts errors of a response stream, which are thrown while it is read, after the call itself returned. */
async function * convertStreamErrors<T> (messages: AsyncIterable<T>): AsyncIterable<T> {
  try {
    yield * messages
  } catch (err) {
    throw rpcErrors.toConnectError(err)
  }
}

/** Rejects unauthenticated calls, and replaces the library's own error responses by faults. */
function guardHandler (handler: connectProtocol.UniversalHandler, identity: InnerIdentity): connectProtocol.UniversalHandler {
  const guard = async (req: connectProtocol.UniversalServerRequest): Promise<connectProtocol.UniversalServerResponse> => {
    const rejection = checkCaller(identity, req.header)
    if (rejection !== undefined) return createErrorResponse(rejection)
    const callState: CallState = { hasReachedService: false }
    const contextValues = connect.createContextValues().set(callStateKey, callState)
    const res = await handler({ ...req, contextValues })
    return callState.hasReachedService || res.status < minErrorStatus ? res : createErrorResponse(unparsableRequestFault(handler, res.status))
  }
  return Object.assign(guard, handler)
}

/** Checks token and cluster before any byte of the message is read, so that unauthenticated callers cannot cause buffering or parsing. */
function checkCaller (identity: InnerIdentity, header: Headers): errors.Fault | undefined {
  if (!secret.isAuthorized(header.get(headers.authorizationHeader), identity.token)) {
    return { kind: 'unauthorized', message: 'the inner token is missing or wrong' }
  }
  const cluster = header.get(headers.clusterHeader)
  if (cluster === identity.cluster) return undefined
  return { kind: 'wrong-cluster', message: `expected cluster ${identity.cluster}, found ${cluster ?? 'none'}` }
}

function unparsableRequestFault (handler: connectProtocol.UniversalHandler, status: number): errors.Fault {
  const method = `${handler.service.typeName}/${handler.method.name}`
  if (status === tooLargeStatus) return { kind: 'too-large', message: `message is longer than ${method} accepts` }
  return { kind: 'bad-request', message: `malformed request for ${method} (rejected with status ${status} by the RPC library)` }
}

function createErrorResponse (fault: errors.Fault): connectProtocol.UniversalServerResponse {
  const err = rpcErrors.toConnectError(new errors.RackError(fault))
  const header = new Headers(err.metadata)
  header.set('content-type', connectWire.contentTypeUnaryJson)
  return {
    status: connectWire.codeToHttpStatus(err.code),
    header,
    body: singleChunk(connectWire.errorToJsonBytes(err, undefined))
  }
}

async function * singleChunk (bytes: Uint8Array): AsyncIterable<Uint8Array> {
  yield bytes
}
