/** HTTP listener for operators and targets: routes, authorization, limits, error responses. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as h3 from 'h3'
import * as h3Node from 'h3/node'
import * as address from '@rosemaryrack/base/common/address.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as sequentialRequests from './sequentialRequests.js'

const maxBodyBytes = 1_048_576
/** Limit on the bytes of all bodies that are being received. */
const maxHeldBytes = 33_554_432
const maxHeaderBytes = 16_384
const headersTimeoutMs = 10_000
const requestTimeoutMs = 30_000
const lingerMs = 500
const fullRetryAfterS = 1
/** Code of the error of a request that did not arrive in time. */
export const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT'
const headerOverflowCode = 'HPE_HEADER_OVERFLOW'
const headerOverflowStatus = 431

/** A request as passed to the handler of a route. */
export interface RouteReq {
  readonly params: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  readonly headers: Headers
  /** Parses the body as JSON; throws `bad-request` or `too-large`. */
  json(): Promise<unknown>
  /** @param maxBytes limit on the body, 1 MiB by default. */
  text(maxBytes?: number): Promise<string>
}

/** Response of a route; an object as body is sent as JSON. */
export interface RouteRes {
  readonly status?: number
  readonly headers?: Readonly<Record<string, string>>
  readonly body: object | string
}

export type RouteMethod = 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE'

/** Registers routes; each role adds its own to the listener that it is given. */
export interface IRoutes {
  /** Adds a route that needs the bearer token. */
  route(method: RouteMethod, path: string, handler: (req: RouteReq) => Promise<RouteRes>): void
  /** Adds a route that needs no token. */
  openRoute(method: RouteMethod, path: string, handler: (req: RouteReq) => Promise<RouteRes>): void
}

/** Listens on one address and protects its routes with a bearer token. */
export class HttpListener implements IRoutes {
  private readonly app = new h3.H3()
  private server: http.Server | undefined
  /** Bytes of the bodies that are being received. */
  private heldBytes = 0

  constructor (private readonly token: string) {
    this.app.all('/**', () => errorResponse({ kind: 'not-found', message: 'no such resource' }))
  }

  route (method: RouteMethod, path: string, handler: (req: RouteReq) => Promise<RouteRes>): void {
    this.addRoute(method, path, handler, true)
  }

  openRoute (method: RouteMethod, path: string, handler: (req: RouteReq) => Promise<RouteRes>): void {
    this.addRoute(method, path, handler, false)
  }

  /** Starts to listen; rejects when the address cannot be bound. */
  listen (hostPort: string): Promise<void> {
    const { host, port } = address.parseAddress(hostPort)
    const server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: requestTimeoutMs
    }, h3Node.toNodeHandler(this.app) as http.RequestListener)
    sequentialRequests.serveSequentially(server)
    server.on('clientError', respondToClientError)
    this.server = server
    return listen(server, host, port)
  }

  dispose (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private addRoute (method: RouteMethod, path: string, handler: (req: RouteReq) => Promise<RouteRes>, requiresToken: boolean): void {
    this.app.on(method, path, async (event) => {
      try {
        if (requiresToken) this.authorize(event)
        return toResponse(await handler(this.toRouteReq(event)))
      } catch (err) {
        return errorResponse(errors.faultOf(err))
      }
    })
  }

  private toRouteReq (event: h3.H3Event): RouteReq {
    return {
      params: event.context.params ?? {},
      query: event.url.searchParams,
      headers: event.req.headers,
      json: async () => parseJson(await this.readText(event)),
      text: async (maxBytes) => await this.readText(event, maxBytes)
    }
  }

  private async readText (event: h3.H3Event, maxBytes = maxBodyBytes): Promise<string> {
    const chunks: Uint8Array[] = []
    let size = 0
    try {
      for await (const chunk of event.req.body ?? []) {
        size += chunk.byteLength
        this.heldBytes += chunk.byteLength
        if (size > maxBytes) throw new errors.RackError({ kind: 'too-large', message: `the body exceeds ${maxBytes} bytes` })
        if (this.heldBytes > maxHeldBytes) throw new errors.RackError({ kind: 'not-run', message: 'too many bodies are being received', retryAfterS: fullRetryAfterS })
        chunks.push(chunk)
      }
      return Buffer.concat(chunks).toString('utf8')
    } finally {
      this.heldBytes -= size
    }
  }

  private authorize (event: h3.H3Event): void {
    if (secret.isAuthorized(event.req.headers.get('authorization'), this.token)) return
    throw new errors.RackError({ kind: 'unauthorized', message: 'the bearer token is missing or wrong' })
  }
}

