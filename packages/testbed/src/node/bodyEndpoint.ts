/** A stand-in endpoint that compares the bytes of request bodies, as they arrive, with those that the callers have sent. */
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import * as byteEndpoint from './byteEndpoint.js'
import * as socketEndpoint from './socketEndpoint.js'

/** Length of the bodies of responses. */
export const responseBytes = 300
/** End of the paths of requests that are served without a record. */
export const unrecordedPath = '/settle'
const headEnd = '\r\n\r\n'
const lineEnd = '\r\n'
const requestStarts = ['POST /', 'GET /']
const workMs = 5
/** Work of an endpoint that reads slowly. */
const slowWorkMs = 400
const lateReadMs = 100
/** Pause after each read of an endpoint that reads slowly. */
const slowReadMs = 200

const notExecuted = ['503', '429', '421'] as const
/** How an endpoint ends a request; all but the rejections count as runs. */
export const actions = ['200', '500', 'reset', 'silent', ...notExecuted] as const
/** How far an endpoint reads the body before that. */
export const moments = ['head', 'midway', 'end'] as const
/** How an endpoint reads; `late` is a pause after an early rejection, and who reads `slowly` also works slowly. */
export const readings = ['quickly', 'late', 'slowly'] as const

/** How an endpoint treats a request; status 200 comes only at the end of the body. */
export interface Plan {
  readonly at: typeof moments[number]
  readonly action: typeof actions[number]
  readonly reading: typeof readings[number]
}

/** Plan for requests that are meant for another endpoint or that name no plan. */
const misdirected: Plan = { at: 'end', action: '421', reading: 'quickly' }

/** A request as its caller sends it. */
export interface SentReq {
  readonly method: string
  readonly requestTarget: string
  /** Length of the body, which follows from the id and this. */
  readonly bytes: number
}

/** A request as an endpoint got it. */
export interface Arrival {
  readonly endpoint: string
  readonly plan: Plan
  /** Whether the endpoint has begun to run it. */
  hasRun: boolean
  /** Whether the endpoint has read it to its end. */
  isComplete: boolean
  bytes: number
}

/** What callers have sent and endpoints got, shared by all endpoints. */
export class BodyRecord {
  /** Requests that endpoints may get, by id. */
  readonly sent = new Map<string, SentReq>()
  /** Requests that endpoints got, by id. */
  readonly arrivals = new Map<string, Arrival[]>()
  /** Descriptions of bytes that no caller has sent there. */
  readonly faults: string[] = []
}

/** Returns the body of a request. */
export function createReqBody (requestId: string, bytes: number): Buffer {
  return byteEndpoint.createBody(requestId, 'request', bytes)
}

/** Returns the query that asks endpoints for a plan on each arrival; the last one holds for further arrivals. */
export function toQuery (plans: readonly Plan[]): string {
  return `plans=${plans.map(namePlan).join()}`
}

/** Returns a name such as `503-midway-late`. */
export function namePlan ({ at, action, reading }: Plan): string {
  return `${action}-${at}-${reading}`
}

function parsePlans (requestTarget: string): readonly Plan[] {
  const texts = new URL(requestTarget, 'http://endpoint').searchParams.get('plans')?.split(',') ?? []
  return texts.map((text) => {
    const [action, at, reading] = text.split('-')
    return { action, at, reading } as Plan
  })
}

/** Returns whether a plan rejects the request without running it. */
export function isRejection ({ action }: Plan): boolean {
  return notExecuted.some((status) => status === action)
}

/** Serves requests as their queries say. */
export class BodyEndpoint implements socketEndpoint.IConnectionServer {
  readonly endpoint: socketEndpoint.SocketEndpoint

  constructor (id: string, host: string, service: string, private readonly record: BodyRecord) {
    this.endpoint = new socketEndpoint.SocketEndpoint(id, host, service, this)
  }

