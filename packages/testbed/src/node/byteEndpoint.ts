/** A stand-in endpoint on plain sockets, which chooses each byte, end and reset of its responses. */
import * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from './deployedFleet.js'

const endpointPort = 8080
const slots = 64
const headEnd = '\r\n\r\n'
const workMs = 5
/** Time after which the load balancer has read what was sent before. */
const readMs = 30
const lateSecondMs = 60
const pieces = 6
/** Length of the first parts of a response whose head arrives in several reads. */
const splitBytes = 20

/** A part of a response on its connection: bytes, a pause in milliseconds, or the end of the connection. */
type Step = Buffer | number | 'end' | 'reset'

/** A response in each of its framings. */
interface Forms {
  readonly framed: Buffer
  readonly chunked: Buffer
  readonly unframed: Buffer
  /** The first quarter of the unframed response. */
  readonly part: Buffer
  readonly bodyMs: number
}

/**
 * How an endpoint responds. `unframed` responses have neither a length nor chunks, `second` responses follow the whole first one, `cut` ones
 * end with a reset, and a `lost` response never begins.
 */
const plans = {
  framed: ({ framed }: Forms): readonly Step[] => [framed],
  chunked: ({ chunked }: Forms): readonly Step[] => [chunked],
  'framed-second-late': ({ framed }: Forms): readonly Step[] => [framed, readMs, framed],
  unframed: ({ unframed }: Forms): readonly Step[] => [unframed, 'end'],
  'unframed-slow': ({ unframed, bodyMs }: Forms): readonly Step[] => [...inPieces(unframed, bodyMs), 'end'],
  'unframed-cut': ({ part }: Forms): readonly Step[] => [part, 'reset'],
  'unframed-cut-late': ({ part }: Forms): readonly Step[] => [part, readMs, 'reset'],
  'unframed-slow-cut': ({ part, bodyMs }: Forms): readonly Step[] => [...inPieces(part, bodyMs), 'reset'],
  'unframed-second': ({ unframed, framed }: Forms): readonly Step[] => [Buffer.concat([unframed, framed]), 'end'],
  'unframed-second-late': ({ unframed, framed }: Forms): readonly Step[] => [unframed, lateSecondMs, framed, 'end'],
  'unframed-second-split': ({ unframed, framed }: Forms): readonly Step[] => [Buffer.concat([unframed, framed.subarray(0, splitBytes)]), readMs, framed.subarray(splitBytes, 2 * splitBytes), readMs, framed.subarray(2 * splitBytes), 'end'],
  'unframed-second-unframed': ({ unframed }: Forms): readonly Step[] => [Buffer.concat([unframed, unframed]), 'end'],
  'lost-closed': (): readonly Step[] => ['end'],
  'lost-reset': (): readonly Step[] => ['reset'],
  silent: (): readonly Step[] => []
}

/** Kind of a response. */
export type Kind = keyof typeof plans
/** All kinds of responses. */
export const kinds = Object.keys(plans) as readonly Kind[]

function inPieces (data: Buffer, durationMs: number): readonly Step[] {
  const pieceLength = Math.ceil(data.length / pieces)
  return Array.from({ length: pieces }, (_value, i) => [data.subarray(i * pieceLength, (i + 1) * pieceLength), durationMs / pieces]).flat()
}

/** How endpoints treat a request, passed in the query. */
export interface Script {
  /** Kind of the response of each run; the last one holds for further runs. */
  readonly kinds: readonly Kind[]
  readonly bytes: number
  /** Time that a slow body takes. */
  readonly bodyMs: number
}

/** A run of a request at an endpoint. */
export interface Run {
  readonly endpoint: string
  readonly kind: Kind
}

/** Returns the query that asks endpoints for a script. */
export function toQuery ({ kinds: wanted, bytes, bodyMs }: Script): string {
  return `kinds=${wanted.join()}&bytes=${bytes}&body=${bodyMs}`
}

function parseScript (requestTarget: string): Script {
  const query = new URL(requestTarget, 'http://endpoint').searchParams
  return { kinds: (query.get('kinds') ?? 'framed').split(',') as Kind[], bytes: Number(query.get('bytes') ?? 1000), bodyMs: Number(query.get('body') ?? 0) }
}

/** Returns the body of a response; no two parts of it are equal. */
export function createBody (requestId: string, stamp: string, bytes: number): Buffer {
  const line = (i: number): string => `${requestId} ${stamp} ${i}\n`
  return Buffer.from(Array.from({ length: Math.ceil(bytes / line(0).length) }, (_value, i) => line(i)).join('').slice(0, bytes))
}

