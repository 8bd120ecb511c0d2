/** Connection to the inner listener of one other process. */
import * as net from 'node:net'
import type * as protobuf from '@bufbuild/protobuf'
import * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as headers from '../common/headers.js'
import * as rpcErrors from '../common/rpcErrors.js'
import * as compression from './compression.js'
import type * as callGuard from './callGuard.js'
import type * as innerListener from './innerListener.js'
import * as peerSessionManager from './peerSessionManager.js'

/** Allows several round trips between regions. A host that is down does not respond, and TCP itself retries only after seconds. */
const connectTimeoutMs = 500
const pingIntervalMs = 2000
const pingTimeoutMs = 1500
const idleConnectionTimeoutMs = 600_000

/** Time after a refused connection in which the preferred port isn't tried again. */
const refusedPortMs = 1000

/** Time for the response to a ping after a call has timed out. */
const verifyTimeoutMs = 500

/** What a call that timed out does to the connection: close it, close it only if it doesn't respond to a ping either, or leave it open for a stream that notices an unresponsive peer. */
export type TimeoutAction = 'reset' | 'verify' | 'keep'

/** A call timed out, and the peer may have run it. */
export class NoResponseError extends errors.RackError {
  constructor (message: string) {
    super({ kind: 'unknown', timedOut: true, message })
  }
}

/** Options of a link. */
export interface LinkOptions {
  /** Port of another listener with the same service, which is connected to unless it refuses. */
  readonly preferredPort?: number | undefined
}

/** Calls one service of a peer; a call that times out also closes the connection, unless it only verifies it. */
export class PeerLink<S extends protobuf.DescService> implements lifecycle.IDisposable {
  readonly client: connect.Client<S>
  private readonly sessions: peerSessionManager.PeerSessionManager
  private socket: net.Socket | undefined
  private preferredRefusedAt = -Infinity

  constructor (service: S, readonly address: string, identity: innerListener.LinkIdentity, private readonly options: LinkOptions = {}) {
    const baseUrl = `http://${address}`
    this.sessions = new peerSessionManager.PeerSessionManager(baseUrl, { pingIntervalMs, pingTimeoutMs, idleConnectionTimeoutMs }, {
      createConnection: (authority) => {
        this.socket = this.connect(authority, identity)
        return this.socket
      }
    })
    const transport = connectNode.createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager: this.sessions,
      interceptors: [createIdentityInterceptor(identity)],
      ...compression.clientOptions
    })
    this.client = connect.createClient(service, transport)
  }

  /** Bytes received on the current connection, also of messages that are not complete. */
  get receivedBytes (): number {
    return this.socket?.bytesRead ?? 0
  }

  /** Runs a unary call; throws the peer's fault, or `unreachable`, or `unknown` for a timeout after which the connection is verified. */
  async call<T> (run: (client: connect.Client<S>, options: connect.CallOptions) => Promise<T>, timeoutMs: number, onTimeout: TimeoutAction = 'reset'): Promise<T> {
    const ended = new AbortController()
    try {
      // Not a timeout of the library, which would count responses that arrived during a pause of this process as missing.
      return await async.withTimeout(run(this.client, { signal: ended.signal }), timeoutMs, newTimeoutError)
    } catch (err) {
      ended.abort()
      if (isTimeout(err)) this.handleTimeout(timeoutMs, onTimeout)
      throw new errors.RackError(rpcErrors.fromConnectError(err))
    }
  }

  private connect (authority: URL, identity: innerListener.LinkIdentity): net.Socket {
    const { preferredPort } = this.options
    const isPreferred = preferredPort !== undefined && performance.now() - this.preferredRefusedAt > refusedPortMs
    const socket = connectWithTimeout(connectTimeoutMs, authority.hostname, isPreferred ? preferredPort : Number(authority.port), identity)
    socket.once('error', (err: NodeJS.ErrnoException) => {
      // A peer that refuses both isn't running; it may listen at both ports when it does.
      if (err.code === 'ECONNREFUSED') this.preferredRefusedAt = isPreferred ? performance.now() : -Infinity
    })
    return socket
  }

  private handleTimeout (timeoutMs: number, onTimeout: TimeoutAction): void {
    if (onTimeout === 'keep') return
    if (onTimeout === 'reset') return this.reset()
    this.sessions.verifyConnection(verifyTimeoutMs)
    throw new NoResponseError(`no response from ${this.address} within ${timeoutMs} ms`)
  }

  /** Closes the connection; the next call opens a new one. TCP may take minutes to detect an unresponsive peer. */
  reset (): void {
    this.sessions.abort()
  }

  dispose (): void {
    this.sessions.abort()
  }
}

function connectWithTimeout (timeoutMs: number, host: string, port: number, identity: innerListener.LinkIdentity): net.Socket {
  const socket = net.connect({ host, port, localAddress: identity.sourceHost, noDelay: true })
  const timer = setTimeout(async () => {
    // After a pause of the process timers run before a completed connect is noticed.
    await async.nextTurn()
    if (socket.connecting) socket.destroy(new Error(`no connection within ${timeoutMs} ms`))
  }, timeoutMs)
  socket.once('connect', () => clearTimeout(timer))
  socket.once('close', () => clearTimeout(timer))
  return socket
}

function newTimeoutError (): connect.ConnectError {
  return new connect.ConnectError('the operation timed out', connect.Code.DeadlineExceeded)
}

function isTimeout (err: unknown): boolean {
  return err instanceof connect.ConnectError && err.code === connect.Code.DeadlineExceeded
}

function createIdentityInterceptor (identity: callGuard.InnerIdentity): connect.Interceptor {
  return (next) => async (req) => {
    req.header.set(headers.authorizationHeader, secret.authorizationHeader(identity.token))
    req.header.set(headers.clusterHeader, identity.cluster)
    return await next(req)
  }
}
