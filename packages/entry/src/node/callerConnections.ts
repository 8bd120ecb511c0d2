/** Connections of callers: which of them are idle. */
import type * as http from 'node:http'
import type * as net from 'node:net'

interface ConnectionState {
  /** Responses whose last byte has not been passed to the kernel. */
  readonly pendingResponses: Set<http.ServerResponse>
  /** Bytes received until the last response was complete; more than these belong to a request whose headers are incomplete. */
  processedBytes: number
}

/**
 * Tracks the connections of an HTTP server, and closes all responses of a connection with it. `closeIdleConnections` of Node.js cannot be
 * used instead: it also closes connections whose response was ended but still waits in this process until the caller reads.
 */
export class CallerConnections {
  private readonly states = new Map<net.Socket, ConnectionState>()

  constructor (server: http.Server) {
    server.on('connection', (socket: net.Socket) => this.add(socket))
    // Replaces the closing of idle connections by Node.js.
    server.on('timeout', (socket: net.Socket) => this.closeAfterPoll(socket))
    server.on('request', (_req, res: http.ServerResponse) => this.trackResponse(res))
  }

  /** Number of open connections. */
  get size (): number {
    return this.states.size
  }

  /** Closes the connections without a pending response or a partly received request, each after reading what has arrived on it. */
  closeIdle (): void {
    for (const socket of this.states.keys()) {
      if (this.isIdle(socket)) this.closeAfterPoll(socket)
    }
  }

  private isIdle (socket: net.Socket): boolean {
    const state = this.states.get(socket)
    return state === undefined || (state.pendingResponses.size === 0 && socket.bytesRead === state.processedBytes)
  }

  /** Closes a connection unless a request has arrived on it: the timers of a process that was busy or paused run before it reads. */
  private closeAfterPoll (socket: net.Socket): void {
    setImmediate(() => { if (this.isIdle(socket)) socket.destroy() })
  }

  private add (socket: net.Socket): void {
    const state = { pendingResponses: new Set<http.ServerResponse>(), processedBytes: 0 }
    this.states.set(socket, state)
    socket.once('close', () => {
      this.states.delete(socket)
      for (const res of state.pendingResponses) closeQueued(res)
    })
  }

  private trackResponse (res: http.ServerResponse): void {
    const { socket } = res.req
    const state = this.states.get(socket)
    if (state === undefined) return
    state.pendingResponses.add(res)
    res.once('close', () => {
      state.pendingResponses.delete(res)
      state.processedBytes = socket.bytesRead
    })
  }
}

/** Closes a response that is queued behind another one; Node.js closes only the first of a connection that ends. */
function closeQueued (res: http.ServerResponse): void {
  if (res.socket !== null || res.writableFinished) return
  res.destroy()
  res.emit('close')
}
