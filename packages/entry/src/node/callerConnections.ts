/** Connections of callers: which of them are idle, and after which response they end. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as callerLimiter from './callerLimiter.js'
import * as connectionRequests from './connectionRequests.js'
import * as headTimeout from './headTimeout.js'
import * as unsentResponses from './unsentResponses.js'

/** Time without further bytes after which a request whose headers are incomplete no longer keeps its connection open, in milliseconds. */
const stalledRequestMs = 500
/** Time between two counts of the bytes that wait for callers; the requests that are served at a time limit what is added meanwhile. */
const unsentCheckIntervalMs = 250

interface ConnectionState {
  /** Undefined on a listener without limits. */
  readonly requests: connectionRequests.ConnectionRequests | undefined
  /** Responses whose last byte has not been passed to the kernel. */
  readonly pendingResponses: Set<http.ServerResponse>
  /** True once a response has announced that the connection ends with it. */
  isEnding: boolean
  /** Bytes received until the last response was complete; more than these may belong to a request whose headers are incomplete. */
  processedBytes: number
  /** Bytes received when the connection was last looked at, and the time on the process's monotonic clock since which there were no more. */
  seenBytes: number
  unchangedSince: number
}

/** After which response a connection ends. */
export interface IConnectionEnds {
  /** Returns whether the connection of a response can end with it, since no other request of that connection has been accepted. */
  canEndAfter(res: http.ServerResponse): boolean
  /** Serves no later request of a connection, because this response has announced its end. */
  endAfter(res: http.ServerResponse): void
}

/**
 * Tracks the connections of an HTTP server, and closes all responses of a connection with it. `closeIdleConnections` of Node.js cannot be
 * used instead: it also closes connections whose response was ended but still waits in this process until the caller reads.
 */
export class CallerConnections implements IConnectionEnds {
  private readonly states = new Map<net.Socket, ConnectionState>()
  private unsentTimer: NodeJS.Timeout | undefined
  private isReading = true

  /**
   * @param requestServer gets each request of a connection that does not end.
   * @param limiter undefined for a listener without limits.
   */
  constructor (server: http.Server, private readonly decisions: decisionLog.IDecisionLog, private readonly requestServer: connectionRequests.IRequestServer, private readonly limiter?: callerLimiter.CallerLimiter) {
    if (limiter !== undefined) {
      server.maxConnections = limiter.limits.connections
      server.on('drop', (dropped?: net.DropArgument) => limiter.recordClose('connections', dropped?.remoteAddress))
    }
    server.on('connection', (socket: net.Socket) => this.add(socket))
    // Replaces the closing of idle connections by Node.js.
    server.on('timeout', (socket: net.Socket) => this.closeAfterPoll(socket))
    server.on('request', (req: http.IncomingMessage, res: http.ServerResponse) => this.accept(req, res))
  }

  /** Number of open connections. */
  get size (): number {
    return this.states.size
  }

  canEndAfter (res: http.ServerResponse): boolean {
    // The head of a response that is queued behind another one is sent later, and further requests may arrive until then.
    const state = this.states.get(res.req.socket)
    return state === undefined || (state.pendingResponses.size <= 1 && (state.requests?.unparsedBytes ?? 0) === 0)
  }

  endAfter (res: http.ServerResponse): void {
    const state = this.states.get(res.req.socket)
    if (state !== undefined) state.isEnding = true
  }

  /** Closes the connections without a pending response or a request that is arriving, each after reading what has arrived on it. */
  closeIdle (): void {
    for (const [socket, state] of this.states) {
      if (isIdle(socket, state)) this.closeAfterPoll(socket)
    }
  }

  /** Defers the timeout of a head that could not arrive because its connection is not read; returns false if that is not the reason. */
  deferHeadTimeout (socket: net.Socket, ms: number, expire: () => void): boolean {
    const requests = this.states.get(socket)?.requests
    if (requests?.isPaused !== true) return false
    headTimeout.startHeadTimeout(requests, ms, () => { if (this.states.has(socket)) expire() })
    return true
  }

  /** Reads no further requests: only those that are parsed get a response. */
  stopReading (): void {
    if (!this.isReading) return
    this.isReading = false
    for (const { requests } of this.states.values()) requests?.discard()
  }

