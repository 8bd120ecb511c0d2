/**
 * Program of a stand-in target: announces itself, handles each request as its query parameters specify, and
 * records each run in a journal file.
 */
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as undici from 'undici'
import * as address from '@rosemaryrack/base/common/address.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as contentPattern from '../common/contentPattern.js'

const renewIntervalMs = 500
const announceTimeoutMs = 1000
const drainPollMs = 20
const defaultServiceTimeMs = 5
const crashExitCode = 70

/** Options of a stand-in target, passed as JSON in its only command line argument. */
export interface StandInOptions {
  readonly endpoint: string
  readonly service: string
  readonly listen: string
  /** Address to announce when it differs from `listen`. */
  readonly advertise?: string
  readonly failureDomain: string
  readonly slots: number
  readonly connectionLimit: number
  readonly leaseMs: number
  readonly announceTo: readonly string[]
  readonly announceToken: string
  readonly journal: string
}

/** Point at which a request can be made to fail: before it runs, after it ran, or halfway through its response. */
type FailurePhase = 'before' | 'after' | 'mid'

/** How to handle a request, from its query parameters. */
interface Behaviour {
  readonly serviceMs: number
  readonly bytes: number
  readonly bytesPerSecond: number
  readonly crashPhase: FailurePhase | undefined
  /** How long a crashing process hangs with its connections open, like one that writes a core dump. */
  readonly crashDelayMs: number
  readonly resetPhase: FailurePhase | undefined
  readonly isSilent: boolean
  readonly shouldShed: boolean
  readonly status: number
}

class StandInTarget {
  private readonly journalFd: number
  private readonly incarnation = Date.now()
  private sequence = 0
  private state = 'ready'
  private runningCount = 0
  private nextInstance = 0
  private readonly server = http.createServer((req, res) => { this.handleRequest(req, res) })

  constructor (private readonly options: StandInOptions) {
    this.journalFd = fs.openSync(options.journal, 'a')
  }

