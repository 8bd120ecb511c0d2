/** The body of a caller's request: what its readers get, how much memory it holds, and what fails when the caller does. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as bodyReader from '../node/bodyReader.js'
import * as byteBudget from '../node/byteBudget.js'
import * as callerBody from '../node/callerBody.js'
import type * as heldChunks from '../node/heldChunks.js'
import * as entries from './forwardingEntry.js'
import * as longBodies from './longBodies.js'

const host = '127.0.0.1'
const processLimitBytes = 32 * 1024 * 1024
const stallTimeoutMs = 50
const progressTimeoutMs = 20_000
const eventTimeoutMs = 20_000
/** More than what sockets hold on the way. */
const longBytes = 1_000_000

/** A caller that uploads a body in the steps of the test. */
class Upload {
  readonly transfers: string[] = []
  private constructor (readonly caller: http.ClientRequest, readonly req: http.IncomingMessage, private readonly server: http.Server) {}

  /** Sends the head of a request. */
  static async start (headers: http.OutgoingHttpHeaders): Promise<Upload> {
    const server = http.createServer().listen(0, host)
    await new Promise((resolve) => server.once('listening', resolve))
    const { port } = server.address() as net.AddressInfo
    const caller = http.request({ host, port, method: 'POST', headers }).on('error', () => {})
    caller.flushHeaders()
    const req = await new Promise<http.IncomingMessage>((resolve) => server.once('request', resolve))
    return new Upload(caller, req, server)
  }

