/** Serves the requests of each connection one after the other: what a client sends ahead stays unread. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as parsingTurns from './parsingTurns.js'
import * as requestFeed from './requestFeed.js'

/** Requests of a connection whose responses are not complete. */
interface ConnectionState {
  readonly feed: requestFeed.RequestFeed
  unanswered: number
}

/**
 * Lets the parser of a connection go on once all of its requests have their responses. Requests that are much shorter than a part of the input
 * may be parsed together. To be called before the server listens.
 */
export function serveSequentially (server: http.Server): void {
  const turns = new parsingTurns.ParsingTurns()
  const connections = new WeakMap<net.Socket, ConnectionState>()
  server.on('connection', (socket: net.Socket) => {
    const state: ConnectionState = { feed: new requestFeed.RequestFeed(socket, () => state.unanswered === 0, turns), unanswered: 0 }
    connections.set(socket, state)
    socket.once('close', () => state.feed.discard())
  })
  server.prependListener('request', (req: http.IncomingMessage, res: http.ServerResponse) => {
    const state = connections.get(req.socket)!
    state.feed.noteRequest(req)
    state.unanswered++
    res.once('close', () => {
      state.unanswered--
      state.feed.continue()
    })
  })
}
