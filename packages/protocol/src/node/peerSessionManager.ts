/** HTTP/2 sessions of a peer link, whose errors never end the process. */
import type * as http2 from 'node:http2'
import * as connectNode from '@connectrpc/connect-node'

/**
 * Adds an error listener to each session. The library removes its own listeners when it abandons a session, but a session
 * destroyed for an unanswered ping emits its error only later, which would end the process as an uncaught exception. Users
 * of the session receive the error through their stream.
 */
export class PeerSessionManager extends connectNode.Http2SessionManager {
  override async request (...args: Parameters<connectNode.Http2SessionManager['request']>): Promise<http2.ClientHttp2Stream> {
    const stream = await super.request(...args)
    const { session } = stream
    if (session?.listeners('error').includes(ignoreError) === false) session.on('error', ignoreError)
    return stream
  }
}

function ignoreError (): void {}
