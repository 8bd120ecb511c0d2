/**
 * A stand-in target as its own process: announces itself, runs requests as their query asks, and
 * writes each run into a journal.
 */
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as undici from 'undici'
import * as address from '@rosemaryrack/base/common/address.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as contentPattern from '../common/contentPattern.js'

const renewMs = 500
const announceTimeoutMs = 1000
const idempotencyPollMs = 20
const defaultServiceMs = 5
const crashExitCode = 70

/** What a stand-in target is told in its one JSON argument. */
export interface StandInOptions {
  readonly endpoint: string
  readonly service: string
  readonly listen: string
  /** Address that is announced, where it differs. */
  readonly advertise?: string
  readonly failureDomain: string
  readonly slots: number
  readonly connectionLimit: number
  readonly leaseMs: number
  readonly announceTo: readonly string[]
  readonly announceToken: string
  readonly journal: string
}

/** A point of a request's run at which it can be made to fail. */
type Phase = 'before' | 'after' | 'mid'

/** What a request asks for in its query. */
interface Behaviour {
  readonly serviceMs: number
  readonly bytes: number
  readonly bytesPerSecond: number
  readonly crash: Phase | undefined
  /** How long a crashing process hangs with its connections open, as one that writes its memory to disk does. */
  readonly dyingMs: number
  readonly reset: Phase | undefined
  readonly silent: boolean
  readonly shed: boolean
  readonly status: number
}

class StandInTarget {
  private readonly journal: number
  private readonly incarnation = Date.now()
  private sequence = 0
  private state = 'ready'
  private running = 0
  private turn = 0
  private readonly server = http.createServer((req, res) => { this.serve(req, res) })

  constructor (private readonly options: StandInOptions) {
    this.journal = fs.openSync(options.journal, 'a')
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
      await async.sleep(renewMs)
    }
  }

  /** Drains: takes what still arrives until nothing runs, then leaves. */
  private async drain (): Promise<void> {
    this.state = 'draining'
    await this.announce()
    const quietMs = 1500
    for (let quietSince = Date.now(); Date.now() - quietSince < quietMs;) {
      if (this.running > 0) quietSince = Date.now()
      await async.sleep(idempotencyPollMs)
    }
    this.state = 'left'
    await this.announce()
    process.exit(0)
  }

  /** Announces to the next instance, as the platform's balancer would choose one; the one after it when that fails. */
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
      load: this.running / options.slots,
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      leaseMs: options.leaseMs
    })
    for (let i = 0; i < options.announceTo.length; i++) {
      const to = options.announceTo[this.turn++ % options.announceTo.length]!
      try {
        const res = await undici.request(`http://${to}/announcements`, {
          method: 'POST',
          headers: { authorization: secret.bearer(options.announceToken), 'content-type': 'application/json' },
          body,
          headersTimeout: announceTimeoutMs,
          bodyTimeout: announceTimeoutMs
        })
        await res.body.dump()
        if (res.statusCode === 200) return
      } catch {
        // That instance is down or cut off.
      }
    }
  }

  private async serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://target')
    const behaviour = behaviourOf(url.searchParams)
    const id = String(req.headers['x-request-id'] ?? 'none')
    this.fail(behaviour, 'before', req)
    if (behaviour.shed) {
      res.writeHead(503, { 'rack-outcome': 'not-run', 'retry-after': '1' }).end()
      return
    }
    this.note(id, 'begin', req)
    this.running++
    try {
      const body = await readBody(req)
      await async.sleep(behaviour.serviceMs)
      this.note(id, 'end', req)
      this.fail(behaviour, 'after', req)
      if (!behaviour.silent) await this.answer(req, res, behaviour, body)
    } catch {
      // The caller went away while it sent or read.
    } finally {
      this.running--
    }
  }

  private note (id: string, event: 'begin' | 'end', req: http.IncomingMessage): void {
    const key = req.headers['idempotency-key']
    fs.writeSync(this.journal, JSON.stringify({ id, key, event, at: Date.now(), endpoint: this.options.endpoint }) + '\n')
  }

  private fail (behaviour: Behaviour, phase: Phase, req: http.IncomingMessage): void {
    if (behaviour.crash === phase) this.crash(behaviour.dyingMs)
    if (behaviour.reset === phase) req.socket.resetAndDestroy()
  }

  private crash (dyingMs: number): never {
    if (dyingMs > 0) Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, dyingMs)
    process.exit(crashExitCode)
  }

  private async answer (req: http.IncomingMessage, res: http.ServerResponse, behaviour: Behaviour, body: Buffer): Promise<void> {
    const load = `TEXT application_utilization=${(this.running / this.options.slots).toFixed(2)}`
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
    const partial = range !== null && (req.headers['if-range'] ?? etag) === etag
    const start = partial ? Number(range[1]) : 0
    const headers = { etag, 'accept-ranges': 'bytes', 'content-length': behaviour.bytes - start }
    if (partial) res.writeHead(206, { ...headers, 'content-range': `bytes ${start}-${behaviour.bytes - 1}/${behaviour.bytes}` })
    else res.writeHead(200, headers)
    const failAt = start === 0 ? behaviour.bytes / 2 : Infinity
    for (let offset = start; offset < behaviour.bytes && !res.destroyed;) {
      const chunk = contentPattern.contentAt(offset, behaviour.bytes - offset)
      if (!res.write(chunk)) await new Promise((resolve) => { res.once('drain', resolve).once('close', resolve) })
      offset += chunk.length
      if (offset >= failAt) this.fail(behaviour, 'mid', req)
      if (behaviour.bytesPerSecond > 0) await async.sleep(chunk.length / behaviour.bytesPerSecond * 1000)
    }
    res.end()
  }
}

function behaviourOf (query: URLSearchParams): Behaviour {
  const number = (name: string, fallback: number): number => Number(query.get(name) ?? fallback)
  return {
    serviceMs: number('ms', defaultServiceMs),
    bytes: number('bytes', 0),
    bytesPerSecond: number('rate', 0),
    crash: (query.get('crash') ?? undefined) as Phase | undefined,
    dyingMs: number('dying', 0),
    reset: (query.get('reset') ?? undefined) as Phase | undefined,
    silent: query.has('silent'),
    shed: query.has('shed'),
    status: number('status', 200)
  }
}

async function readBody (req: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

await new StandInTarget(JSON.parse(process.argv[2] ?? '{}') as StandInOptions).start()