/** Serves requests as their queries say, and records each run. */
export class ByteEndpoint {
  private readonly sockets = new Set<net.Socket>()
  private server: net.Server | undefined
  private sequence = 0
  private starts = 0

  /** @param runs runs by request id, shared by all endpoints. */
  constructor (readonly id: string, readonly host: string, readonly service: string, private readonly born: number, private readonly runs: Map<string, Run[]>) {}

  private get stamp (): string {
    return `stamp-${this.id}`
  }

  async start (): Promise<void> {
    const server = net.createServer((socket) => this.serve(socket))
    await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(endpointPort, this.host, resolve) })
    this.server = server
    this.starts++
  }

  /** Stops as a process that is killed: all connections are reset. */
  stop (): void {
    this.server?.close()
    this.server = undefined
    this.resetConnections()
  }

  resetConnections (): void {
    for (const socket of this.sockets) reset(socket)
  }

  /** Sends a heartbeat to a control replica, unless the endpoint is stopped. */
  async sendHeartbeat (control: string): Promise<void> {
    if (this.server === undefined) return
    const body = { Service: this.service, Addr: `${this.host}:${endpointPort}`, Zone: 'a', Version: 'v1', Slots: slots, State: 'ready', ColdLeftMs: 0, Seq: ++this.sequence, born: this.born + this.starts }
    await deployedFleet.sendRequest('POST', `http://${control}/rosemaryrack/Instances.Heartbeat/${this.id}`, { 'content-type': 'application/json' }, JSON.stringify(body))
  }

  private serve (socket: net.Socket): void {
    let received = ''
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.setNoDelay(true)
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1')
      const end = received.indexOf(headEnd)
      if (end < 0) return
      const head = received.slice(0, end)
      const length = end + headEnd.length + Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0)
      if (received.length < length) return
      received = received.slice(length)
      this.handleRequest(socket, head)
    })
  }

  private async handleRequest (socket: net.Socket, head: string): Promise<void> {
    const [, requestTarget = '/'] = head.split(' ')
    const header = (name: string): string | undefined => new RegExp(`\\r\\n${name}: *([^\\r]*)`, 'i').exec(head)?.[1]
    if (requestTarget === '/healthz' || header('x-rosemaryrack-expect-instance') !== this.id) {
      socket.write(`HTTP/1.1 ${requestTarget === '/healthz' ? '200 OK' : '421 Misdirected Request'}\r\nX-Rosemaryrack-Instance-Id: ${this.id}\r\nX-Rosemaryrack-Server-Load: 0,0,${slots},100\r\nContent-Length: 0${headEnd}`)
      return
    }
    const requestId = header('x-rosemaryrack-request-id') ?? ''
    const script = parseScript(requestTarget)
    const runs = this.runs.get(requestId) ?? []
    const kind = script.kinds[runs.length] ?? script.kinds.at(-1)!
    this.runs.set(requestId, [...runs, { endpoint: this.id, kind }])
    await async.sleep(workMs)
    await this.respond(socket, requestId, kind, script)
  }

  private async respond (socket: net.Socket, requestId: string, kind: Kind, { bytes, bodyMs }: Script): Promise<void> {
    const body = createBody(requestId, this.stamp, bytes)
    const withHead = (header: string, payload = body): Buffer =>
      Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nX-Rosemaryrack-Request-Id: ${requestId}\r\nX-Rosemaryrack-Server-Stamp: ${this.stamp}\r\n${header}${headEnd}`), payload])
    const unframed = withHead('Connection: close')
    const forms = {
      framed: withHead(`Content-Length: ${bytes}`),
      chunked: withHead('Transfer-Encoding: chunked', Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')])),
      unframed,
      part: unframed.subarray(0, unframed.length - Math.ceil(bytes * 3 / 4)),
      bodyMs
    }
    for (const step of plans[kind](forms)) {
      if (typeof step === 'number') await async.sleep(step)
      else if (step === 'end') socket.end()
      else if (step === 'reset') reset(socket)
      else await new Promise((resolve) => { socket.write(step, resolve) })
    }
  }
}

/** Resets a connection, except while its end is being sent: Node.js would never close it then, nor exit. */
function reset (socket: net.Socket): void {
  if (!socket.writableEnded || socket.writableFinished) socket.resetAndDestroy()
}
