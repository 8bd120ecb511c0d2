/** A connection to a target; it carries one request at a time and never reconnects. */
import * as undici from 'undici'
import * as address from '@rosemaryrack/base/common/address.js'
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import * as connectionEnd from '@rosemaryrack/base/node/connectionEnd.js'
import * as responseStatus from '../common/responseStatus.js'

/** Default of `ConnectOptions.timeoutMs`. */
const defaultConnectTimeoutMs = 1000
/** Idle time after which a connection is not reused, in milliseconds; for targets that send no `Keep-Alive` timeout. */
export const defaultIdleLimitMs = 4000
/** Share of a target's `Keep-Alive` timeout in which a connection is reused: a request must arrive before the timeout ends. */
const keepAliveShare = 0.8
const maxIdleLimitMs = 60_000
const msPerSecond = 1000
const keepAliveTimeoutPattern = /(?:^|[,;\s])timeout=(\d{1,6})/i
/** Number of request ids by which late responses to earlier requests are recognized. */
const maxRequestIds = 32
/** Limit on bytes before the first chunk of a body, or between two: four times the longest head that undici accepts. */
const maxBytesWithoutProgress = 64 * 1024

/**
 * A socket that works around limitations of undici:
 * - It implements its own pause, since the parser of undici fails with an assertion error when the connection of a paused response ends.
 * - It reports a reset by the target as another error, since undici would treat a reset, like a close without an error, as
 *   the normal end of a response without a length. For the same reason `destroy` is always called with an error here.
 * - It limits the bytes without body data, since undici limits neither status lines, interim responses nor chunk extensions.
 */
class TargetSocket extends checkedSocket.CheckedSocket {
  private isReadingPaused = false
  /** Bytes read since the request was sent or the last chunk of the body arrived. */
  private bytesWithoutProgress = 0

  /** Makes `read` return no data until `resumeReading` is called; what the target sends meanwhile stays in the buffers of the socket and the kernel. */
  pauseReading (): void {
    this.isReadingPaused = true
  }

  resumeReading (): void {
    if (!this.isReadingPaused) return
    this.isReadingPaused = false
    // undici must not be called back from within one of its own events.
    process.nextTick(() => { if (!this.isReadingPaused && !this.destroyed) this.emit('readable') })
  }

  override read (size?: number): unknown {
    if (this.isReadingPaused) return null
    if (this.bytesWithoutProgress > maxBytesWithoutProgress) {
      this.destroy(new Error(`${this.bytesWithoutProgress} bytes received without body data`))
      return null
    }
    const data = super.read(size) as Buffer | null
    this.bytesWithoutProgress += data?.length ?? 0
    return data
  }

  /** Restarts the count of bytes when a request is sent or a chunk of a body arrives. */
  resetProgress (): void {
    this.bytesWithoutProgress = 0
  }

  override _destroy (err: Error | null, callback: (err?: Error | null) => void): void {
    super._destroy(err, (failure) => callback(connectionEnd.isReset(failure) ? new Error('connection reset by the target', { cause: failure }) : failure))
  }
}

/** How connections are opened. */
export interface ConnectOptions {
  readonly timeoutMs?: number
  /** Source address; undefined lets the system choose. */
  readonly sourceHost?: string | undefined
}

/** Receives the events of a connection. */
export interface ConnectionEvents {
  /** The connection failed in the network, in use or idle; not called when either side closes it. */
  onLost(connection: TargetConnection): void
  /** A response has begun. */
  onResponse(): void
}

/** An open connection and its undici client. */
export class TargetConnection {
  readonly openedAt = performance.now()
  private idleSince = performance.now()
  private idleLimit = defaultIdleLimitMs
  private responseCount = 0
  private wasHealthChecked = false
  private readonly sentRequestIds = new Set<string>()
  private readonly client: undici.Client
  private readonly onResponse: () => void

