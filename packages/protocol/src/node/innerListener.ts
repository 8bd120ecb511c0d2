/** Listener of the inner protocol: HTTP/2, guarded by token and cluster name. */
import * as http2 from 'node:http2'
import type * as net from 'node:net'
import * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as address from '@rosemaryrack/base/common/address.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as callGuard from './callGuard.js'
import * as compression from './compression.js'

const maxMessageBytes = 33_554_432
const maxHeaderListPairs = 64

/** Identity of a process that connects to others. */
export interface LinkIdentity extends callGuard.InnerIdentity {
  /** IP address from which it connects: that of its own inner listener. */
  readonly sourceHost: string
}

/** Returns the identity of the process with the given inner settings. */
export function createLinkIdentity (cluster: string, inner: { readonly listen: string, readonly token: string }): LinkIdentity {
  return { cluster, token: inner.token, sourceHost: address.parseAddress(inner.listen).host }
}

/** Serves the inner services of one process. */
export class InnerListener implements lifecycle.IDisposable {
  private readonly sessions = new Set<http2.ServerHttp2Session>()
  private readonly server: http2.Http2Server

  constructor (identity: callGuard.InnerIdentity, routes: (router: connect.ConnectRouter) => void) {
    const handler = connectNode.connectNodeAdapter({
      routes: (router) => {
        routes(router)
        callGuard.guardHandlers(router, identity)
      },
      interceptors: [callGuard.faultInterceptor],
      readMaxBytes: maxMessageBytes,
      ...compression.serverOptions,
      grpc: false,
      grpcWeb: false
    })
    this.server = http2.createServer({ maxHeaderListPairs }, handler)
    this.server.on('connection', (socket: net.Socket) => socket.setNoDelay(true))
    this.server.on('session', (session) => this.trackSession(session))
    // An error of one session concerns only its own calls, which fail with it.
    this.server.on('sessionError', () => {})
  }

  /** Starts to listen; rejects when the address can't be bound. */
  listen (hostPort: string): Promise<void> {
    const { host, port } = address.parseAddress(hostPort)
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  dispose (): void {
    this.server.close()
    for (const session of this.sessions) session.destroy()
  }

  private trackSession (session: http2.ServerHttp2Session): void {
    this.sessions.add(session)
    session.on('close', () => this.sessions.delete(session))
    // An error of one session must not end the process.
    session.on('error', () => {})
  }
}