  async start (): Promise<void> {
    const { host, port } = address.parseAddress(this.options.listen)
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve))
    process.on('SIGTERM', () => { this.drain() })
    this.keepAnnouncing()
  }

  private async keepAnnouncing (): Promise<void> {
    while (this.state !== 'left') {
      await this.announce()
      await async.sleep(renewIntervalMs)
    }
  }

  /** Announces that it drains, serves requests until none has run for a while, announces that it left and exits. */
  private async drain (): Promise<void> {
    this.state = 'draining'
    await this.announce()
    const quietMs = 1500
    for (let quietSince = Date.now(); Date.now() - quietSince < quietMs;) {
      if (this.runningCount > 0) quietSince = Date.now()
      await async.sleep(drainPollMs)
    }
    this.state = 'left'
    await this.announce()
    process.exit(0)
  }

  /**
   * Announces to the next instance in turn, like the platform's load balancer, which distributes announcements over the
   * instances, and tries the following ones when that fails.
   */
  private async announce (): Promise<void> {
    const { options } = this
    const body = JSON.stringify({
      endpoint: options.endpoint,
      service: options.service,
      address: options.advertise ?? options.listen,
      failureDomain: options.failureDomain,
      slots: options.slots,
      connectionLimit: options.connectionLimit,
      state: this.state,
      load: this.runningCount / options.slots,
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      leaseMs: options.leaseMs
    })
    for (let i = 0; i < options.announceTo.length; i++) {
      const instance = options.announceTo[this.nextInstance++ % options.announceTo.length]!
      try {
        const res = await undici.request(`http://${instance}/announcements`, {
          method: 'POST',
          headers: { authorization: secret.authorizationHeader(options.announceToken), 'content-type': 'application/json' },
          body,
          headersTimeout: announceTimeoutMs,
          bodyTimeout: announceTimeoutMs
        })
        await res.body.dump()
        if (res.statusCode === 200) return
      } catch {
        // The instance is down or unreachable.
      }
    }
  }

  private async handleRequest (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://target')
    const behaviour = parseBehaviour(url.searchParams)
    const id = String(req.headers['x-request-id'] ?? 'none')
    this.failIfRequested(behaviour, 'before', req)
    if (behaviour.shouldShed) {
      res.writeHead(503, { 'rack-outcome': 'not-run', 'retry-after': '1' }).end()
      return
    }
    this.writeJournal(id, 'begin', req)
    this.runningCount++
    try {
      const body = await readBody(req)
      await async.sleep(behaviour.serviceMs)
      this.writeJournal(id, 'end', req)
      this.failIfRequested(behaviour, 'after', req)
      if (!behaviour.isSilent) await this.sendResponse(req, res, behaviour, body)
    } catch {
      // The caller closed the connection while it sent the request or read the response.
    } finally {
      this.runningCount--
    }
  }

  private writeJournal (id: string, event: 'begin' | 'end', req: http.IncomingMessage): void {
    const key = req.headers['idempotency-key']
    fs.writeSync(this.journalFd, JSON.stringify({ id, key, event, at: Date.now(), endpoint: this.options.endpoint }) + '\n')
  }

  private failIfRequested (behaviour: Behaviour, phase: FailurePhase, req: http.IncomingMessage): void {
    if (behaviour.crashPhase === phase) this.crash(behaviour.crashDelayMs)
    if (behaviour.resetPhase === phase) req.socket.resetAndDestroy()
  }

  private crash (delayMs: number): never {
    // Blocks the event loop, so connections stay open but nothing is served.
    if (delayMs > 0) Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, delayMs)
    process.exit(crashExitCode)
  }

  private async sendResponse (req: http.IncomingMessage, res: http.ServerResponse, behaviour: Behaviour, body: Buffer): Promise<void> {
    const load = `TEXT application_utilization=${(this.runningCount / this.options.slots).toFixed(2)}`
    res.setHeader('endpoint-load-metrics', load)
    res.setHeader('rack-endpoint', this.options.endpoint)
    if (behaviour.bytes > 0) {
      await this.sendContent(req, res, behaviour)
      return
    }
    const text = JSON.stringify({ endpoint: this.options.endpoint, path: req.url, received: body.length, echo: body.toString('utf8').slice(0, 200) })
    res.writeHead(behaviour.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    res.end(text)
  }

  private async sendContent (req: http.IncomingMessage, res: http.ServerResponse, behaviour: Behaviour): Promise<void> {
    const etag = `"content-${behaviour.bytes}"`
    const range = /^bytes=(\d+)-$/.exec(req.headers.range ?? '')
    const isPartial = range !== null && (req.headers['if-range'] ?? etag) === etag
    const start = isPartial ? Number(range[1]) : 0
    const headers = { etag, 'accept-ranges': 'bytes', 'content-length': behaviour.bytes - start }
    if (isPartial) res.writeHead(206, { ...headers, 'content-range': `bytes ${start}-${behaviour.bytes - 1}/${behaviour.bytes}` })
    else res.writeHead(200, headers)
    // A resumed download does not fail again.
    const failAt = start === 0 ? behaviour.bytes / 2 : Infinity
    for (let offset = start; offset < behaviour.bytes && !res.destroyed;) {
      const chunk = contentPattern.contentAt(offset, behaviour.bytes - offset)
      if (!res.write(chunk)) await new Promise((resolve) => { res.once('drain', resolve).once('close', resolve) })
      offset += chunk.length
      if (offset >= failAt) this.failIfRequested(behaviour, 'mid', req)
      if (behaviour.bytesPerSecond > 0) await async.sleep(chunk.length / behaviour.bytesPerSecond * 1000)
    }
    res.end()
  }
}

function parseBehaviour (query: URLSearchParams): Behaviour {
  const numberParam = (name: string, fallback: number): number => Number(query.get(name) ?? fallback)
  return {
    serviceMs: numberParam('ms', defaultServiceTimeMs),
    bytes: numberParam('bytes', 0),
    bytesPerSecond: numberParam('rate', 0),
    crashPhase: (query.get('crash') ?? undefined) as FailurePhase | undefined,
    crashDelayMs: numberParam('dying', 0),
    resetPhase: (query.get('reset') ?? undefined) as FailurePhase | undefined,
    isSilent: query.has('silent'),
    shouldShed: query.has('shed'),
    status: numberParam('status', 200)
  }
}

async function readBody (req: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

await new StandInTarget(JSON.parse(process.argv[2] ?? '{}') as StandInOptions).start()
