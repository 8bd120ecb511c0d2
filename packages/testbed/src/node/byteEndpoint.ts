/** A stand-in endpoint on plain sockets, which chooses each byte, end and reset of its responses. */
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import * as byteSteps from './byteSteps.js'
import * as socketEndpoint from './socketEndpoint.js'

const headEnd = '\r\n\r\n'
const workMs = 5
/** Time after which the load balancer has read what was sent before. */
const readMs = 30
const lateSecondMs = 60
const pieces = 6
/** Length of the first parts of a response whose head arrives in several reads. */
const splitBytes = 20

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
  framed: ({ framed }: Forms): readonly byteSteps.Step[] => [framed],
  chunked: ({ chunked }: Forms): readonly byteSteps.Step[] => [chunked],
  'framed-slow': ({ framed, bodyMs }: Forms): readonly byteSteps.Step[] => inPieces(framed, bodyMs),
  'chunked-slow': ({ chunked, bodyMs }: Forms): readonly byteSteps.Step[] => inPieces(chunked, bodyMs),
  'framed-second-late': ({ framed }: Forms): readonly byteSteps.Step[] => [framed, readMs, framed],
  unframed: ({ unframed }: Forms): readonly byteSteps.Step[] => [unframed, 'end'],
  'unframed-slow': ({ unframed, bodyMs }: Forms): readonly byteSteps.Step[] => [...inPieces(unframed, bodyMs), 'end'],
  'unframed-cut': ({ part }: Forms): readonly byteSteps.Step[] => [part, 'reset'],
  'unframed-cut-late': ({ part }: Forms): readonly byteSteps.Step[] => [part, readMs, 'reset'],
  'unframed-slow-cut': ({ part, bodyMs }: Forms): readonly byteSteps.Step[] => [...inPieces(part, bodyMs), 'reset'],
  'unframed-second': ({ unframed, framed }: Forms): readonly byteSteps.Step[] => [Buffer.concat([unframed, framed]), 'end'],
  'unframed-second-late': ({ unframed, framed }: Forms): readonly byteSteps.Step[] => [unframed, lateSecondMs, framed, 'end'],
  'unframed-second-split': ({ unframed, framed }: Forms): readonly byteSteps.Step[] => [Buffer.concat([unframed, framed.subarray(0, splitBytes)]), readMs, framed.subarray(splitBytes, 2 * splitBytes), readMs, framed.subarray(2 * splitBytes), 'end'],
  'unframed-second-unframed': ({ unframed }: Forms): readonly byteSteps.Step[] => [Buffer.concat([unframed, unframed]), 'end'],
  'lost-closed': (): readonly byteSteps.Step[] => ['end'],
  'lost-reset': (): readonly byteSteps.Step[] => ['reset'],
  silent: (): readonly byteSteps.Step[] => []
}

/** Kind of a response. */
export type Kind = keyof typeof plans
/** All kinds of responses. */
export const kinds = Object.keys(plans) as readonly Kind[]

function inPieces (data: Buffer, durationMs: number): readonly byteSteps.Step[] {
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

/** Returns a body; no two parts of it are equal. */
export function createBody (requestId: string, stamp: string, bytes: number): Buffer {
  const line = (i: number): string => `${requestId} ${stamp} ${i}\n`
  return Buffer.from(Array.from({ length: Math.ceil(bytes / line(0).length) }, (_value, i) => line(i)).join('').slice(0, bytes))
}

/** Serves requests as their queries say, and records each run. */
export class ByteEndpoint implements socketEndpoint.IConnectionServer {
  readonly endpoint: socketEndpoint.SocketEndpoint

  /** @param runs runs by request id, shared by all endpoints. */
  constructor (id: string, host: string, service: string, private readonly runs: Map<string, Run[]>) {
    this.endpoint = new socketEndpoint.SocketEndpoint(id, host, service, this)
  }

  serve (socket: net.Socket): void {
    let received = ''
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
    if (requestTarget === '/healthz' || header('x-rosemaryrack-expect-instance') !== this.endpoint.id) {
      socket.write(this.endpoint.formatNotice(requestTarget === '/healthz' ? '200 OK' : '421 Misdirected Request'))
      return
    }
    const requestId = header('x-rosemaryrack-request-id') ?? ''
    const script = parseScript(requestTarget)
    const runs = this.runs.get(requestId) ?? []
    const kind = script.kinds[runs.length] ?? script.kinds.at(-1)!
    this.runs.set(requestId, [...runs, { endpoint: this.endpoint.id, kind }])
    await async.sleep(workMs)
    await this.respond(socket, requestId, kind, script)
  }

  private async respond (socket: net.Socket, requestId: string, kind: Kind, { bytes, bodyMs }: Script): Promise<void> {
    const { stamp } = this.endpoint
    const body = createBody(requestId, stamp, bytes)
    const withHead = (header: string, payload = body): Buffer =>
      Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nX-Rosemaryrack-Request-Id: ${requestId}\r\nX-Rosemaryrack-Server-Stamp: ${stamp}\r\n${header}${headEnd}`), payload])
    const unframed = withHead('Connection: close')
    const forms = {
      framed: withHead(`Content-Length: ${bytes}`),
      chunked: withHead('Transfer-Encoding: chunked', Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')])),
      unframed,
      part: unframed.subarray(0, unframed.length - Math.ceil(bytes * 3 / 4)),
      bodyMs
    }
    await byteSteps.play(socket, plans[kind](forms))
  }
}
