/** Sends the response to a request that this process refuses. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as headerRules from '../common/headerRules.js'

const lingerMs = 500

/** Parts of the response that the fault does not determine. */
export interface FaultResponseOptions {
  /** Headers besides those of every such response. */
  readonly headers: Readonly<Record<string, string>>
  /** Value of `Retry-After`. */
  readonly retryAfter: string | undefined
  /** Asks the client to close the connection. */
  readonly close: boolean
  /**
   * Reads and discards the rest of the body for a moment instead of closing the connection with the response: a client that is still
   * writing may notice the close before it reads the response.
   */
  readonly drainsBody: boolean
}

/** Returns the header that a 401 must have (RFC 9110, section 11.6.1). */
export function challengeOf ({ kind }: errors.Fault): Readonly<Record<string, string>> {
  return kind === 'unauthorized' ? { 'WWW-Authenticate': 'Bearer' } : {}
}

/**
 * Sends the response. The connection of a request that was not read completely is closed after it, unless its body is drained.
 * Returns whether the response announces that the connection is closed.
 */
export function sendFault (req: http.IncomingMessage, res: http.ServerResponse, fault: errors.Fault, options: FaultResponseOptions): boolean {
  const body = JSON.stringify(errors.bodyOf(fault))
  res.setHeader('Content-Type', 'application/json')
  res.setHeader('Content-Length', Buffer.byteLength(body))
  res.setHeader(headerRules.outcomeHeader, fault.kind)
  for (const [name, value] of Object.entries(options.headers)) res.setHeader(name, value)
  if (options.retryAfter !== undefined) res.setHeader('Retry-After', options.retryAfter)
  const isDraining = !req.complete && options.drainsBody
  // The unread rest of the body would be parsed as the next request.
  const announcesEnd = !isDraining && (!req.complete || options.close)
  if (announcesEnd) res.setHeader('Connection', 'close')
  const status = errors.statusOf(fault)
  // Without a reason phrase, the one of a head that could not be sent would remain.
  res.writeHead(status, http.STATUS_CODES[status])
  res.end(req.method === 'HEAD' ? undefined : body)
  if (isDraining) drainBody(req)
  else if (!req.complete) closeAfterResponse(req.socket)
  return announcesEnd
}

/** Throws the fault of a request that is refused as soon as it is received: the parser reports the end of one without a body only after the event of its head. */
export async function throwAfterParsing (fault: errors.Fault): Promise<never> {
  await async.nextTurn()
  throw new errors.RackError(fault)
}

function drainBody (req: http.IncomingMessage): void {
  const { socket } = req
  const timer = setTimeout(() => socket.destroy(), lingerMs).unref()
  req.once('end', () => clearTimeout(timer))
  req.resume()
}

/**
 * Reads and discards the rest of a refused request for a moment before the connection is closed, so that the client can
 * read the response.
 */
function closeAfterResponse (socket: net.Socket): void {
  // Node.js would destroy the connection with the response, so that a further byte of the body resets it.
  socket.destroySoon = () => { socket.end() }
  socket.resume()
  setTimeout(() => socket.destroy(), lingerMs).unref()
}