/** Binds a server; resolves when it listens, rejects when it cannot. */
export function listen (server: net.Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/** Responds to a request that the HTTP parser rejected or that did not arrive in time, and closes the connection, whose framing is no longer reliable. A response in progress is completed instead. */
export function respondToClientError (err: NodeJS.ErrnoException, socket: net.Socket): void {
  // The timeout of the headers also applies to connections on which no request has begun.
  if (err.code === 'ECONNRESET' || !socket.writable || socket.bytesRead === 0) {
    socket.destroy()
    return
  }
  const res = responseInProgress(socket)
  // An error in the body of a request without a response is this request's own.
  if (res !== undefined && (res.headersSent || res.req.complete)) {
    discardInput(socket)
    closeAfterResponses(socket)
    return
  }
  const fault = toParserFault(err)
  const body = JSON.stringify(errors.bodyOf(fault))
  const status = err.code === headerOverflowCode ? headerOverflowStatus : errors.statusOf(fault)
  discardInput(socket)
  socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`)
  destroyAfterLinger(socket)
}

/** Returns the response that the connection carries at present; Node.js has no public property for it. */
function responseInProgress (socket: net.Socket): http.ServerResponse | undefined {
  return (socket as { _httpMessage?: http.ServerResponse | null })._httpMessage ?? undefined
}

/** Closes the connection once the current response and those queued behind it are complete. */
function closeAfterResponses (socket: net.Socket): void {
  const res = responseInProgress(socket)
  if (res === undefined) {
    socket.end()
    destroyAfterLinger(socket)
  } else {
    res.once('close', () => closeAfterResponses(socket))
  }
}

/** Takes the input away from the HTTP parser, which would pass on a request that is complete only now. */
function discardInput (socket: net.Socket): void {
  socket.removeAllListeners('data')
  socket.on('data', () => {})
}

/** Destroys the connection after a while in which the caller can read the response: unread input would reset the connection at once. */
function destroyAfterLinger (socket: net.Socket): void {
  const timer = setTimeout(() => socket.destroy(), lingerMs).unref()
  socket.once('close', () => clearTimeout(timer))
}

function toParserFault (err: NodeJS.ErrnoException): errors.Fault {
  if (err.code === requestTimeoutCode) return { kind: 'request-timeout', message: 'the request did not arrive in time; it was not run' }
  if (err.code === headerOverflowCode) return { kind: 'too-large', message: `the headers exceed ${maxHeaderBytes} bytes` }
  return { kind: 'bad-request', message: `not valid HTTP: ${err.code ?? err.message}` }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (err) {
    throw new errors.RackError({ kind: 'bad-request', message: `the body is not JSON: ${errors.jsonMessageOf(err)}` })
  }
}

function toResponse (res: RouteRes): Response {
  const isText = typeof res.body === 'string'
  const headers = new Headers(res.headers)
  if (!headers.has('content-type')) headers.set('content-type', isText ? 'text/plain; charset=utf-8' : 'application/json')
  const content = isText ? res.body : JSON.stringify(res.body) + '\n'
  // Otherwise HTTP/1.0 callers would have to take the end of the connection, whatever its reason, for that of the body.
  headers.set('content-length', String(Buffer.byteLength(content)))
  return new Response(content, { status: res.status ?? 200, headers })
}

function errorResponse (fault: errors.Fault): Response {
  const retryAfterS = errors.retryAfterSecondsOf(fault)
  return toResponse({
    status: errors.statusOf(fault),
    headers: retryAfterS === undefined ? {} : { 'retry-after': String(retryAfterS) },
    body: errors.bodyOf(fault)
  })
}
