/** Readers of a request body that start, read, end and are closed in any order while the body arrives and is released. */
import type * as http from 'node:http'
import * as fc from 'fast-check'
import * as tap from 'tap'
import type * as bodyReader from '../node/bodyReader.js'
import * as byteBudget from '../node/byteBudget.js'
import * as callerBody from '../node/callerBody.js'

const seed = 20261206
const runCount = 2000
const maxSteps = 120
const microtasksPerStep = 8
const unlimitedBytes = 1e9
const limits = { maxBytes: unlimitedBytes, progressTimeoutMs: 100_000, firstPartDueAt: Infinity }
const bodies = [0, 300, 65_535, 65_536, 65_537, 150_000, 400_000].map((size) => Buffer.from(Array.from({ length: size }, (_value, i) => i * 31 + (i >> 8))))

/** A caller whose chunks arrive when the test says so. */
class FakeCaller {
  private readonly chunks: Buffer[] = []
  private wake = (): void => {}
  private sent = 0
  hasEnded = false

  constructor (private readonly body: Buffer, private readonly hasLength: boolean) {}

  /** Sends the next chunk or the end. */
  send (bytes: number): void {
    if (this.sent === this.body.length) this.hasEnded = true
    else this.chunks.push(this.body.subarray(this.sent, this.sent + bytes))
    this.sent = Math.min(this.body.length, this.sent + bytes)
    this.wake()
  }

  get req (): http.IncomingMessage {
    const headers = this.hasLength ? { 'content-length': String(this.body.length) } : { 'transfer-encoding': 'chunked' }
    return { headers, [Symbol.asyncIterator]: () => this.read() } as unknown as http.IncomingMessage
  }

  private async * read (): AsyncGenerator<Buffer> {
    while (this.chunks.length > 0 || !this.hasEnded) {
      const chunk = this.chunks.shift()
      if (chunk !== undefined) yield chunk
      else await new Promise<void>((resolve) => { this.wake = resolve })
    }
  }
}

/** An attempt that reads one chunk at a time. */
class Client {
  readonly chunks: Buffer[] = []
  hasEnded = false
  failure: string | undefined
  isClosed = false
  private isReading = false
  private readonly iterator: AsyncIterator<Buffer>

  constructor (private readonly reader: bodyReader.BodyReader) {
    const data = reader.take()
    this.iterator = toChunks(data)
  }

  async read (): Promise<void> {
    if (this.isReading || this.hasEnded || this.failure !== undefined) return
    this.isReading = true
    try {
      const { value, done } = await this.iterator.next()
      if (done === true) this.hasEnded = true
      else this.chunks.push(value)
    } catch (err) {
      this.failure = (err as Error).message
    }
    this.isReading = false
  }

  close (): void {
    this.isClosed = true
    this.reader.close()
  }
}

async function * toChunks (data: ReturnType<bodyReader.BodyReader['take']>): AsyncGenerator<Buffer> {
  if (Buffer.isBuffer(data)) yield data
  else if (data !== null) yield * data
}

async function settle (): Promise<void> {
  for (let i = 0; i < microtasksPerStep; i++) await undefined
}

type Step =
  | { readonly kind: 'send', readonly bytes: number }
  | { readonly kind: 'start' | 'release' }
  | { readonly kind: 'read' | 'close', readonly reader: number }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 30, arbitrary: fc.record({ kind: fc.constant('send' as const), bytes: fc.integer({ min: 1, max: 60_000 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('start' as const) }) },
  { weight: 50, arbitrary: fc.record({ kind: fc.constant('read' as const), reader: fc.nat(5) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('close' as const), reader: fc.nat(5) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('release' as const) }) }
)

tap.t.test('a reader gets a beginning of the body, ends with the whole of it only, and goes on after a release', async (t) => {
  await fc.assert(fc.asyncProperty(fc.nat(bodies.length - 1), fc.boolean(), fc.constantFrom(unlimitedBytes, 100_000, 200_000), fc.array(step, { maxLength: maxSteps, size: 'max' }), async (index, hasLength, limit, steps) => {
    const bytes = bodies[index]!
    const size = bytes.length
    const caller = new FakeCaller(bytes, hasLength)
    const budget = new byteBudget.ByteBudget(limit)
    let body: callerBody.CallerBody | undefined
    callerBody.CallerBody.open(caller.req, limits, () => {}, budget).then((opened) => { body = opened })
    const readers: Client[] = []
    let survivor: Client | undefined
    let isReleased = false
    for (const next of steps) {
      if (next.kind === 'send') caller.send(next.bytes)
      else if (next.kind === 'read') readers[next.reader]?.read()
      else if (next.kind === 'close') readers[next.reader]?.close()
      else if (next.kind === 'start' && body?.isReplayable === true) readers.push(new Client(body.openReader('t')))
      else if (next.kind === 'release' && !isReleased && body !== undefined) {
        isReleased = true
        survivor = readers.find(({ isClosed }) => !isClosed)
        // An attempt that has sent the whole body may outlast the release.
        for (const reader of readers) if (reader !== survivor && !reader.hasEnded) reader.close()
        body.release()
      }
      await settle()
      if (budget.takenBytes < 0 || budget.takenBytes > limit) throw new Error(`${budget.takenBytes} of ${limit} bytes are taken`)
    }
    while (!caller.hasEnded) caller.send(size)
    for (const reader of readers) {
      while (!reader.hasEnded && reader.failure === undefined) await reader.read()
      const read = Buffer.concat(reader.chunks)
      if (!bytes.subarray(0, read.length).equals(read)) throw new Error('other bytes')
      if (reader.hasEnded && read.length !== size) throw new Error(`ended with ${read.length} of ${size} bytes`)
      if (reader === survivor && !reader.isClosed && limit === unlimitedBytes && !reader.hasEnded) throw new Error(`broken off: ${reader.failure}`)
      reader.close()
    }
    await settle()
    body?.release()
    if (budget.takenBytes !== 0) throw new Error(`${budget.takenBytes} bytes are taken at the end`)
  }), { seed, numRuns: runCount })
  t.pass(`${runCount} runs`)
})