  serve (socket: net.Socket): void {
    const reader = new ReqReader((head) => new BodyArrival(this.endpoint, socket, head, this.record))
    socket.on('data', (chunk) => reader.push(chunk))
    socket.on('close', () => {
      if (reader.hasOtherBytes) this.record.faults.push(`${this.endpoint.id} got bytes that are no request: ${JSON.stringify(reader.pendingText)}`)
    })
  }
}

/** Receives a request as it arrives. */
interface IReqSink {
  onData(data: Buffer): void
  onEnd(): void
}

/** Splits the bytes of a connection into requests as they arrive. */
class ReqReader {
  private pending: Buffer = Buffer.alloc(0)
  private sink: IReqSink | undefined
  private isChunked = false
  /** Bytes that are due of the body or of its current chunk, without the end of the chunk. */
  private due = 0
  private isInChunk = false
  private isMalformed = false

  constructor (private readonly onHead: (head: string) => IReqSink) {}

  push (chunk: Buffer): void {
    this.pending = Buffer.concat([this.pending, chunk])
    while (this.advance());
  }

  get pendingText (): string {
    return this.pending.toString('latin1', 0, 100)
  }

  /** Whether there are bytes that are neither the beginning of a request nor a chunk. */
  get hasOtherBytes (): boolean {
    if (this.sink !== undefined) return this.isMalformed
    return !requestStarts.some((start) => start.startsWith(this.pending.toString('latin1', 0, start.length)))
  }

  private advance (): boolean {
    if (this.hasOtherBytes) return false
    if (this.sink === undefined) return this.readHead()
    if (this.due > 0) return this.readData(this.sink)
    if (this.isChunked) return this.readChunkHead(this.sink)
    this.endRequest(this.sink)
    return true
  }

  private readHead (): boolean {
    const end = this.pending.indexOf(headEnd)
    if (end < 0) return false
    const head = this.pending.toString('latin1', 0, end)
    this.pending = this.pending.subarray(end + headEnd.length)
    this.isChunked = headerOf(head, 'transfer-encoding') !== undefined
    this.due = this.isChunked ? 0 : Number(headerOf(head, 'content-length') ?? 0)
    this.sink = this.onHead(head)
    return true
  }

  private readData (sink: IReqSink): boolean {
    if (this.pending.length === 0) return false
    const data = this.pending.subarray(0, this.due)
    this.pending = this.pending.subarray(data.length)
    this.due -= data.length
    sink.onData(data)
    return true
  }

  private readChunkHead (sink: IReqSink): boolean {
    const start = this.isInChunk ? lineEnd.length : 0
    const end = this.pending.indexOf(lineEnd, start)
    if (end < 0) return false
    this.due = parseInt(this.pending.toString('latin1', start, end), 16)
    this.isMalformed = Number.isNaN(this.due) || this.pending.toString('latin1', 0, start) !== lineEnd.slice(0, start)
    if (this.isMalformed) return false
    if (this.due === 0 && this.pending.length < end + headEnd.length) return false
    this.pending = this.pending.subarray(end + (this.due === 0 ? headEnd : lineEnd).length)
    this.isInChunk = this.due > 0
    if (this.due === 0) this.endRequest(sink)
    return true
  }

  private endRequest (sink: IReqSink): void {
    this.sink = undefined
    this.isChunked = false
    sink.onEnd()
  }
}

function headerOf (head: string, name: string): string | undefined {
  return new RegExp(`\\r\\n${name}: *([^\\r]*)`, 'i').exec(head)?.[1]
}

/** Compares one request with what its caller sends, and treats it as its plan says. */
class BodyArrival implements IReqSink {
  private readonly requestId: string
  private readonly requestTarget: string
  private readonly sent: SentReq | undefined
  /** The body that the caller sends. */
  private readonly body: Buffer
  private readonly arrival: Arrival | undefined
  private hasActed = false
  private hasOtherBytes = false