  private constructor (private readonly socket: TargetSocket, targetAddress: string, { onLost, onResponse }: ConnectionEvents) {
    this.onResponse = onResponse
    let isSocketTaken = false
    socket.on('error', (err) => { if (isNetworkError(err)) onLost(this) })
    this.client = new undici.Client(`http://${targetAddress}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      // `keepAliveShare` sets the margin before the end of a target's keep-alive timeout.
      keepAliveTimeoutThreshold: 0,
      connect: (_options, callback) => {
        // A reconnect would resend a request that may have run already.
        const isReconnect = isSocketTaken
        isSocketTaken = true
        // undici stalls if the callback runs synchronously.
        queueMicrotask(() => {
          if (isReconnect) callback(new Error('the connection is closed'), null)
          else callback(null, socket)
        })
      }
    })
  }

  /** Connects; rejects when the target does not accept in time. */
  static open (targetAddress: string, options: ConnectOptions, events: ConnectionEvents): Promise<TargetConnection> {
    return TargetConnection.startOpening(targetAddress, options, events).connection
  }

  /** Connects as `open` does; `cancel` ends the attempt at once. */
  static startOpening (targetAddress: string, { timeoutMs = defaultConnectTimeoutMs, sourceHost }: ConnectOptions, events: ConnectionEvents): { readonly connection: Promise<TargetConnection>, cancel(): void } {
    const { host, port } = address.parseAddress(targetAddress)
    const socket = new TargetSocket().setNoDelay(true).connect({ host, port, ...(sourceHost === undefined ? {} : { localAddress: sourceHost }) })
    const connection = new Promise<TargetConnection>((resolve, reject) => {
      const timer = setTimeout(() => socket.destroy(new Error(`no connection within ${timeoutMs} ms`)), timeoutMs)
      socket.once('error', (err) => {
        clearTimeout(timer)
        reject(err)
      })
      socket.once('connect', () => {
        clearTimeout(timer)
        resolve(new TargetConnection(socket, targetAddress, events))
      })
    })
    return { connection, cancel: () => { if (socket.connecting) socket.destroy(new Error('the connection is no longer needed')) } }
  }

  get isOpen (): boolean {
    return !this.socket.destroyed && this.socket.readable && this.socket.writable
  }

  get state (): checkedSocket.ConnectionState {
    return this.socket.connectionState
  }

  /** True once bytes of a response have arrived. */
  get hasResponded (): boolean {
    return this.responseCount > 0
  }

  /** True once a health check was sent. */
  get hasHealthCheck (): boolean {
    return this.wasHealthChecked
  }

  countResponse (): void {
    this.responseCount++
  }

  /** Idle time after which the connection is not reused, in milliseconds. */
  get idleLimitMs (): number {
    return this.idleLimit
  }

  /** Sets the idle limit from the `Keep-Alive` header of a response. */
  applyKeepAlive (header: string | string[] | undefined): void {
    const seconds = typeof header === 'string' ? keepAliveTimeoutPattern.exec(header)?.[1] : undefined
    if (seconds !== undefined) this.idleLimit = Math.min(maxIdleLimitMs, Number(seconds) * msPerSecond * keepAliveShare)
  }

  /** True while the connection may carry another idempotent request; `TargetConnections.takeIdle` has a stricter limit for others. */
  get isReusable (): boolean {
    return this.isOpen && this.idleMs <= this.idleLimit
  }

  get idleMs (): number {
    return performance.now() - this.idleSince
  }

  /** Ids of the newest requests that were sent on the connection. */
  get requestIds (): ReadonlySet<string> {
    return this.sentRequestIds
  }

  noteRequest (requestId: string): void {
    this.sentRequestIds.add(requestId)
    const [oldest] = this.sentRequestIds
    if (this.sentRequestIds.size > maxRequestIds) this.sentRequestIds.delete(oldest!)
  }

  /** Pauses the response; data that was read already is still delivered. */
  pauseReading (): void {
    this.socket.pauseReading()
  }

  resumeReading (): void {
    this.socket.resumeReading()
  }

  markIdle (): void {
    this.resumeReading()
    this.idleSince = performance.now()
  }

  /** Sends a request. A response whose status is none is reported as an error, and its connection is closed. */
  dispatch (options: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler): void {
    this.socket.resetProgress()
    this.client.dispatch(options, {
      ...handler,
      onResponseStart: (controller, status, headers, statusMessage) => {
        const problem = responseStatus.findStatusProblem(status)
        if (problem !== undefined) {
          // Closes the connection and reports the error to the handler. undici itself accepts any status from 200.
          controller.abort(new Error(problem))
          return
        }
        this.onResponse()
        handler.onResponseStart?.(controller, status, headers, statusMessage)
      },
      onResponseData: (controller, chunk) => {
        this.socket.resetProgress()
        handler.onResponseData?.(controller, chunk)
      }
    })
  }

  /** Sends a health check, whose response has no request id. */
  dispatchHealthCheck (path: string, handler: undici.Dispatcher.DispatchHandler): void {
    this.wasHealthChecked = true
    this.dispatch({ path, method: 'GET' }, handler)
  }

  destroy (): void {
    const reason = new Error('connection discarded')
    this.client.destroy(reason).catch(() => {})
    this.socket.destroy(reason)
  }
}

/** Returns whether the operating system reported the error, such as a reset, unlike the errors of undici and of this process. */
function isNetworkError (err: Error): boolean {
  return ((err.cause ?? err) as NodeJS.ErrnoException).syscall !== undefined
}
