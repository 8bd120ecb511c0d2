/** A caller on a plain socket that keeps its connection open, and tells a reset from an orderly end. */
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import * as responseBytes from '@rosemaryrack/base/test/responseBytes.js'
import * as byteSteps from './byteSteps.js'

/** How a request ended, with times on the process's monotonic clock. */
export interface ByteOutcome {
  /** The response, or how the request ended without a complete one. */
  readonly result: responseBytes.CompleteRes | 'cut' | 'unconnected' | 'gave-up'
  readonly startedAt: number
  readonly endedAt: number
}

/** Sends requests on one connection, and opens a new one once that has ended. */
export class ByteConnection {
  private socket: checkedSocket.CheckedSocket | undefined
  private state: 'connecting' | 'open' | 'ended' | 'reset' | 'unconnected' = 'ended'
  private received: Buffer = Buffer.alloc(0)
  private onChange = (): void => {}

  /** @param address host and port. */
  constructor (private readonly address: string) {}

  /** Sends a request; resolves once it has ended in any way and no more of it can be sent. */
  send (steps: readonly byteSteps.Step[], patienceMs: number): Promise<ByteOutcome> {
    return new Promise((resolve) => {
      const startedAt = performance.now()
      if (this.state !== 'open' || this.socket?.writable !== true) this.connect()
      const finish = (result: ByteOutcome['result']): void => {
        clearTimeout(timer)
        this.onChange = () => {}
        const endedAt = performance.now()
        sending.then(() => resolve({ result, startedAt, endedAt }))
      }
      const timer = setTimeout(() => {
        this.close()
        finish('gave-up')
      }, patienceMs)
      this.onChange = () => {
        const parsed = responseBytes.parseRes(this.received, this.state === 'ended')
        if (parsed !== undefined) {
          this.received = this.received.subarray(parsed.length)
          if (parsed.res.framing === 'close-delimited' || parsed.res.headers['connection'] === 'close') this.close()
          finish(parsed.res)
        } else if (this.state !== 'connecting' && this.state !== 'open') {
          finish(this.state === 'unconnected' ? this.state : 'cut')
        }
      }
      const sending = byteSteps.play(this.socket!, steps)
      this.onChange()
    })
  }

  close (): void {
    this.state = 'ended'
    this.socket?.destroy()
  }

  private connect (): void {
    const [host = '', port] = this.address.split(':')
    const socket = new checkedSocket.CheckedSocket().connect({ host, port: Number(port) })
    this.socket?.destroy()
    this.socket = socket
    this.state = 'connecting'
    this.received = Buffer.alloc(0)
    const change = (state: ByteConnection['state']): void => {
      if (this.socket !== socket || (this.state !== 'connecting' && this.state !== 'open')) return
      this.state = this.state === 'connecting' && state !== 'open' ? 'unconnected' : state
      this.onChange()
    }
    socket.on('connect', () => change('open'))
    socket.on('data', (chunk: Buffer) => {
      if (this.socket !== socket) return
      this.received = Buffer.concat([this.received, chunk])
      this.onChange()
    })
    socket.on('end', () => change('ended'))
    socket.on('error', () => change('reset'))
    socket.on('close', () => change('reset'))
  }
}
