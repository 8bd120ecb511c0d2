/** A caller on a plain socket that keeps its connection open, and tells a reset from an orderly end. */
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import * as byteSteps from './byteSteps.js'

const headEnd = Buffer.from('\r\n\r\n')
const lineEnd = Buffer.from('\r\n')

/** A response that looks complete to its caller. */
export interface ByteRes {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly framing: 'length' | 'chunks' | 'close-delimited'
}

/** How a request ended, with times on the process's monotonic clock. */
export interface ByteOutcome {
  /** The response, or how the request ended without a complete one. */
  readonly result: ByteRes | 'cut' | 'unconnected' | 'gave-up'
  readonly startedAt: number
  readonly endedAt: number
}

interface ParsedRes {
  readonly res: ByteRes
  /** Bytes of the response in the connection. */
  readonly length: number
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
        const parsed = parseRes(this.received, this.state === 'ended')
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

/** Parses the final response; returns undefined while it is incomplete. */
function parseRes (received: Buffer, hasEnded: boolean): ParsedRes | undefined {
  const end = received.indexOf(headEnd)
  if (end < 0) return undefined
  const [statusLine = '', ...lines] = received.toString('latin1', 0, end).split('\r\n')
  const status = Number(statusLine.split(' ')[1])
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  }))
  const start = end + headEnd.length
  if (status < 200) {
    const final = parseRes(received.subarray(start), hasEnded)
    return final === undefined ? undefined : { ...final, length: start + final.length }
  }
  if (headers['transfer-encoding'] !== undefined) {
    const chunks = parseChunks(received, start)
    return chunks === undefined ? undefined : { res: { status, headers, body: chunks.body, framing: 'chunks' }, length: chunks.end }
  }
  if (headers['content-length'] !== undefined) {
    const length = start + Number(headers['content-length'])
    return received.length < length ? undefined : { res: { status, headers, body: received.subarray(start, length), framing: 'length' }, length }
  }
  return hasEnded ? { res: { status, headers, body: received.subarray(start), framing: 'close-delimited' }, length: received.length } : undefined
}

function parseChunks (received: Buffer, start: number): { readonly body: Buffer, readonly end: number } | undefined {
  const chunks: Buffer[] = []
  for (let at = start; ;) {
    const sizeEnd = received.indexOf(lineEnd, at)
    if (sizeEnd < 0) return undefined
    const size = parseInt(received.toString('latin1', at, sizeEnd), 16)
    const dataStart = sizeEnd + lineEnd.length
    at = dataStart + size + lineEnd.length
    if (received.length < at) return undefined
    if (size === 0) return { body: Buffer.concat(chunks), end: at }
    chunks.push(received.subarray(dataStart, dataStart + size))
  }
}
