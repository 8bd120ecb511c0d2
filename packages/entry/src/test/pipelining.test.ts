/**
 * Requests that a caller sends ahead on its connection: only some are served at a time, all are answered in order, and none is lost or
 * changed because the input is parsed in parts.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as fastCheck from 'fast-check'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as callerFixture from './callerFixture.js'
import * as parsingTurns from '@rosemaryrack/listener/node/parsingTurns.js'
import * as requestFeed from '@rosemaryrack/listener/node/requestFeed.js'

const okResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
const perConnection = 4
const settleMs = 100
/** Longer than Node.js takes to notice a head that is overdue, which it checks once per second. */
const headCheckMs = 3000

function get (number: number): string {
  return `GET /x?${number} HTTP/1.1\r\nHost: a\r\n\r\n`
}

function manyGets (count: number): string {
  return Array.from({ length: count }, (_value, i) => get(i)).join('')
}

function repeat (text: string, count: number): readonly string[] {
  return Array.from({ length: count }, () => text)
}

/** A listener whose endpoint responds to nothing until `release` is called. */
class SilentFixture {
  private isSilent = true
  private readonly waiting: net.Socket[] = []
  readonly fixture: callerFixture.CallerFixture

  constructor (options: ConstructorParameters<typeof callerFixture.CallerFixture>[2], lane: object = {}, private readonly response = okResponse) {
    this.fixture = new callerFixture.CallerFixture(lane, (socket) => {
      if (this.isSilent) this.waiting.push(socket)
      else socket.write(response)
    }, { slots: 100, ...options })
  }

  release (): void {
    this.isSilent = false
    for (const socket of this.waiting.splice(0)) socket.write(this.response)
  }
}

tap.t.test('only some requests of a connection are served at a time, and all are answered', async (t) => {
  const silent = new SilentFixture({ limits: { requestsPerConnection: perConnection } })
  await using fixture = await silent.fixture.start()
  const count = 200
  const caller = fixture.send(manyGets(count))
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === perConnection))
  await async.sleep(settleMs)
  t.equal(fixture.listener.inFlightCount, perConnection)
  t.equal(fixture.targetRequests, perConnection)
  silent.release()
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length === count))
  t.same(caller.statuses, repeat('200', count))
  t.equal(fixture.listener.inFlightCount, 0)
})

tap.t.test('requests that were sent ahead are answered before the listener stops', async (t) => {
  const silent = new SilentFixture({ graceS: 10, limits: { requestsPerConnection: perConnection } })
  await using fixture = await silent.fixture.start()
  const count = 50
  const caller = fixture.send(manyGets(count))
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === perConnection))
  const stopped = fixture.stop()
  silent.release()
  await stopped
  t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed))
  t.same(caller.statuses, repeat('200', count))
})

tap.t.test('what is no HTTP is refused after the requests that were sent before it are answered', async (t) => {
  const silent = new SilentFixture({ limits: { requestsPerConnection: perConnection } })
  await using fixture = await silent.fixture.start()
  const caller = fixture.send(manyGets(2 * perConnection) + 'nonsense\r\n\r\n')
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === perConnection))
  silent.release()
  t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed))
  t.same(caller.statuses, repeat('200', 2 * perConnection))
})

tap.t.test('a head that is incomplete because the connection is not read does not time out', async (t) => {
  const silent = new SilentFixture({ limits: { requestsPerConnection: perConnection } })
  await using fixture = await silent.fixture.start()
  fixture.config.replaceLanes({ lane: { service: 'diary', match: { pathPrefix: '/' }, idempotent: true, deadlineMs: 20_000, maxWaitMs: 5000, maxAttempts: 1, coldStartMs: 0, progressTimeoutMs: 20_000 } }, { headerTimeoutMs: 500 })
  const count = 200
  const caller = fixture.send(manyGets(count))
  await async.sleep(headCheckMs)
  t.same(caller.statuses, [])
  t.notOk(caller.hasEnded)
  silent.release()
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length === count))
  t.same(caller.statuses, repeat('200', count))
  caller.socket.write('GET /x HTTP/1.1\r\n')
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length > count), 'a head that the caller does not complete times out')
  t.equal(caller.statuses.at(-1), '408')
})

