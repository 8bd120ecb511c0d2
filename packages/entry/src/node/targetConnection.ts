/** One connection to a target; it carries one request at a time and never reconnects. */
import * as net from 'node:net'
import * as undici from 'undici'
import * as address from '@rosemaryrack/base/common/address.js'

const connectTimeoutMs = 1000
/** Idle time after which a connection isn't used again where its target names none, in milliseconds. */
export const defaultIdleLimitMs = 4000
/** Part of the time that a target names by `Keep-Alive`: a request must arrive before its end. */
const keepAliveShare = 0.8
const maxIdleLimitMs = 60_000
const msPerSecond = 1000
const keepAliveTimeout = /(?:^|[,;\s])timeout=(\d{1,6})/i
const resetCode = 'ECONNRESET'
/** Most bytes between two pieces of a body, or before the first one: four times the longest head that the HTTP client takes. */
const maxBytesWithoutProgress = 64 * 1024

/**
 * A socket that holds data back by itself, and whose end is never without an error but for the target's orderly one. The
 * HTTP client's own pause isn't used: when a paused answer's connection ends, its parser fails by an assertion. It also
 * takes a reset, or an end without an error, for the end of an answer without a length. And it bounds neither status lines,
 * interim answers nor chunk extensions.
 */
class TargetSocket extends net.Socket {
  private held = false
  /** Bytes that were read and were no part of a body. */
  private bytesWithoutProgress = 0

  /** Gives out nothing until `release`; what the target sends meanwhile waits in the socket and then in the kernel. */
  hold (): void {
    this.held = true
  }

  release (): void {
    if (!this.held) return
    this.held = false
    // The client must not be entered from one of its own events.
    process.nextTick(() => { if (!this.held && !this.destroyed) this.emit('readable') })
  }

  override read (size?: number): unknown {
    if (this.held) return null
    if (this.bytesWithoutProgress > maxBytesWithoutProgress) {
      this.destroy(new Error(`${this.bytesWithoutProgress} bytes that are no part of an answer`))
      return null
    }
    const data = super.read(size) as Buffer | null
    this.bytesWithoutProgress += data?.length ?? 0
    return data
  }

  /** Tells that a request was sent or a piece of a body arrived. */
  noteProgress (): void {
    this.bytesWithoutProgress = 0
  }

  override _destroy (err: Error | null, callback: (err?: Error | null) => void): void {
    const wasReset = (err as NodeJS.ErrnoException | null)?.code === resetCode
    super._destroy(wasReset ? new Error('reset by the target', { cause: err }) : err, callback)
  }
}

/** An open connection. */
export class TargetConnection {
  readonly openedAt = performance.now()
  private idleSince = performance.now()
  private idleLimit = defaultIdleLimitMs
  private readonly client: undici.Client

  private constructor (private readonly socket: TargetSocket, targetAddress: string) {
    let handedOver = false
    this.client = new undici.Client(`http://${targetAddress}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      // The pool decides how long before the end that a target names a connection is used.
      keepAliveTimeoutThreshold: 0,
      connect: (_options, callback) => {
        // A second connection would send a request again that may have run.
        const refused = handedOver
        handedOver = true
        // The client stalls when it is called back before this function returns.
        queueMicrotask(() => {
          if (refused) callback(new Error('the connection is closed'), null)
          else callback(null, socket)
        })
      }
    })
  }

  /** Connects; rejects when the target doesn't accept in time. */
  static open (targetAddress: string): Promise<TargetConnection> {
    const { host, port } = address.parseAddress(targetAddress)
    return new Promise((resolve, reject) => {
      const socket = new TargetSocket().setNoDelay(true).connect({ host, port })
      const timer = setTimeout(() => socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`)), connectTimeoutMs)
      socket.once('error', (err) => {
        clearTimeout(timer)
        reject(err)
      })
      socket.once('connect', () => {
        clearTimeout(timer)
        resolve(new TargetConnection(socket, targetAddress))
      })
    })
  }

  get isOpen (): boolean {
    return !this.socket.destroyed && this.socket.readable && this.socket.writable
  }

  /** Idle time after which it isn't used again, in milliseconds. */
  get idleLimitMs (): number {
    return this.idleLimit
  }

  /** Takes the idle time that the target allows from an answer's `Keep-Alive` header. */
  noteKeepAlive (header: string | string[] | undefined): void {
    const seconds = typeof header === 'string' ? keepAliveTimeout.exec(header)?.[1] : undefined
    if (seconds !== undefined) this.idleLimit = Math.min(maxIdleLimitMs, Number(seconds) * msPerSecond * keepAliveShare)
  }

  /** True while it may carry another request that may be repeated. */
  get isReusable (): boolean {
    return this.isOpen && this.idleMs <= this.idleLimit
  }

  get idleMs (): number {
    return performance.now() - this.idleSince
  }

  /** Stops the flow of an answer's data; what was read already still comes. */
  hold (): void {
    this.socket.hold()
  }

  release (): void {
    this.socket.release()
  }

  noteIdle (): void {
    this.release()
    this.idleSince = performance.now()
  }

  dispatch (options: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler): void {
    this.socket.noteProgress()
    this.client.dispatch(options, {
      ...handler,
      onResponseData: (controller, chunk) => {
        this.socket.noteProgress()
        handler.onResponseData?.(controller, chunk)
      }
    })
  }

  destroy (): void {
    const givenUp = new Error('given up')
    this.client.destroy(givenUp).catch(() => {})
    this.socket.destroy(givenUp)
  }
}