  /** Closes a connection without a pending response unless bytes arrive on it: the timers of a process that was busy or paused run before it reads. */
  private closeAfterPoll (socket: net.Socket): void {
    const { bytesRead } = socket
    setImmediate(() => {
      if (socket.bytesRead === bytesRead && (this.states.get(socket)?.pendingResponses.size ?? 0) === 0) socket.destroy()
    })
  }

  private add (socket: net.Socket): void {
    const requests = this.limiter === undefined ? undefined : new connectionRequests.ConnectionRequests(socket, this.limiter, this.requestServer)
    const state = { requests, pendingResponses: new Set<http.ServerResponse>(), isEnding: false, processedBytes: 0, seenBytes: 0, unchangedSince: performance.now() }
    this.states.set(socket, state)
    socket.once('close', () => {
      this.states.delete(socket)
      requests?.discard()
      for (const res of state.pendingResponses) closeQueued(res)
    })
  }

  private accept (req: http.IncomingMessage, res: http.ServerResponse): void {
    const state = this.states.get(req.socket)
    state?.requests?.noteRequest(req)
    if (state?.isEnding === true) {
      this.decisions.record({ event: 'close', why: 'a request came after the response that announced the end of its connection; it was not run' })
      // Unread input would reset the connection when it is closed.
      req.resume()
      return
    }
    const request = { req, res, isServing: false, hasBeenDeferred: false }
    if (state !== undefined) this.trackResponse(req.socket, state, request)
    if (req.headers.upgrade !== undefined) this.endWithUpgrade(res)
    if (state?.requests === undefined) this.requestServer.serve(req, res, undefined)
    else state.requests.admit(request)
  }

  /** Node.js skips what it has read behind a request that asks for an upgrade, so that the next bytes may be a part of a skipped request. */
  private endWithUpgrade (res: http.ServerResponse): void {
    res.shouldKeepAlive = false
    this.endAfter(res)
  }

  private trackResponse (socket: net.Socket, state: ConnectionState, request: connectionRequests.AdmittedRequest): void {
    const { res } = request
    state.pendingResponses.add(res)
    if (this.limiter !== undefined) this.unsentTimer ??= setTimeout(() => this.checkUnsent(), unsentCheckIntervalMs).unref()
    res.once('close', () => {
      state.pendingResponses.delete(res)
      state.processedBytes = socket.bytesRead - (state.requests?.unparsedBytes ?? 0)
      state.requests?.complete(request)
    })
  }

  /** Closes the connections that exceed the limits on bytes that wait for callers to read them. */
  private checkUnsent (): void {
    const limiter = this.limiter!
    const unsentBytes = new Map<net.Socket, number>()
    let isAnyPending = false
    limiter.unsentBytes = 0
    for (const [socket, { pendingResponses }] of this.states) {
      if (pendingResponses.size === 0) continue
      isAnyPending = true
      const bytes = unsentResponses.countUnsent(socket, pendingResponses)
      limiter.unsentBytes += bytes
      if (bytes > 0) unsentBytes.set(socket, bytes)
    }
    for (const socket of unsentResponses.findExcess(unsentBytes, limiter.limits)) {
      limiter.recordClose(unsentBytes.get(socket)! > limiter.limits.unsentBytesPerConnection ? 'unsentBytesPerConnection' : 'unsentBytes', socket.remoteAddress)
      // A reset also drops what waits in the kernel.
      socket.resetAndDestroy()
    }
    this.unsentTimer = isAnyPending ? setTimeout(() => this.checkUnsent(), unsentCheckIntervalMs).unref() : undefined
  }
}

function isIdle ({ bytesRead }: net.Socket, state: ConnectionState): boolean {
  const now = performance.now()
  if (bytesRead !== state.seenBytes) {
    state.seenBytes = bytesRead
    state.unchangedSince = now
  }
  return state.pendingResponses.size === 0 && (bytesRead === state.processedBytes || now - state.unchangedSince >= stalledRequestMs)
}

/** Closes a response that is queued behind another one; Node.js closes only the first of a connection that ends. */
function closeQueued (res: http.ServerResponse): void {
  if (res.socket !== null || res.writableFinished) return
  res.destroy()
  res.emit('close')
}
