/** Requests with short bodies on plain sockets: an endpoint runs what the caller has sent, or nothing. */
import type * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'

const sizes = [1, 300, 1800, 24_000, 65_535]
const eventTimeoutMs = 20_000
const settleMs = 50
const deadline = '10000'
const options = { retryRatio: 1, deadlineMs: 10_000 }

interface SentRequest {
  readonly id: string
  readonly method: string
  readonly target: string
  readonly body: string
}

/** Returns a request whose body has no two equal parts. */
function createRequest (id: string, size: number, method = 'POST'): SentRequest {
  const body = Array.from({ length: Math.ceil(size / 8) }, (_value, i) => `${i}`.padStart(8, '.')).join('').slice(0, size)
  return { id, method, target: `/${id}/%20a?q=${size}&p=/../b`, body }
}

function createHead ({ id, method, target }: SentRequest, headers: readonly string[]): string {
  return [`${method} ${target} HTTP/1.1`, 'Host: a', `x-id: ${id}`, `x-deadline: ${deadline}`, ...headers, '', ''].join('\r\n')
}

function withLength (req: SentRequest, ...headers: readonly string[]): string {
  return createHead(req, [...headers, `Content-Length: ${req.body.length}`]) + req.body
}

interface ChunkOptions {
  readonly chunkBytes?: number
  readonly extension?: string
  readonly trailers?: string
  readonly coding?: string
  readonly headers?: readonly string[]
}

function inChunks (req: SentRequest, { chunkBytes = 1000, extension = '', trailers = '', coding = 'chunked', headers = [] }: ChunkOptions = {}): string {
  const chunks = Array.from({ length: Math.ceil(req.body.length / chunkBytes) }, (_value, i) => req.body.slice(i * chunkBytes, (i + 1) * chunkBytes))
  const framed = chunks.map((chunk) => `${chunk.length.toString(16)}${extension}\r\n${chunk}\r\n`).join('')
  return `${createHead(req, [...headers, `Transfer-Encoding: ${coding}`])}${framed}0${extension}\r\n${trailers}\r\n`
}

/** Ways to send a body; the entry instance may refuse some of them. */
const framings: Readonly<Record<string, (req: SentRequest) => string>> = {
  length: (req) => withLength(req),
  'length with zeros before it': (req) => `${createHead(req, [`Content-Length: 000${req.body.length}`])}${req.body}`,
  'two equal lengths': (req) => withLength(req, `Content-Length: ${req.body.length}`),
  'two lengths': (req) => withLength(req, `Content-Length: ${req.body.length + 1}`),
  chunks: (req) => inChunks(req),
  'chunks of 7 bytes': (req) => inChunks(req, { chunkBytes: 7 }),
  'chunks with extensions': (req) => inChunks(req, { extension: ';a=1;b="0 5"' }),
  'chunks and trailers': (req) => inChunks(req, { trailers: 'X-Sum: 1\r\n', headers: ['Trailer: X-Sum'] }),
  'chunks and trailers that name a length': (req) => inChunks(req, { trailers: 'Content-Length: 1\r\n' }),
  'chunks and a length': (req) => inChunks(req, { headers: [`Content-Length: ${req.body.length}`] }),
  'chunks twice': (req) => inChunks(req, { coding: 'chunked, chunked' }),
  'chunks and another coding before them': (req) => inChunks(req, { coding: 'gzip, chunked' }),
  'chunks and another coding in a header before': (req) => inChunks(req, { headers: ['Transfer-Encoding: deflate'] }),
  'chunks in upper case after an empty item': (req) => inChunks(req, { coding: ' , CHUNKED' }),
  'chunks and another coding after them': (req) => inChunks(req, { coding: 'chunked, gzip' }),
  'an expectation': (req) => withLength(req, 'Expect: 100-continue'),
  'an idempotency key': (req) => withLength(req, 'Idempotency-Key: k'),
  'a length that is named in Connection': (req) => withLength(req, 'Connection: keep-alive, content-length, x-id'),
  'an upgrade': (req) => withLength(req, 'Connection: upgrade', 'Upgrade: h2c')
}

/** Framings that the HTTP parser of some versions of Node.js rejects: an extension with a space in quotes, and a length among trailers. */
const parserDependent: ReadonlySet<string> = new Set(['chunks with extensions', 'chunks and trailers that name a length'])
/** The outcomes of requests that are run as they were sent, and of such that the parser rejects. */
const wholeOutcome = { statuses: { 200: 10 }, runs: { whole: 10 } }
const rejectedOutcome = { statuses: { 400: 10 }, runs: {} }

function splitText (text: string, bytes: number): string[] {
  return Array.from({ length: Math.ceil(text.length / bytes) }, (_value, i) => text.slice(i * bytes, (i + 1) * bytes))
}

