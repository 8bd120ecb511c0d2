/** A caller that sends one request after another on a connection that it keeps open. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'

/** Time after its deadline at which a caller gives up if no response has begun. */
const patienceMs = 2000

/** A request to send. */
export interface KeptReq {
  readonly requestId: string
  readonly host: string
  readonly method: string
  readonly path: string
  readonly deadlineMs: number
  readonly body: string
  /** Time between the two halves of the body. */
  readonly bodyMs: number
  /** Time without reading once the response has begun. */
  readonly readPauseMs: number
}

/** How a request ended, with times on the process's monotonic clock. */
export interface KeptOutcome {
  /** Status of a complete response; `cut` if the connection ended without one, `unconnected` if none was open or opened. */
  readonly result: number | 'cut' | 'unconnected' | 'gave-up'
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
  readonly startedAt: number
  /** Time at which the request was written in whole; undefined if it was not. */
  readonly sentAt: number | undefined
  readonly endedAt: number
  /** Whether the connection had carried a request before. */
  readonly isReused: boolean
  readonly error: string | undefined
}

/** Sends requests on one connection, and opens a new one once that has ended. */
export class KeptConnection {
  private readonly agent = new checkedSocket.CheckedAgent({ keepAlive: true, maxSockets: 1 })

  constructor (private readonly address: string) {}

  /** Sends a request; resolves once it has ended in any way. */
  send (keptReq: KeptReq): Promise<KeptOutcome> {
    return new Promise((resolve) => {
      const startedAt = performance.now()
      let sentAt: number | undefined
      let isConnected = false
      let hasGivenUp = false
      const req = http.request(`http://${this.address}${keptReq.path}`, {
        method: keptReq.method,
        agent: this.agent,
        headers: {
          host: keptReq.host,
          'x-rosemaryrack-request-id': keptReq.requestId,
          'x-rosemaryrack-deadline-ms': String(keptReq.deadlineMs),
          ...(keptReq.body === '' ? {} : { 'content-length': Buffer.byteLength(keptReq.body) })
        }
      })
      const timer = setTimeout(() => {
        hasGivenUp = true
        req.destroy(new Error('gave up'))
      }, keptReq.deadlineMs + patienceMs)
      const finish = (outcome: Pick<KeptOutcome, 'result' | 'headers' | 'body' | 'error'>): void => {
        clearTimeout(timer)
        resolve({ ...outcome, startedAt, sentAt, endedAt: performance.now(), isReused: req.reusedSocket })
      }
      const fail = (err: Error): void => {
        const failure = isConnected ? 'cut' : 'unconnected'
        finish({ result: hasGivenUp ? 'gave-up' : failure, headers: {}, body: '', error: err.message })
      }
      req.on('socket', (socket: net.Socket) => {
        if (!socket.connecting) isConnected = true
        else socket.once('connect', () => { isConnected = true })
      })
      req.on('finish', () => { sentAt = performance.now() })
      req.on('error', fail)
      req.on('response', (res) => {
        clearTimeout(timer)
        this.read(res, keptReq.readPauseMs).then((body) => finish({ result: res.statusCode ?? 0, headers: res.headers, body, error: undefined }), fail)
      })
      this.write(req, keptReq)
    })
  }

  close (): void {
    this.agent.destroy()
  }

  private async write (req: http.ClientRequest, { body, bodyMs }: KeptReq): Promise<void> {
    const half = Math.floor(body.length / 2)
    if (half > 0 && bodyMs > 0) {
      req.write(body.slice(0, half))
      await async.sleep(bodyMs)
      req.end(body.slice(half))
    } else {
      req.end(body)
    }
  }

  private async read (res: http.IncomingMessage, pauseMs: number): Promise<string> {
    if (pauseMs > 0) await async.sleep(pauseMs)
    const chunks: Buffer[] = []
    for await (const chunk of res) chunks.push(chunk as Buffer)
    if (!res.complete) throw new Error('the response is incomplete')
    return Buffer.concat(chunks).toString('latin1')
  }
}