  constructor (private readonly endpoint: socketEndpoint.SocketEndpoint, private readonly socket: net.Socket, head: string, private readonly record: BodyRecord) {
    const [method, requestTarget = '/'] = head.split(' ')
    this.requestTarget = requestTarget
    this.requestId = headerOf(head, 'x-rosemaryrack-request-id') ?? ''
    this.sent = record.sent.get(this.requestId)
    this.body = createReqBody(this.requestId, this.sent?.bytes ?? 0)
    if (requestTarget === '/healthz' || requestTarget.endsWith(unrecordedPath)) return
    const isExpected = headerOf(head, 'x-rosemaryrack-expect-instance') === endpoint.id
    const plans = parsePlans(requestTarget)
    const earlier = record.arrivals.get(this.requestId) ?? []
    const plan = (isExpected ? plans[earlier.length] ?? plans.at(-1) : undefined) ?? misdirected
    this.arrival = { endpoint: endpoint.id, plan, hasRun: false, isComplete: false, bytes: 0 }
    record.arrivals.set(this.requestId, [...earlier, this.arrival])
    if (this.sent === undefined) this.addFault('the request of no caller')
    else if (this.sent.method !== method || this.sent.requestTarget !== requestTarget) this.addFault(`${method} ${requestTarget} in place of ${this.sent.method} ${this.sent.requestTarget}`)
    if (plan.at === 'head') this.act(plan)
  }

  onData (data: Buffer): void {
    const { arrival, body } = this
    if (arrival === undefined) return
    const isSame = body.subarray(arrival.bytes, arrival.bytes + data.length).equals(data)
    arrival.bytes += data.length
    if (!isSame && !this.hasOtherBytes) {
      this.hasOtherBytes = true
      this.addFault(`other bytes before byte ${arrival.bytes}`)
    }
    if (arrival.plan.at === 'midway' && arrival.bytes >= body.length / 2) this.act(arrival.plan)
    if (arrival.plan.reading === 'slowly') this.pauseReading(slowReadMs)
  }

  onEnd (): void {
    const { arrival } = this
    if (arrival === undefined) {
      this.socket.write(this.requestTarget === '/healthz' ? this.endpoint.formatNotice('200 OK') : this.formatRes('200 OK', true))
      return
    }
    arrival.isComplete = true
    if (arrival.bytes !== this.body.length) this.addFault(`${arrival.bytes} bytes`)
    this.act(arrival.plan)
  }

  private addFault (what: string): void {
    const { arrival } = this
    this.record.faults.push(`${this.requestId} at ${this.endpoint.id} (${namePlan(arrival!.plan)}): ${what}; the caller sends ${this.body.length} bytes`)
  }

  private act (plan: Plan): void {
    if (this.hasActed) return
    this.hasActed = true
    const { action, at, reading } = plan
    if (isRejection(plan)) this.socket.write(this.formatRes(`${action} Rejected`, false, 'X-Rosemaryrack-Not-Executed: 1\r\n'))
    else this.runRequest(action, reading === 'slowly' ? slowWorkMs : workMs)
    if (at !== 'end' && reading === 'late') this.pauseReading(lateReadMs)
  }

  private async runRequest (action: Plan['action'], durationMs: number): Promise<void> {
    this.arrival!.hasRun = true
    if (action === 'silent') return
    await async.sleep(durationMs)
    if (action === 'reset') this.socket.resetAndDestroy()
    else this.socket.write(this.formatRes(action === '200' ? '200 OK' : '500 Failed', action === '200'))
  }

  private formatRes (status: string, hasBody: boolean, headers = ''): Buffer {
    const { stamp } = this.endpoint
    const body = hasBody ? byteEndpoint.createBody(this.requestId, stamp, responseBytes) : Buffer.alloc(0)
    const head = `HTTP/1.1 ${status}\r\nX-Rosemaryrack-Request-Id: ${this.requestId}\r\nX-Rosemaryrack-Server-Stamp: ${stamp}\r\n${headers}Content-Length: ${body.length}${headEnd}`
    return Buffer.concat([Buffer.from(head), body])
  }

  private async pauseReading (pauseMs: number): Promise<void> {
    this.socket.pause()
    await async.sleep(pauseMs)
    this.socket.resume()
  }
}