/** Sends parts on one connection, and waits for the responses or the end of the connection. Returns the status codes. */
async function exchange (address: string, parts: readonly string[], responses = 1, beforePart: (index: number) => Promise<unknown> = async () => await timers.setImmediate()): Promise<readonly string[]> {
  const [host, port] = address.split(':')
  const socket = net.connect(Number(port), host).setNoDelay(true)
  let received = ''
  const getStatuses = (): readonly string[] => [...received.matchAll(/HTTP\/1\.1 (?!100)(\d{3})/g)].map((match) => match[1]!)
  socket.on('data', (data) => { received += data.toString('latin1') }).on('error', () => {})
  for (const [i, part] of parts.entries()) {
    if (i > 0) await beforePart(i)
    socket.write(part, 'latin1')
  }
  await entries.waitUntil(() => getStatuses().length >= responses || socket.closed, eventTimeoutMs)
  socket.destroy()
  return getStatuses()
}

/** Handles requests like an endpoint that runs them, and compares them with what was sent. */
class Runs {
  readonly outcomes: string[] = []
  private readonly sent = new Map<string, SentRequest>()

  create (...args: Parameters<typeof createRequest>): SentRequest {
    const req = createRequest(...args)
    this.sent.set(req.id, req)
    return req
  }

  readonly handle: http.RequestListener = (req, res) => {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => {
      this.outcomes.push(this.compare(req, Buffer.concat(chunks).toString('latin1')))
      res.writeHead(200, entries.stamp(req)).end('ran')
    }).on('error', () => {})
  }

  private compare ({ method, url, headers }: http.IncomingMessage, body: string): string {
    const sent = this.sent.get(String(headers['x-id']))
    if (sent === undefined) return `${method} ${url}, which no caller has sent`
    if (method !== sent.method || url !== sent.target) return `${method} ${url} in place of ${sent.method} ${sent.target}`
    return body === sent.body ? 'whole' : `${body.length} bytes in place of ${sent.body.length}`
  }
}

function countEach (outcomes: readonly string[]): Readonly<Record<string, number>> {
  return Object.fromEntries([...new Set(outcomes)].sort().map((outcome) => [outcome, outcomes.filter((each) => each === outcome).length]))
}

tap.t.test('a short body is run as it was sent, whatever its framing and wherever its bytes are split', async (t) => {
  const results: Record<string, unknown> = {}
  for (const [name, frame] of Object.entries(framings)) {
    const runs = new Runs()
    await using endpoint = await entries.startEndpoint('e-1', runs.handle)
    await using entry = await entries.TestEntry.start('entry', [endpoint], options)
    const statuses: string[] = []
    for (const size of sizes) {
      const texts = [frame(runs.create(`whole-${size}`, size)), frame(runs.create(`split-${size}`, size))] as const
      statuses.push(...await exchange(entry.callersAddress, [texts[0]]))
      statuses.push(...await exchange(entry.callersAddress, splitText(texts[1], Math.max(13, Math.ceil(size / 37)))))
    }
    const outcome = { statuses: countEach(statuses), runs: countEach(runs.outcomes) }
    if (!parserDependent.has(name)) results[name] = outcome
    else if (outcome.statuses['200'] === undefined) t.same(outcome, rejectedOutcome, `${name}: each request is rejected, and none run`)
    else t.same(outcome, wholeOutcome, `${name}: each request is run as it was sent`)
  }
  t.matchSnapshot(results)
})

tap.t.test('requests that share a connection keep their own bodies', async (t) => {
  const results: Record<string, unknown> = {}
  const sequences: Readonly<Record<string, (texts: readonly string[]) => readonly string[]>> = {
    'in one write': (texts) => [texts.join('')],
    'the rest of each body with the next request': (texts) => {
      const text = texts.join('')
      const cuts = texts.map((_each, i) => texts.slice(0, i + 1).join('').length - 1).slice(0, -1)
      return [0, ...cuts].map((from, i) => text.slice(from, cuts[i]))
    },
    'in parts of 97 bytes': (texts) => splitText(texts.join(''), 97),
    'with line ends between': (texts) => [texts.join('\r\n')]
  }
  for (const [name, sequence] of Object.entries(sequences)) {
    const runs = new Runs()
    await using endpoint = await entries.startEndpoint('e-1', runs.handle)
    await using entry = await entries.TestEntry.start('entry', [endpoint], options)
    const texts = [withLength(runs.create('1', 300)), inChunks(runs.create('2', 1800), { trailers: 'X-Sum: 1\r\n' }), withLength(runs.create('3', 0, 'GET')), withLength(runs.create('4', 9000, 'GET')), inChunks(runs.create('5', 24_000))]
    results[name] = { statuses: await exchange(entry.callersAddress, sequence(texts), texts.length), runs: runs.outcomes }
  }
  t.matchSnapshot(results)
})

