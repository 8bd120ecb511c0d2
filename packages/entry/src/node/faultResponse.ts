/** Sends the response to a request that this process refuses. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as headerRules from '../common/headerRules.js'

/** Parts of the response that the fault does not determine. */
export interface FaultResponseOptions {
  /** Headers besides those of every such response. */
  readonly headers: Readonly<Record<string, string>>
  /** Value of `Retry-After`. */
  readonly retryAfter: string | undefined
  /** Asks the client to close the connection. */
  readonly close: boolean
}

/** Sends the response; the connection of a request that was not read completely is closed after it. */
export function sendFault (req: http.IncomingMessage, res: http.ServerResponse, fault: errors.Fault, options: FaultResponseOptions): void {
  const body = JSON.stringify(errors.bodyOf(fault))
  res.setHeader('Content-Type', 'application/json')
  res.setHeader('Content-Length', Buffer.byteLength(body))
  res.setHeader(headerRules.outcomeHeader, fault.kind)
  for (const [name, value] of Object.entries(options.headers)) res.setHeader(name, value)
  if (options.retryAfter !== undefined) res.setHeader('Retry-After', options.retryAfter)
  // The unread rest of the body would be parsed as the next request.
  if (!req.complete || options.close) res.setHeader('Connection', 'close')
  res.writeHead(errors.statusOf(fault))
  res.end(req.method === 'HEAD' ? undefined : body)
  if (!req.complete) closeAfterResponse(req.socket)
}

/**
 * Reads and discards the rest of a refused request for a moment before the connection is closed, so that the client can
 * read the response.
 */
function closeAfterResponse (socket: net.Socket): void {
  const lingerMs = 500
  socket.resume()
  setTimeout(() => socket.destroy(), lingerMs).unref()
}