  async open (budget: byteBudget.ByteBudget, timeoutMs = progressTimeoutMs, firstPartDueAt = Infinity, firstParts = new byteBudget.ByteBudget(processLimitBytes)): Promise<callerBody.CallerBody> {
    const limits = { maxBytes: 1e9, progressTimeoutMs: timeoutMs, firstPartDueAt }
    return await callerBody.CallerBody.open(this.req, limits, ({ attempt, sentBytes, receivedBytes }) => this.transfers.push(`${attempt}: ${sentBytes} of ${receivedBytes}`), budget, firstParts)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.caller.destroy()
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** Reads like an HTTP client, chunk by chunk. */
class Client {
  bytes = 0
  private readonly chunks: Buffer[] = []
  private readonly iterator: AsyncIterator<Buffer>

  constructor (readonly reader: bodyReader.BodyReader) {
    this.iterator = toChunks(reader)[Symbol.asyncIterator]()
  }

  static open (body: callerBody.CallerBody): Client {
    return new Client(body.openReader('t'))
  }

  /** Reads the next chunk; returns false at the end. */
  async next (): Promise<boolean> {
    const { value, done } = await this.iterator.next()
    if (done === true) return false
    this.chunks.push(value)
    this.bytes += value.length
    return true
  }

  async readTo (bytes: number): Promise<void> {
    while (this.bytes < bytes && await this.next());
  }

  /** Returns the text of the whole body, or the message of the error that ended it. */
  async readAll (): Promise<string> {
    try {
      while (await this.next());
      return Buffer.concat(this.chunks).toString()
    } catch (err) {
      return `error: ${(err as Error).message}`
    } finally {
      this.reader.close()
    }
  }
}

async function * toChunks (reader: bodyReader.BodyReader): AsyncGenerator<Buffer> {
  const data = reader.take()
  if (Buffer.isBuffer(data)) yield data
  else if (data !== null) yield * data
}

for (const [framing, createHeaders] of longBodies.framings) {
  for (const size of longBodies.sizes) {
    const what = `${size} bytes with ${framing}`

    tap.t.test(`two readers at once and a later one each get the whole body: ${what}`, async (t) => {
      const budget = new byteBudget.ByteBudget(processLimitBytes)
      await using upload = await Upload.start(createHeaders(size))
      const text = longBodies.createText(size)
      upload.caller.end(text)
      const body = await upload.open(budget)
      const texts = await Promise.all([Client.open(body).readAll(), Client.open(body).readAll()])
      texts.push(await Client.open(body).readAll())
      for (const read of texts) t.ok(read === text, `${read.length} of ${size} bytes`)
      t.same(upload.transfers.sort(), [1, 2, 3].map((attempt) => `${attempt}: ${size} of ${size}`))
      body.release()
      t.equal(budget.takenBytes, 0)
    })
  }

  tap.t.test(`a reader that starts when another one is closed midway gets the body from its first byte, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(processLimitBytes)
    await using upload = await Upload.start(createHeaders(longBytes))
    const text = longBodies.createText(longBytes)
    upload.caller.write(text.slice(0, longBytes / 2))
    const body = await upload.open(budget)
    const first = Client.open(body)
    await first.readTo(longBytes / 2)
    const rest = first.readAll()
    first.reader.close()
    const second = Client.open(body).readAll()
    upload.caller.end(text.slice(longBytes / 2))
    t.equal(await rest, 'error: the attempt has ended')
    t.ok(await second === text)
    t.ok(budget.takenBytes > 0)
    body.release()
    t.equal(budget.takenBytes, 0)
  })

  // A read of the rejected attempt was still pending, and dropped what the next attempt had not read yet.
  tap.t.test(`a reader that is behind a closed one gets the whole body after a release, with ${framing}`, async (t) => {
    await using upload = await Upload.start(createHeaders(longBytes))
    const text = longBodies.createText(longBytes)
    upload.caller.write(text.slice(0, longBytes / 2))
    const body = await upload.open(new byteBudget.ByteBudget(processLimitBytes))
    const first = Client.open(body)
    await first.readTo(longBytes / 2)
    const rest = first.readAll()
    first.reader.close()
    const second = Client.open(body)
    await second.next()
    body.release()
    upload.caller.end(text.slice(longBytes / 2))
    await rest
    const read = await second.readAll()
    t.ok(read === text, read.slice(0, 60))
  })

  // An attempt that had sent the body and was not over yet counted as the one to hold the rest for.
  tap.t.test(`a reader that is behind one that has ended gets the whole body after a release, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(processLimitBytes)
    await using upload = await Upload.start(createHeaders(longBytes))
    const text = longBodies.createText(longBytes)
    upload.caller.end(text)
    const body = await upload.open(budget)
    const [first, second] = [Client.open(body), Client.open(body)]
    await first.readTo(Infinity)
    await second.next()
    body.release()
    const read = await second.readAll()
    t.ok(read === text, read.slice(0, 60))
    t.equal(budget.takenBytes, 0)
    first.reader.close()
  })

  // The faster one of two readers dropped the chunk that the other one reads next, which looked like the end of the body.
  tap.t.test(`a reader that is one chunk behind another one of a released body gets the whole of it, with ${framing}`, async (t) => {
    await using upload = await Upload.start(createHeaders(longBytes))
    const text = longBodies.createText(longBytes)
    upload.caller.write(text.slice(0, longBytes / 2))
    const body = await upload.open(new byteBudget.ByteBudget(processLimitBytes))
    const [first, second] = [Client.open(body), Client.open(body)]
    await Promise.all([first.readTo(longBytes / 2), second.readTo(longBytes / 2)])
    body.release()
    upload.caller.write(text.slice(longBytes / 2, longBytes / 2 + 1))
    await first.next()
    const rest = first.readAll()
    t.ok(await second.next())
    upload.caller.end(text.slice(longBytes / 2 + 1))
    for (const read of await Promise.all([rest, second.readAll()])) t.ok(read === text, read.slice(0, 80))
  })

  tap.t.test(`beyond the limit a body goes to one reader only, and holds nothing, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(longBytes / 2)
    await using upload = await Upload.start(createHeaders(longBytes))
    const text = longBodies.createText(longBytes)
    upload.caller.end(text)
    const body = await upload.open(budget)
    t.ok(body.isReplayable)
    const read = await Client.open(body).readAll()
    t.ok(read === text)
    t.notOk(body.isReplayable)
    t.throws(() => body.openReader('t'), { message: 'the first part of the request body is no longer held' })
    t.equal(budget.takenBytes, 0)
  })

  tap.t.test(`the slower one of two readers is broken off at the limit, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(longBytes / 2)
    await using upload = await Upload.start(createHeaders(longBytes))
    const text = longBodies.createText(longBytes)
    upload.caller.end(text)
    const body = await upload.open(budget)
    const [fast, slow] = [Client.open(body), Client.open(body)]
    await slow.next()
    t.ok(await fast.readAll() === text)
    t.equal(await slow.readAll(), 'error: a part of the request body is no longer held')
    t.notOk(slow.reader.isSent)
    t.equal(budget.takenBytes, 0)
  })

