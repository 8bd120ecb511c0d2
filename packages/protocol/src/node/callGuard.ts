/** Checks who calls, and turns what the RPC library refuses by itself into faults of the closed list. */
import * as connect from '@connectrpc/connect'
import type * as connectProtocol from '@connectrpc/connect/protocol'
import * as connectWire from '@connectrpc/connect/protocol-connect'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as headers from '../common/headers.js'
import * as rpcErrors from '../common/rpcErrors.js'

const firstErrorStatus = 400
const tooLargeStatus = connectWire.codeToHttpStatus(connect.Code.ResourceExhausted)

/** What an inner listener checks on each call. */
export interface InnerIdentity {
  readonly cluster: string
  readonly token: string
}

/** Whether a call got past the library's parsing and reached our own code. */
interface Reach {
  reached: boolean
}

const reachKey = connect.createContextKey<Reach>({ reached: false })

/** Guards each handler of a router, once all services are registered. */
export function guardHandlers (router: connect.ConnectRouter, identity: InnerIdentity): void {
  router.handlers.splice(0, router.handlers.length, ...router.handlers.map((handler) => guarded(handler, identity)))
}

/** Notes that a call reached our code, and gives its errors the form in which they are carried. */
export const carryFaults: connect.Interceptor = (next) => async (req) => {
  req.contextValues.get(reachKey).reached = true
  try {
    const res = await next(req)
    return res.stream ? { ...res, message: carried(res.message) } : res
  } catch (err) {
    throw rpcErrors.toConnectError(err)
  }
}

/** A stream's errors come while it is read, long after the call itself returned. */
async function * carried<T> (messages: AsyncIterable<T>): AsyncIterable<T> {
  try {
    yield * messages
  } catch (err) {
    throw rpcErrors.toConnectError(err)
  }
}

function guarded (handler: connectProtocol.UniversalHandler, identity: InnerIdentity): connectProtocol.UniversalHandler {
  const guard = async (req: connectProtocol.UniversalServerRequest): Promise<connectProtocol.UniversalServerResponse> => {
    const refused = refusalOf(identity, req.header)
    if (refused !== undefined) return answerOf(refused)
    const reach: Reach = { reached: false }
    const contextValues = connect.createContextValues().set(reachKey, reach)
    const res = await handler({ ...req, contextValues })
    return reach.reached || res.status < firstErrorStatus ? res : answerOf(unreadable(handler, res.status))
  }
  return Object.assign(guard, handler)
}

/** Before any byte of the message is read: strangers must not make us buffer and parse. */
function refusalOf (identity: InnerIdentity, header: Headers): errors.Fault | undefined {
  if (!secret.isAuthorized(header.get(headers.authorizationHeader), identity.token)) {
    return { kind: 'unauthorized', message: 'the inner token is missing or wrong' }
  }
  const cluster = header.get(headers.clusterHeader)
  if (cluster === identity.cluster) return undefined
  return { kind: 'wrong-cluster', message: `this is cluster ${identity.cluster}, not ${cluster ?? 'unnamed'}` }
}

function unreadable (handler: connectProtocol.UniversalHandler, status: number): errors.Fault {
  const method = `${handler.service.typeName}/${handler.method.name}`
  if (status === tooLargeStatus) return { kind: 'too-large', message: `longer than ${method} takes` }
  return { kind: 'bad-request', message: `not a request that ${method} can read (refused with ${status} while reading it)` }
}

function answerOf (fault: errors.Fault): connectProtocol.UniversalServerResponse {
  const err = rpcErrors.toConnectError(new errors.RackError(fault))
  const header = new Headers(err.metadata)
  header.set('content-type', connectWire.contentTypeUnaryJson)
  return {
    status: connectWire.codeToHttpStatus(err.code),
    header,
    body: once(connectWire.errorToJsonBytes(err, undefined))
  }
}

async function * once (bytes: Uint8Array): AsyncIterable<Uint8Array> {
  yield bytes
}
