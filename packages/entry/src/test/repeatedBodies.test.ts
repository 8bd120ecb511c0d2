/** Request bodies of attempts at a second endpoint besides those after a rejection: shed, timed out, hedged, continued. */
import * as http from 'node:http'
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'
import * as longBodies from './longBodies.js'

const eventTimeoutMs = 20_000
const pauseMs = 30
const deadlineMs = 10_000
/** An attempt times out after half of it. */
const timeoutDeadlineMs = 1000
const hedgeAfterMs = 50
const shedStatus = 429
/** From this size on, a body is no longer held once a response has come. */
const streamedBytes = 65_536
const options: entries.EntryOptions = { retryRatio: 1, deadlineMs }
const content = 'x'.repeat(1000) + 'y'.repeat(1000)
const contentHeaders = { etag: '"1"', 'accept-ranges': 'bytes' }

/** A request with two endpoints of its own. */
class Run {
  /** Bodies that arrived whole, in the order of their attempts' heads. */
  readonly received: string[] = []
  attempts = 0
  private constructor (readonly what: string, readonly text: string, private readonly endpoints: readonly entries.TestEndpoint[], readonly entry: entries.TestEntry, private readonly framingHeaders: http.OutgoingHttpHeaders) {}

  /** @param respond called with the number of the attempt, from 0, once its body has arrived. */
  static async start (size: number, framing: string, headers: http.OutgoingHttpHeaders, entryOptions: entries.EntryOptions, respond: (attempt: number, req: http.IncomingMessage, res: http.ServerResponse) => void): Promise<Run> {
    const handle: http.RequestListener = (req, res) => {
      const attempt = run.attempts++
      const chunks: Buffer[] = []
      req.on('error', () => {}).on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => {
        run.received[attempt] = Buffer.concat(chunks).toString()
        respond(attempt, req, res)
      })
    }
    const endpoints = [await entries.startEndpoint('e-1', handle), await entries.startEndpoint('e-2', handle)]
    const run: Run = new Run(`${size} bytes with ${framing}`, longBodies.createText(size), endpoints, await entries.TestEntry.start('entry', endpoints, entryOptions), headers)
    return run
  }

  /** Uploads the body in two parts. */
  async send (method: string): Promise<{ readonly status: number, readonly body: string, readonly isComplete: boolean }> {
    const req = entries.startRequest(this.entry.callersAddress, method, '/x', { 'x-id': 'request-1', 'x-deadline': String(deadlineMs), ...this.framingHeaders })
    const result = new Promise<http.IncomingMessage | undefined>((resolve) => req.on('error', () => resolve(undefined)).on('response', resolve))
    req.write(this.text.slice(0, this.text.length / 2))
    await entries.waitUntil(() => this.attempts > 0, pauseMs)
    req.end(this.text.slice(this.text.length / 2))
    const res = await result
    if (res === undefined) return { status: 0, body: '', isComplete: false }
    const chunks: Buffer[] = []
    res.on('error', () => {}).on('data', (chunk: Buffer) => chunks.push(chunk))
    await entries.waitUntil(() => res.closed, eventTimeoutMs)
    return { status: res.statusCode!, body: Buffer.concat(chunks).toString(), isComplete: res.complete }
  }

  async dispose (): Promise<void> {
    await Promise.all([this.entry, ...this.endpoints].map(async (resource) => { await resource[Symbol.asyncDispose]() }))
  }
}

/** Starts a run for each size and framing. */
async function startAll (t: Pick<tap.Test, 'teardown'>, entryOptions: entries.EntryOptions, respond: Parameters<typeof Run.start>[4]): Promise<readonly Run[]> {
  const runs: Run[] = []
  t.teardown(async () => await Promise.all(runs.map(async (run) => { await run.dispose() })))
  for (const [framing, createHeaders] of longBodies.framings) {
    for (const size of longBodies.sizes) runs.push(await Run.start(size, framing, createHeaders(size), entryOptions, respond))
  }
  return runs
}

for (const [name, method, entryOptions, fail] of [
  ['an endpoint sheds', 'POST', { ...options, shedStatuses: [shedStatus] }, (req: http.IncomingMessage, res: http.ServerResponse) => { res.writeHead(shedStatus, entries.stamp(req)).end() }],
  ['times out at an endpoint', 'GET', { ...options, deadlineMs: timeoutDeadlineMs }, () => {}],
  ['is hedged', 'GET', { ...options, hedgeAfterMs }, () => {}]
] as const) {
  tap.t.test(`a request that ${name} has its whole body at both endpoints`, async (t) => {
    const runs = await startAll(t, entryOptions, (attempt, req, res) => {
      if (attempt === 0) fail(req, res)
      else res.writeHead(200, entries.stamp(req)).end('second')
    })
    const results = await Promise.all(runs.map(async (run) => await run.send(method)))
    for (const [i, { what, text, received }] of runs.entries()) {
      t.same(results[i], { status: 200, body: 'second', isComplete: true }, what)
      t.same(received.map((body) => body === text), [true, true], `${received.map((body) => body.length)} of ${text.length} bytes`)
    }
  })
}

tap.t.test('a download with a request body is continued with the whole body, or broken off', async (t) => {
  const runs = await startAll(t, options, (attempt, req, res) => {
    if (attempt > 0) {
      res.writeHead(206, { ...entries.stamp(req), ...contentHeaders, 'content-length': 1000, 'content-range': 'bytes 1000-1999/2000' }).end(content.slice(1000))
      return
    }
    res.writeHead(200, { ...entries.stamp(req), ...contentHeaders, 'content-length': content.length }).write(content.slice(0, 1000), () => setTimeout(() => req.socket.destroy(), pauseMs))
  })
  const results = await Promise.all(runs.map(async (run) => await run.send('GET')))
  for (const [i, { what, text, received, entry }] of runs.entries()) {
    const isContinued = results[i]!.isComplete
    t.same(results[i], { status: 200, body: isContinued ? content : content.slice(0, 1000), isComplete: isContinued }, what)
    t.same(received.map((body) => body === text), isContinued ? [true, true] : [true], `${received.map((body) => body.length)} of ${text.length} bytes`)
    if (text.length < streamedBytes) t.ok(isContinued, what)
    t.equal(entry.eventsOf('route').length, isContinued ? 2 : 1)
  }
})