tap.t.test('connections with a single request have slots of their own; a request without a slot is refused as not run', async (t) => {
  const silent = new SilentFixture({ limits: { requests: 2, reservedShare: 0.5 } })
  await using fixture = await silent.fixture.start()
  const ahead = fixture.send(manyGets(3))
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  const single = fixture.send(get(0))
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 2))
  const refused = fixture.send(get(0))
  t.ok(await callerFixture.waitUntil(() => refused.received.includes('as many requests as it can')))
  t.match(refused.received, /^HTTP\/1\.1 503 [^]*rack-outcome: not-run\r\n[^]*Retry-After: 1\r\n/)
  t.equal(fixture.targetRequests, 2)
  silent.release()
  t.ok(await callerFixture.waitUntil(() => ahead.statuses.length === 3 && single.statuses.length === 1))
  t.same([...ahead.statuses, ...single.statuses], repeat('200', 4))
  refused.socket.write(get(1))
  t.ok(await callerFixture.waitUntil(() => refused.statuses.length === 2), 'the refused connection goes on')
  t.match(fixture.metricsText, 'rosemaryrack_caller_limits_total{limit="requests"} 1')
})

tap.t.test('a connection whose caller reads nothing is reset once too many bytes wait for it', async (t) => {
  const bodyBytes = 64 * 1024 * 1024
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => { socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n`); socket.write(Buffer.alloc(bodyBytes)) }, { slots: 100, limits: { unsentBytes: 65_536 } }).start()
  const caller = fixture.send(manyGets(8))
  caller.socket.pause()
  t.ok(await callerFixture.waitUntil(() => fixture.metricsText.includes('rosemaryrack_caller_limits_total{limit="unsentBytes"} 1')))
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0))
})

tap.t.test('connections that send ahead are reset once too much of their input waits', async (t) => {
  const silent = new SilentFixture({ limits: { requestsPerConnection: perConnection, heldInputBytes: 100_000 } })
  await using fixture = await silent.fixture.start()
  const callers = Array.from({ length: 10 }, () => fixture.send(manyGets(5000)))
  t.ok(await callerFixture.waitUntil(() => callers.some(({ isClosed }) => isClosed)))
  await async.sleep(settleMs)
  t.ok(callers.some(({ isClosed }) => !isClosed), 'only as many as needed')
  t.ok(fixture.listener.heldInputBytes <= 100_000)
  for (const { socket } of callers) socket.destroy()
  silent.release()
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0 && fixture.listener.connectionCount === 0))
  t.equal(fixture.listener.heldInputBytes, 0)
})

tap.t.test('connections beyond the limit are closed', async (t) => {
  const silent = new SilentFixture({ limits: { connections: 2 } })
  silent.release()
  await using fixture = await silent.fixture.start()
  const [first, second] = [fixture.send(get(0)), fixture.send(get(0))]
  t.ok(await callerFixture.waitUntil(() => first.statuses.length === 1 && second.statuses.length === 1))
  const third = fixture.send(get(0))
  t.ok(await callerFixture.waitUntil(() => third.hasEnded || third.isClosed))
  t.same(third.statuses, [])
  t.match(fixture.metricsText, 'rosemaryrack_caller_limits_total{limit="connections"} 1')
  first.socket.destroy()
  t.ok(await callerFixture.waitUntil(() => fixture.listener.connectionCount === 1))
  const fourth = fixture.send(get(0))
  t.ok(await callerFixture.waitUntil(() => fourth.statuses.length === 1))
})

/** A request of the property below. */
interface SentReq {
  readonly framing: 'none' | 'length' | 'chunks'
  readonly bytes: number
  readonly headerBytes: number
  /** Length of each chunk but the last. */
  readonly chunkBytes: number
}

const sentReq: fastCheck.Arbitrary<SentReq> = fastCheck.record({
  framing: fastCheck.constantFrom('none', 'length', 'chunks'),
  bytes: fastCheck.oneof(fastCheck.integer({ min: 0, max: 20 }), fastCheck.integer({ min: 0, max: 30_000 })),
  headerBytes: fastCheck.oneof(fastCheck.constant(0), fastCheck.integer({ min: 0, max: 3000 })),
  chunkBytes: fastCheck.oneof(fastCheck.integer({ min: 1, max: 20 }), fastCheck.integer({ min: 1, max: 30_000 }))
})

/** Returns a body that can be told from a shifted one. */
function bodyOf (number: number, bytes: number): string {
  return `${number}|`.repeat(Math.ceil(bytes / 2)).slice(0, bytes)
}

/** Returns the body in chunks, without the last one. */
function chunksOf (body: string, chunkBytes: number): string {
  const chunks = Array.from({ length: Math.ceil(body.length / chunkBytes) }, (_value, i) => body.slice(i * chunkBytes, (i + 1) * chunkBytes))
  return chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')
}

function format ({ framing, bytes, headerBytes, chunkBytes }: SentReq, number: number): string {
  const body = bodyOf(number, bytes)
  const head = `POST /${number} HTTP/1.1\r\nHost: a\r\nX-Filler: ${'f'.repeat(headerBytes)}\r\n`
  if (framing === 'none') return `${head}\r\n`
  if (framing === 'length') return `${head}Content-Length: ${bytes}\r\n\r\n${body}`
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunksOf(body, chunkBytes)}0\r\n\r\n`
}

/** Sends the requests in pieces of a size, through a feed that lets one request at a time be served; returns what the server received. */
async function exchange (requests: readonly SentReq[], pieceBytes: number): Promise<{ readonly received: readonly string[], readonly mostUnanswered: number, readonly bodyParts: number }> {
  const received: string[] = []
  const unanswered = { count: 0, most: 0 }
  let bodyParts = 0
  const feeds = new WeakMap<net.Socket, requestFeed.RequestFeed>()
  const server = http.createServer((req, res) => {
    const feed = feeds.get(req.socket)!
    feed.noteRequest(req)
    unanswered.count++
    unanswered.most = Math.max(unanswered.most, unanswered.count)
    res.once('close', () => {
      unanswered.count--
      feed.continue()
    })
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => {
      bodyParts++
      chunks.push(chunk)
    })
    req.on('end', () => setImmediate(() => {
      received.push(`${req.url} ${Buffer.concat(chunks).toString()}`)
      res.end()
    }))
  })
  server.on('connection', (socket: net.Socket) => feeds.set(socket, new requestFeed.RequestFeed(socket, () => unanswered.count === 0, new parsingTurns.ParsingTurns())))
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
  client.resume()
  const text = Buffer.from(requests.map(format).join(''))
  for (let at = 0; at < text.length; at += pieceBytes) {
    client.write(text.subarray(at, at + pieceBytes))
    if (at % 3 === 0) await async.nextTurn()
  }
  client.end()
  await new Promise((resolve) => client.once('close', resolve))
  server.close()
  return { received, mostUnanswered: unanswered.most, bodyParts }
}

// Guards against a whole read being parsed, with thousands of requests.
tap.t.test('parsing stops soon after the connection has its requests', async (t) => {
  const count = 1000
  const { received, mostUnanswered } = await exchange(Array.from({ length: count }, () => ({ framing: 'none', bytes: 0, headerBytes: 0, chunkBytes: 1 })), 1_000_000)
  t.equal(received.length, count)
  const shortest = format({ framing: 'none', bytes: 0, headerBytes: 0, chunkBytes: 1 }, 0).length
  t.ok(mostUnanswered <= Math.ceil(1024 / shortest), `${mostUnanswered} requests`)
})

// Guards against the memory of a chunk, which is hundreds of times that of a byte.
tap.t.test('chunks that are parsed together are held as one', async (t) => {
  const bytes = 10_000
  const request: SentReq = { framing: 'chunks', bytes, headerBytes: 0, chunkBytes: 1 }
  const { received, bodyParts } = await exchange([request], 1_000_000)
  t.same(received, [`/0 ${bodyOf(0, bytes)}`])
  t.ok(bodyParts <= Math.ceil(format(request, 0).length / 4096) + 1, `${bodyParts} parts`)
})

tap.t.test('requests of all framings arrive whole and in order, however they are split', async (t) => {
  await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(sentReq, { minLength: 1, maxLength: 30 }), fastCheck.integer({ min: 100, max: 100_000 }), async (requests, pieceBytes) => {
    const expected = requests.map(({ framing, bytes }, i) => `/${i} ${framing === 'none' ? '' : bodyOf(i, bytes)}`)
    const { received } = await exchange(requests, pieceBytes)
    if (received.length !== expected.length || received.some((each, i) => each !== expected[i])) throw new Error(`${received.length} of ${expected.length} requests, or changed ones`)
  }), { numRuns: 60, seed: 7 })
  t.pass()
})
