/** Limits on the bytes of request bodies that a process holds: a request beyond them that an endpoint rejects is refused at once, and never changed. */
import type * as http from 'node:http'
import * as tap from 'tap'
import * as callerBody from '../node/callerBody.js'
import * as entries from './forwardingEntry.js'
import * as longBodies from './longBodies.js'

const mebibyte = 1024 * 1024
/** Four bodies of this size are less than a process may hold, five are more. */
const shareBytes = 7 * mebibyte
const tooLongBytes = 9 * mebibyte
const bodiesOfProcess = 4
const eventTimeoutMs = 20_000
/** Far below the time that the callers have. */
const refusalLimitMs = 5000
const deadlineMs = 60_000
const shortDeadlineMs = 500
const options = { retryRatio: 1, deadlineMs }

/** Two endpoints and an instance. The first attempt of each request waits until the test rejects it, the second one is run. */
class Fixture {
  /** Rejects the first attempts that have arrived whole. */
  readonly rejections: Array<() => void> = []
  /** Bodies that were run, by the request. */
  readonly received = new Map<string, string>()
  private readonly startedIds = new Set<string>()
  private constructor (readonly endpoints: entries.TestEndpoint[], readonly entry: entries.TestEntry) {}

  static async start (): Promise<Fixture> {
    const endpoints: entries.TestEndpoint[] = []
    const handle: http.RequestListener = (req, res) => fixture.handle(req, res)
    for (const id of ['e-1', 'e-2']) endpoints.push(await entries.startEndpoint(id, handle))
    const fixture = new Fixture(endpoints, await entries.TestEntry.start('entry', endpoints, options))
    return fixture
  }

  get requestCount (): number {
    return this.endpoints.reduce((sum, { requests }) => sum + requests.length, 0)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await Promise.all([this.entry, ...this.endpoints].map(async (resource) => { await resource[Symbol.asyncDispose]() }))
  }

  private handle (req: http.IncomingMessage, res: http.ServerResponse): void {
    const id = String(req.headers['x-id'])
    req.on('error', () => {})
    if (!this.startedIds.has(id)) {
      this.startedIds.add(id)
      req.resume().on('end', () => this.rejections.push(() => res.writeHead(503, { ...entries.stamp(req), 'x-not-run': '1' }).end()))
      return
    }
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => {
      this.received.set(id, Buffer.concat(chunks).toString())
      res.writeHead(200, entries.stamp(req)).end()
    })
  }
}

function send (entry: entries.TestEntry, id: string, headers: http.OutgoingHttpHeaders, text: string): Promise<entries.CallerRes> {
  return entries.send(entry.callersAddress, 'POST', { 'x-id': id, 'x-deadline': String(deadlineMs), ...headers }, text)
}

function checkRefusal (t: Pick<tap.Test, 'match' | 'ok'>, { status, headers, isComplete }: entries.CallerRes): void {
  t.match({ status, isComplete, outcome: headers['rack-outcome'] }, { status: 503, isComplete: true, outcome: 'not-run' })
  t.ok(Number(headers['retry-after']) > 0, `Retry-After: ${headers['retry-after']}`)
}

for (const [framing, createHeaders] of longBodies.framings) {
  tap.t.test(`a rejected request whose body is longer than what is held of one is refused at once, with ${framing}`, async (t) => {
    await using fixture = await Fixture.start()
    const pending = send(fixture.entry, 'long', createHeaders(tooLongBytes), longBodies.createText(tooLongBytes))
    t.ok(await entries.waitUntil(() => fixture.rejections.length === 1, eventTimeoutMs))
    t.equal(callerBody.heldBytes(), 0)
    const rejectedAt = performance.now()
    fixture.rejections[0]!()
    checkRefusal(t, await pending)
    const ms = performance.now() - rejectedAt
    t.ok(ms < refusalLimitMs, `${ms} ms`)
    t.equal(fixture.requestCount, 1)
  })

  tap.t.test(`of more rejected requests than a process holds, those beyond the limit are refused and the others are run whole, with ${framing}`, async (t) => {
    await using fixture = await Fixture.start()
    const text = longBodies.createText(shareBytes)
    const pending = []
    for (let i = 0; i <= bodiesOfProcess; i++) {
      pending.push(send(fixture.entry, `request-${i}`, createHeaders(shareBytes), text))
      t.ok(await entries.waitUntil(() => fixture.rejections.length === i + 1, eventTimeoutMs))
    }
    t.ok(callerBody.heldBytes() > bodiesOfProcess * (shareBytes - mebibyte), `${callerBody.heldBytes()} bytes`)
    for (const reject of fixture.rejections) reject()
    const results = await Promise.all(pending)
    checkRefusal(t, results.pop()!)
    t.same(results.map(({ status }) => status), Array(bodiesOfProcess).fill(200))
    t.same([...fixture.received.keys()].sort(), results.map((_result, i) => `request-${i}`))
    for (const body of fixture.received.values()) t.ok(body === text, `${body.length} bytes`)
    t.ok(await entries.waitUntil(() => callerBody.heldBytes() === 0, eventTimeoutMs))
  })
}

for (const [framing, createHeaders] of longBodies.framings) {
  tap.t.test(`a caller that leaves within or after its body leaves nothing that is held, with ${framing}`, async (t) => {
    for (const isWhole of [false, true]) {
      await using fixture = await Fixture.start()
      const text = longBodies.createText(shareBytes)
      const req = entries.startRequest(fixture.entry.callersAddress, 'POST', '/x', { 'x-id': 'leaving', 'x-deadline': String(deadlineMs), ...createHeaders(shareBytes) }).on('error', () => {})
      if (isWhole) req.end(text)
      else req.write(text.slice(0, shareBytes / 2))
      t.ok(await entries.waitUntil(() => isWhole ? fixture.rejections.length === 1 : callerBody.heldBytes() > shareBytes / 4, eventTimeoutMs))
      t.ok(callerBody.heldBytes() > 0)
      req.destroy()
      t.ok(await entries.waitUntil(() => callerBody.heldBytes() === 0, eventTimeoutMs))
    }
  })
}

tap.t.test('an endpoint that stops reading leaves nothing that is held after the deadline', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1', () => {})
  await using entry = await entries.TestEntry.start('entry', [endpoint], { deadlineMs: shortDeadlineMs })
  const pending = entries.send(entry.callersAddress, 'POST', { 'content-length': shareBytes }, longBodies.createText(shareBytes))
  t.ok(await entries.waitUntil(() => callerBody.heldBytes() > 0, eventTimeoutMs))
  t.match(await pending, { status: 504 })
  t.ok(await entries.waitUntil(() => callerBody.heldBytes() === 0, eventTimeoutMs))
})

tap.t.test('a caller that stalls within its body leaves nothing that is held after its time', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint], { deadlineMs: shortDeadlineMs })
  const req = entries.startRequest(entry.callersAddress, 'POST', '/x', { 'content-length': shareBytes }).on('error', () => {})
  const status = new Promise<number>((resolve) => req.on('response', (res) => resolve(res.resume().statusCode!)))
  req.write(longBodies.createText(shareBytes / 2))
  t.ok(await entries.waitUntil(() => callerBody.heldBytes() > 0, eventTimeoutMs))
  t.equal(await status, 504)
  t.ok(await entries.waitUntil(() => callerBody.heldBytes() === 0, eventTimeoutMs))
  req.destroy()
})