  // The limit of the process did not cover what a second reader had not read yet.
  tap.t.test(`what is still held for a reader after a release counts until it is read, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(processLimitBytes)
    await using upload = await Upload.start(createHeaders(longBytes))
    upload.caller.end(longBodies.createText(longBytes))
    const body = await upload.open(budget)
    await Client.open(body).readAll()
    const [second, third] = [Client.open(body), Client.open(body)]
    await second.readTo(longBytes / 4)
    await third.readTo(longBytes / 2)
    second.reader.close()
    body.release()
    const taken = budget.takenBytes
    t.ok(taken >= longBytes - third.bytes && taken < longBytes - third.bytes / 2, `${taken} bytes for ${longBytes - third.bytes}`)
    t.equal((await third.readAll()).length, longBytes)
    t.equal(budget.takenBytes, 0)
  })

  tap.t.test(`a caller that leaves midway breaks all readers off, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(processLimitBytes)
    await using upload = await Upload.start(createHeaders(longBytes))
    upload.caller.write(longBodies.createText(longBytes / 2))
    const body = await upload.open(budget)
    const [first, second] = [Client.open(body), Client.open(body)]
    await Promise.all([first.readTo(longBytes / 2), second.readTo(longBytes / 4)])
    const ends = Promise.all([first.readAll(), second.readAll()])
    upload.caller.destroy()
    t.same(await ends, Array(2).fill('error: the request body is incomplete'))
    t.same([first.reader.isSent, second.reader.isSent, body.isReplayable, body.fault?.kind], [false, false, false, 'bad-request'])
    body.release()
    t.equal(budget.takenBytes, 0)
  })

  tap.t.test(`a caller that stalls midway breaks all readers off, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(processLimitBytes)
    await using upload = await Upload.start(createHeaders(longBytes))
    upload.caller.write(longBodies.createText(longBytes / 2))
    const body = await upload.open(budget, stallTimeoutMs)
    const ends = await Promise.all([Client.open(body).readAll(), Client.open(body).readAll()])
    t.same(ends, Array(2).fill('error: the caller sent no data of the body in time'))
    t.notOk(body.isReplayable)
    body.release()
    t.equal(budget.takenBytes, 0)
  })

  tap.t.test(`a short body that goes on arriving is refused at the deadline, with ${framing}`, async (t) => {
    await using upload = await Upload.start(createHeaders(longBytes))
    const timer = setInterval(() => upload.caller.write('x'), stallTimeoutMs / 2)
    const opened = upload.open(new byteBudget.ByteBudget(processLimitBytes), progressTimeoutMs, performance.now() + 4 * stallTimeoutMs)
    await t.rejects(opened, { message: 'the body did not arrive before the deadline; the request was not run' })
    clearInterval(timer)
  })

  tap.t.test(`the rest of a released body is discarded without being held, with ${framing}`, async (t) => {
    const budget = new byteBudget.ByteBudget(processLimitBytes)
    await using upload = await Upload.start(createHeaders(longBytes))
    const text = longBodies.createText(longBytes)
    upload.caller.write(text.slice(0, longBytes / 2))
    const body = await upload.open(budget)
    const client = Client.open(body)
    await client.readTo(longBytes / 4)
    client.reader.close()
    body.release()
    upload.caller.end(text.slice(longBytes / 2))
    await body.discardRest()
    t.same([body.isReceived, body.receivedBytes, budget.takenBytes, countHeldChunks(body)], [true, longBytes, 0, 0])
    t.equal(await client.readAll(), 'error: the attempt has ended')
  })

  // A read of an ended attempt could use up the limit on held bytes while the next attempt is being prepared.
  tap.t.test(`a closed reader receives nothing more, with ${framing}`, async (t) => {
    await using upload = await Upload.start(createHeaders(longBytes))
    upload.caller.end(longBodies.createText(longBytes))
    const body = await upload.open(new byteBudget.ByteBudget(processLimitBytes))
    const client = Client.open(body)
    await client.readTo(longBytes / 4)
    const { receivedBytes } = body
    client.reader.close()
    t.equal(await client.readAll(), 'error: the attempt has ended')
    t.equal(body.receivedBytes, receivedBytes)
  })
}

for (const [what, size, isCounted] of [
  ['a short body does not count', 65_535, false],
  ['a body that arrives with its end counts', 100_000, true],
  ['a body that is still being received counts', longBytes, true]
] as const) {
  tap.t.test(`memory: ${what}, and nothing does after the release`, async (t) => {
    const budget = new byteBudget.ByteBudget(processLimitBytes)
    await using upload = await Upload.start({ 'content-length': size })
    upload.caller.end(longBodies.createText(size))
    await timers.setTimeout(stallTimeoutMs)
    const body = await upload.open(budget)
    t.equal(budget.takenBytes > 0, isCounted)
    body.release()
    t.equal(budget.takenBytes, 0)
  })
}

// Guards against a crashing request that is not recognized when its bytes arrive in other pieces.
tap.t.test('first parts are limited together, but for the beginning of each, and count until they are released', async (t) => {
  const firstParts = new byteBudget.ByteBudget(100_000)
  await using upload = await Upload.start({ 'content-length': 60_000 })
  await using tooMuch = await Upload.start({ 'content-length': 60_000 })
  await using ordinary = await Upload.start({ 'content-length': 4000 })
  const open = async (from: Upload, bytes: number): Promise<callerBody.CallerBody> => {
    from.caller.end(longBodies.createText(bytes))
    return await from.open(new byteBudget.ByteBudget(processLimitBytes), progressTimeoutMs, Infinity, firstParts)
  }
  const body = await open(upload, 60_000)
  t.equal(firstParts.takenBytes, 60_000 - 4096)
  await t.rejects(open(tooMuch, 60_000), { message: 'the instance holds as many request bodies as it can' })
  t.equal(firstParts.takenBytes, 60_000 - 4096, 'a refused body holds nothing')
  t.equal((await open(ordinary, 4000)).receivedBytes, 4000)
  body.release()
  t.equal(firstParts.takenBytes, 0)
})

tap.t.test('short chunks that arrive one after the other are held together', async (t) => {
  await using upload = await Upload.start({})
  const text = longBodies.createText(10_000)
  const opened = upload.open(new byteBudget.ByteBudget(processLimitBytes))
  for (let at = 0; at < text.length; at += 100) {
    upload.caller.write(text.slice(at, at + 100))
    await timers.setImmediate()
  }
  upload.caller.end()
  const body = await opened
  t.equal(body.firstPart.toString(), text)
  t.ok(countHeldChunks(body) <= 2 * Math.ceil(text.length / 4096), `${countHeldChunks(body)} chunks`)
})

tap.t.test('the first part of a body does not depend on how its bytes arrive', async (t) => {
  const text = longBodies.createText(200_000)
  const firstParts = new Set<string>()
  for (const pieceBytes of [1000, 50_000, 65_535, 65_537, 100_000, 200_000]) {
    await using upload = await Upload.start({ 'transfer-encoding': 'chunked' })
    for (let at = 0; at < text.length; at += pieceBytes) upload.caller.write(text.slice(at, at + pieceBytes))
    upload.caller.end()
    const body = await upload.open(new byteBudget.ByteBudget(processLimitBytes))
    firstParts.add(body.firstPart.toString())
  }
  t.equal(firstParts.size, 1)
})

tap.t.test('a reader receives a body no faster than it reads it', async (t) => {
  await using upload = await Upload.start({ 'content-length': 4 * longBytes })
  upload.caller.end(longBodies.createText(4 * longBytes))
  const body = await upload.open(new byteBudget.ByteBudget(processLimitBytes))
  const client = Client.open(body)
  await client.readTo(longBytes)
  t.ok(body.receivedBytes < 2 * longBytes, `${body.receivedBytes} bytes received`)
  await client.readAll()
})

tap.t.test('a stall that no reader waits for rejects no promise unnoticed, and ends later readers', async (t) => {
  const unhandled: unknown[] = []
  const onUnhandled = (err: unknown): void => { unhandled.push(err) }
  process.on('unhandledRejection', onUnhandled)
  t.teardown(() => process.off('unhandledRejection', onUnhandled))
  await using upload = await Upload.start({ 'transfer-encoding': 'chunked' })
  upload.caller.write(longBodies.createText(longBytes / 2))
  const body = await upload.open(new byteBudget.ByteBudget(processLimitBytes), stallTimeoutMs)
  const client = Client.open(body)
  await client.readTo(longBytes / 2)
  const rest = client.next().catch(() => false)
  client.reader.close()
  t.ok(await entries.waitUntil(() => body.fault !== undefined, eventTimeoutMs))
  await rest
  t.throws(() => body.openReader('t'))
  await timers.setTimeout(0)
  t.same(unhandled, [])
})

for (const [name, source, message] of [
  ['a part that looks like the end', { receivedBytes: 6, declaredBytes: undefined, isReceived: false }, '6 bytes of the body were taken, and it is still being received'],
  ['fewer bytes than were received', { receivedBytes: 9, declaredBytes: undefined, isReceived: true }, '6 bytes of the body were taken, 9 received, 9 declared'],
  ['fewer bytes than the caller has stated', { receivedBytes: 6, declaredBytes: 9, isReceived: true }, '6 bytes of the body were taken, 6 received, 9 declared'],
  ['more bytes than were received', { receivedBytes: 3, declaredBytes: undefined, isReceived: true }, '6 bytes of the body were taken, 3 received, 3 declared']
] as const) {
  tap.t.test(`a body with ${name} is broken off, not ended`, async (t) => {
    const chunks = [Buffer.from('abc'), Buffer.from('def')]
    const streamed = new bodyReader.BodyReader('t', 1, { ...source, shortBody: undefined, chunkAt: async (index) => chunks[index] }, () => {})
    await t.rejects(new Client(streamed).readTo(Infinity), { message })
    t.notOk(streamed.isSent)
    const short = new bodyReader.BodyReader('t', 1, { ...source, shortBody: Buffer.concat(chunks), chunkAt: async () => undefined }, () => {})
    t.throws(() => short.take(), { message })
    t.notOk(short.isSent)
  })
}

/** Number of chunks of which a body has the memory. */
function countHeldChunks (body: callerBody.CallerBody): number {
  return (Reflect.get(body, 'chunks') as heldChunks.HeldChunks).data.length
}
