/** One connection to a target; it carries one request at a time and never reconnects. */
import * as net from 'node:net'
import * as undici from 'undici'
import * as address from '@rosemaryrack/base/common/address.js'

const connectTimeoutMs = 1000

/** An open connection. */
export class TargetConnection {
  readonly openedAt = performance.now()
  private idleSince = performance.now()
  private readonly client: undici.Client

  private constructor (private readonly socket: net.Socket, targetAddress: string) {
    let handedOver = false
    this.client = new undici.Client(`http://${targetAddress}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
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
      const socket = net.connect({ host, port, noDelay: true })
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

  get idleMs (): number {
    return performance.now() - this.idleSince
  }

  noteIdle (): void {
    this.idleSince = performance.now()
  }

  dispatch (options: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler): void {
    this.client.dispatch(options, handler)
  }

  destroy (): void {
    this.client.destroy().catch(() => {})
    this.socket.destroy()
  }
}