tap.t.test('an endpoint that responds at the head of a short body gets the rest of that body, and then whole requests only', async (t) => {
  const results: Record<string, unknown> = {}
  const responses: Readonly<Record<string, (req: http.IncomingMessage, res: http.ServerResponse) => void>> = {
    'rejects it': (req, res) => { res.writeHead(503, { ...entries.stamp(req), 'x-not-run': '1' }).end() },
    'fails it': (req, res) => { res.writeHead(500, entries.stamp(req)).end() },
    'answers it': (req, res) => { res.writeHead(200, entries.stamp(req)).end('early') }
  }
  for (const [name, respond] of Object.entries(responses)) {
    const runs = new Runs()
    const early = new Set<string>()
    const rests: string[] = []
    await using endpoint = await entries.startEndpoint('e-1', (req, res) => {
      const id = String(req.headers['x-id'])
      if (!id.startsWith('early') || early.has(id)) return runs.handle(req, res)
      early.add(id)
      respond(req, res)
      let bytes = 0
      req.on('data', (chunk: Buffer) => { bytes += chunk.length }).on('end', () => rests.push(`${bytes} bytes read`)).on('error', () => {})
    })
    await using entry = await entries.TestEntry.start('entry', [endpoint], options)
    const statuses: string[] = []
    for (const size of sizes) {
      statuses.push(...await exchange(entry.callersAddress, [withLength(runs.create(`early-${size}`, size))]))
      statuses.push(...await exchange(entry.callersAddress, [inChunks(runs.create(`next-${size}`, size))]))
    }
    t.ok(await entries.waitUntil(() => rests.length === sizes.length, eventTimeoutMs))
    results[name] = { statuses: countEach(statuses), rests, runs: countEach(runs.outcomes) }
  }
  t.matchSnapshot(results)
})

tap.t.test('a short body whose caller leaves before its end is not run', async (t) => {
  const runs = new Runs()
  await using endpoint = await entries.startEndpoint('e-1', runs.handle)
  await using entry = await entries.TestEntry.start('entry', [endpoint], options)
  const [host, port] = entry.callersAddress.split(':')
  for (const [name, frame] of [['length', framings['length']!], ['chunks', framings['chunks']!]] as const) {
    for (const leave of ['end', 'resetAndDestroy'] as const) {
      for (const size of sizes.slice(1)) {
        const text = frame(runs.create(`${name}-${leave}-${size}`, size))
        const socket = net.connect(Number(port), host).on('error', () => {}).resume()
        await new Promise((resolve) => socket.write(text.slice(0, -1), 'latin1', resolve))
        socket[leave]()
        t.ok(await entries.waitUntil(() => socket.closed, eventTimeoutMs), `${name}, ${leave}, ${size} bytes`)
      }
    }
  }
  t.match(await exchange(entry.callersAddress, [withLength(runs.create('last', 300))]), ['200'])
  t.same(runs.outcomes, ['whole'])
})

tap.t.test('a short body that is sent again after its instance was cut off arrives whole through a peer', async (t) => {
  for (const size of sizes) {
    const runs = new Runs()
    await using silent = await entries.startEndpoint('e-silent', (req) => { req.resume() })
    await using endpoint = await entries.startEndpoint('e-1', runs.handle)
    await using peer = await entries.TestEntry.start('peer', [endpoint], options)
    await using sender = await entries.TestEntry.start('sender', [silent], options)
    sender.peers = [peer.asPeer]
    const pending = exchange(sender.callersAddress, [inChunks(runs.create('moved', size, 'GET'))])
    t.ok(await entries.waitUntil(() => silent.requests.length === 1, eventTimeoutMs))
    sender.reachability.set(true)
    t.same([await pending, runs.outcomes], [['200'], ['whole']], `${size} bytes`)
  }
})

tap.t.test('a part of a body is not run as a request after a request with the header Upgrade', async (t) => {
  const firsts: Readonly<Record<string, (runs: Runs) => string>> = {
    'with a length': (runs) => withLength(runs.create('first', 300), 'Connection: upgrade', 'Upgrade: h2c'),
    'in chunks': (runs) => inChunks(runs.create('first', 300), { headers: ['Connection: keep-alive, Upgrade', 'Upgrade: websocket'] }),
    'without a body': (runs) => createHead(runs.create('first', 0, 'GET'), ['Proxy-Connection: upgrade', 'Upgrade: websocket'])
  }
  for (const [name, createFirst] of Object.entries(firsts)) {
    const runs = new Runs()
    await using endpoint = await entries.startEndpoint('e-1', runs.handle)
    await using entry = await entries.TestEntry.start('entry', [endpoint], options)
    const inner = withLength(createRequest('inner', 5))
    const second = createHead(runs.create('second', 0), [`Content-Length: ${inner.length + 1}`]) + 'x'
    const statuses = await exchange(entry.callersAddress, [createFirst(runs) + second, inner], 2, async () => await timers.setTimeout(settleMs))
    t.same({ statuses, runs: runs.outcomes }, { statuses: ['200'], runs: ['whole'] }, name)
  }
})
