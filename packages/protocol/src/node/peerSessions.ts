/** HTTP/2 sessions of a link, whose errors never end the process. */
import type * as http2 from 'node:http2'
import * as connectNode from '@connectrpc/connect-node'

/**
 * The library drops its listeners when it turns away from a session, although one that it destroyed for an unanswered
 * ping tells its error only later. Whoever uses the session learns of it through the stream.
 */
export class PeerSessions extends connectNode.Http2SessionManager {
  override async request (...args: Parameters<connectNode.Http2SessionManager['request']>): Promise<http2.ClientHttp2Stream> {
    const stream = await super.request(...args)
    const { session } = stream
    if (session?.listeners('error').includes(ignoreError) === false) session.on('error', ignoreError)
    return stream
  }
}

function ignoreError (): void {}
