/** HTTP/2 sessions of a peer link, whose errors never end the process. */
import type * as http2 from 'node:http2'
import * as connectNode from '@connectrpc/connect-node'
import * as async from '@rosemaryrack/base/common/async.js'

/**
 * Adds an error listener to each session. The library removes its own listeners when it abandons a session, but a session
 * destroyed for an unanswered ping emits its error only later, which would end the process as an uncaught exception. Users
 * of the session receive the error through their stream.
 */
export class PeerSessionManager extends connectNode.Http2SessionManager {
  private current: http2.Http2Session | undefined
  private isVerifying = false

  override async request (...args: Parameters<connectNode.Http2SessionManager['request']>): Promise<http2.ClientHttp2Stream> {
    const stream = await super.request(...args)
    const { session } = stream
    this.current = session
    if (session?.listeners('error').includes(ignoreError) === false) session.on('error', ignoreError)
    return stream
  }

  /** Closes the connection unless it responds to a ping in time. A connection that isn't established yet has a timeout of its own. */
  async verifyConnection (timeoutMs: number): Promise<void> {
    const session = this.current
    if (this.isVerifying || session === undefined || session.closed || session.destroyed) return
    this.isVerifying = true
    const isResponsive = await async.settlesWithin(ping(session), timeoutMs)
    this.isVerifying = false
    if (!isResponsive && this.current === session) this.abort()
  }
}

/** Resolves when the peer responds, or when no ping can be sent because enough others are outstanding. */
async function ping (session: http2.Http2Session): Promise<void> {
  await new Promise<void>((resolve) => {
    if (!session.ping(() => resolve())) resolve()
  })
}

function ignoreError (): void {}
