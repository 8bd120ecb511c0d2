/** Request bodies: an endpoint that runs a request gets the whole body of its caller, whichever attempt reaches it. */
import type * as http from 'node:http'
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'
import * as longBodies from './longBodies.js'

const deadlineMs = 10_000
const options = { retryRatio: 1, deadlineMs }
/** More than what sockets hold on the way, and less than what is held of a body. */
const unreadBytes = 7_400_000
const unreadDeadlineMs = 3000

type Reject = (req: http.IncomingMessage, res: http.ServerResponse) => void

const notRun = (req: http.IncomingMessage, res: http.ServerResponse, status: number): void => { res.writeHead(status, { ...entries.stamp(req), 'x-not-run': '1' }).end() }

/** How the first endpoint treats a request, so that another one runs it. */
const rejections: ReadonlyArray<readonly [name: string, method: 'GET' | 'POST', reject: Reject]> = [
  ['its first endpoint rejects after the whole body', 'POST', (req, res) => { req.resume().on('end', () => notRun(req, res, 503)) }],
  ['its first endpoint rejects at the head', 'POST', (req, res) => {
    notRun(req, res, 503)
    req.on('error', () => {}).resume()
  }],
  ['was sent to an endpoint that is not the expected one', 'POST', (req, res) => { req.resume().on('end', () => notRun(req, res, 421)) }],
  ['its first endpoint fails', 'GET', (req, res) => { req.resume().on('end', () => res.writeHead(500, entries.stamp(req)).end()) }],
  ['its first endpoint loses', 'GET', (req) => { req.resume().on('end', () => req.socket.destroy()) }]
]

/** Records the bodies of requests by their ids and responds. */
function run (received: Map<string, string[]>, req: http.IncomingMessage, res: http.ServerResponse): void {
  const id = String(req.headers['x-id'])
  const chunks: Buffer[] = []
  req.on('error', () => {}).on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => {
    received.set(id, [...received.get(id) ?? [], Buffer.concat(chunks).toString()])
    res.writeHead(200, entries.stamp(req)).end()
  })
}

for (const [name, method, reject] of rejections) {
  // Guards against a repeat that sends a part of the body, nothing, or that of another request.
  tap.t.test(`a request that ${name} is run with its whole body`, async (t) => {
    const received = new Map<string, string[]>()
    const rejected = new Set<string>()
    const handle: http.RequestListener = (req, res) => {
      const id = String(req.headers['x-id'])
      if (rejected.has(id)) return run(received, req, res)
      rejected.add(id)
      reject(req, res)
    }
    await using first = await entries.startEndpoint('e-1', handle)
    await using second = await entries.startEndpoint('e-2', handle)
    await using entry = await entries.TestEntry.start('entry', [first, second], options)
    await Promise.all(longBodies.framings.flatMap(([framing, createHeaders]) => longBodies.sizes.map(async (size) => {
      const id = `${framing}-${size}`
      const text = longBodies.createText(size, id)
      const res = await entries.send(entry.callersAddress, method, { 'x-id': id, 'x-deadline': String(deadlineMs), ...createHeaders(size) }, text)
      t.match(res, { status: 200, isComplete: true }, id)
      t.ok(received.get(id)?.join() === text, `${id}: ${received.get(id)?.map(({ length }) => length).join(' and ')} bytes`)
    })))
    t.equal(rejected.size, received.size)
  })
}

// Guards against a request that waits for its endpoint until the deadline, since not all of its body has been received.
tap.t.test('a long idempotent request whose endpoint reads none of it is run by another endpoint before its deadline', async (t) => {
  for (const [framing, createHeaders] of longBodies.framings) {
    const received = new Map<string, string[]>()
    let isUnread = true
    const handle: http.RequestListener = (req, res) => {
      if (!isUnread) return run(received, req, res)
      isUnread = false
      req.on('error', () => {})
    }
    await using first = await entries.startEndpoint('e-1', handle)
    await using second = await entries.startEndpoint('e-2', handle)
    await using entry = await entries.TestEntry.start('entry', [first, second], { ...options, deadlineMs: unreadDeadlineMs })
    const text = longBodies.createText(unreadBytes, framing)
    const res = await entries.send(entry.callersAddress, 'GET', { 'x-id': framing, 'x-deadline': String(unreadDeadlineMs), ...createHeaders(unreadBytes) }, text)
    t.match(res, { status: 200 }, framing)
    t.ok(received.get(framing)?.join() === text)
  }
})
