/** Request bodies on all ways through peers: the endpoint that runs a request gets the whole body of its caller. */
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'
import * as longBodies from './longBodies.js'

const eventTimeoutMs = 20_000
/** For which a caller that uploads slowly waits in the middle, when nobody gets its request before the whole body has arrived. */
const pauseMs = 30
/** What is received before the first attempt. */
const firstPartBytes = 65_536
const options: entries.EntryOptions = { retryRatio: 1, deadlineMs: 10_000 }
const cutOff: entries.EntryOptions = { ...options, isCutOff: true }
/** A silent peer is given up at half of it. */
const silenceDeadlineMs = 1000
/** Share of the deadline after which a late body has arrived: after half of it. */
const lateShare = 0.55
/** More than what is held of a body. */
const tooLongBytes = 9 * 1024 * 1024

/** What a request comes across. */
interface Scenario {
  readonly sender: entries.TestEntry
  /** Gets the request before the endpoint that runs it. */
  readonly first?: entries.TestServer
  readonly others: readonly AsyncDisposable[]
  /** Called when `first` has got the head of the request, in the middle of a slow upload. */
  readonly midway?: () => void
}

/** Builds the scenario around the endpoint that runs the request. */
type Build = (runner: entries.TestEndpoint) => Promise<Scenario>

const notRun = (req: http.IncomingMessage, res: http.ServerResponse): void => { res.writeHead(503, { ...entries.stamp(req), 'x-not-run': '1' }).end() }
const readAll = (req: http.IncomingMessage, onEnd: () => void): void => { req.on('error', () => {}).on('end', onEnd).resume() }
const rejectAfterBody: http.RequestListener = (req, res) => readAll(req, () => notRun(req, res))
const rejectAtHead: http.RequestListener = (req, res) => {
  notRun(req, res)
  readAll(req, () => {})
}
const readSilently: http.RequestListener = (req) => readAll(req, () => {})

/** A sender that is cut off, with a server in place of its first peer. */
function throughFakePeer (handle: http.RequestListener, senderOptions = cutOff): Build {
  return async (runner) => {
    const first = await new entries.TestServer(handle).listen()
    const peer = await entries.TestEntry.start('peer', [runner], options)
    const sender = await entries.TestEntry.start('sender', [], senderOptions)
    sender.peers = [first.asPeer('first'), peer.asPeer]
    return { sender, first, others: [peer] }
  }
}

/** A sender that is cut off, with a first peer that doesn't run the request at its endpoint. */
function throughPeers (handle: http.RequestListener, firstOptions = options): Build {
  return async (runner) => {
    const first = await entries.startEndpoint('e-first', handle)
    const firstPeer = await entries.TestEntry.start('first', [first], firstOptions)
    const peer = await entries.TestEntry.start('peer', [runner], options)
    const sender = await entries.TestEntry.start('sender', [], cutOff)
    sender.peers = [firstPeer.asPeer, peer.asPeer]
    return { sender, first, others: [firstPeer, peer] }
  }
}

/** A sender that reaches its endpoint at first. */
function movedToPeer (handle: (sender: () => entries.TestEntry) => http.RequestListener, midway?: (sender: entries.TestEntry) => void): Build {
  return async (runner) => {
    const first = await entries.startEndpoint('e-first', handle(() => sender))
    const peer = await entries.TestEntry.start('peer', [runner], options)
    const sender: entries.TestEntry = await entries.TestEntry.start('sender', [first], options)
    sender.peers = [peer.asPeer]
    return { sender, first, others: [peer], midway: () => midway?.(sender) }
  }
}

const loseAfterBody: http.RequestListener = (req) => readAll(req, () => req.socket.destroy())
const loseWithinBody: http.RequestListener = (req) => { req.on('error', () => {}).once('data', () => req.socket.destroy()) }
const answerAsEndpoint: http.RequestListener = (req, res) => {
  res.writeHead(200, entries.stamp(req)).end('not a peer')
  readAll(req, () => {})
}
const decline = (res: http.ServerResponse): void => { res.writeHead(503, { 'rack-forward-outcome': 'declined' }).end() }
const declineAtHead: http.RequestListener = (req, res) => {
  decline(res)
  readAll(req, () => {})
}

const cases: ReadonlyArray<readonly [name: string, kinds: ReadonlyArray<'GET' | 'POST' | 'keyed'>, build: Build]> = [
  ['starts at a peer', ['GET', 'POST', 'keyed'], async (runner) => {
    const peer = await entries.TestEntry.start('peer', [runner], options)
    const sender = await entries.TestEntry.start('sender', [], cutOff)
    sender.peers = [peer.asPeer]
    return { sender, others: [peer] }
  }],
  ['a peer declines', ['GET', 'POST', 'keyed'], throughPeers(readSilently, cutOff)],
  ['a peer refuses as not run after the whole body', ['GET', 'POST', 'keyed'], throughPeers(rejectAfterBody)],
  ['a peer refuses as not run while its endpoint gets the body', ['POST'], throughPeers(rejectAtHead)],
  ['a peer refuses as not run at its head', ['GET', 'POST'], throughFakePeer((req, res) => {
    res.writeHead(503, { ...entries.stamp(req), 'rack-forward-outcome': 'not-run', 'rack-forward-attempts': '0' }).end()
    readAll(req, () => {})
  })],
  ['a peer declines at its head', ['GET', 'POST'], throughFakePeer(declineAtHead)],
  ['a peer loses after the whole body', ['GET'], throughFakePeer(loseAfterBody)],
  ['a peer loses within the body', ['GET'], throughFakePeer(loseWithinBody)],
  ['is answered by another server than a peer', ['GET'], throughFakePeer(answerAsEndpoint)],
  ['a peer leaves without a response', ['GET'], throughFakePeer(readSilently, { ...cutOff, deadlineMs: silenceDeadlineMs })],
  ['the first endpoint of a peer rejects after the whole body', ['GET', 'POST', 'keyed'], async (runner) => {
    const first = await entries.startEndpoint('e-first', rejectAfterBody)
    const peer = await entries.TestEntry.start('peer', [first, runner], options)
    const sender = await entries.TestEntry.start('sender', [], cutOff)
    sender.peers = [peer.asPeer]
    return { sender, first, others: [peer] }
  }],
  ['moves to a peer after the whole body was sent', ['GET'], movedToPeer((sender) => (req) => readAll(req, () => sender().reachability.set(true)))],
  ['moves to a peer within its body', ['GET'], movedToPeer(() => readSilently, (sender) => sender.reachability.set(true))],
  ['moves to a peer after its endpoint has rejected it', ['POST', 'keyed'], movedToPeer((sender) => (req, res) => readAll(req, () => {
    sender().reachability.set(true)
    setImmediate(() => notRun(req, res))
  }))],
  ['moves to a peer after its endpoint has lost it', ['GET'], movedToPeer((sender) => (req) => readAll(req, () => {
    sender().reachability.isCutOff = true
    req.socket.destroy()
  }))],
  ['moves to a peer while it waits for a slot', ['GET', 'POST', 'keyed'], async (runner) => {
    const full = await entries.startEndpoint('e-full', () => {})
    full.slots = 1
    const peer = await entries.TestEntry.start('peer', [runner], options)
    const sender = await entries.TestEntry.start('sender', [full], options)
    sender.peers = [peer.asPeer]
    entries.startRequest(sender.callersAddress, 'POST', '/x', { 'x-id': 'running' }).on('error', () => {}).end()
    await entries.waitUntil(() => full.requests.length === 1, eventTimeoutMs)
    return { sender, others: [full, peer], midway: () => sender.reachability.set(true) }
  }]
]

interface Result {
  readonly status: number
  readonly body: string
}

/** Sends half of the body, and the rest when the request is at the first server or can't get there before it has been received. */
async function upload ({ sender, first, midway }: Scenario, method: string, headers: http.OutgoingHttpHeaders, text: string): Promise<Result> {
  const req = entries.startRequest(sender.callersAddress, method, '/x', headers)
  const result = new Promise<Result>((resolve) => {
    req.on('error', () => resolve({ status: 0, body: '' })).on('response', (res) => {
      res.toArray().then((chunks) => resolve({ status: res.statusCode!, body: Buffer.concat(chunks).toString() }), () => resolve({ status: res.statusCode!, body: 'broken off' }))
    })
  })
  const hasArrived = (): boolean => first !== undefined && first.requests.length > 0
  const isStartedMidway = text.length / 2 >= firstPartBytes
  req.write(text.slice(0, text.length / 2))
  await entries.waitUntil(hasArrived, pauseMs)
  if (isStartedMidway) midway?.()
  req.end(text.slice(text.length / 2))
  if (!isStartedMidway && midway !== undefined) {
    await entries.waitUntil(hasArrived, first === undefined ? pauseMs : eventTimeoutMs)
    midway()
  }
  return await result
}

/** Starts the endpoint that runs requests and keeps their bodies. */
async function startRunner (received: string[]): Promise<entries.TestEndpoint> {
  return await entries.startEndpoint('e-1', (req, res) => {
    const chunks: Buffer[] = []
    req.on('error', () => {}).on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => {
      received.push(Buffer.concat(chunks).toString())
      res.writeHead(200, entries.stamp(req)).end('from e-1')
    })
  })
}

/** A request with a scenario of its own. */
interface Run {
  readonly what: string
  readonly text: string
  /** Bodies that the endpoint has run. */
  readonly received: readonly string[]
  readonly send: () => Promise<Result>
  readonly dispose: () => Promise<unknown>
}

async function prepare (build: Build, kind: string, size: number, framing: string, framingHeaders: http.OutgoingHttpHeaders): Promise<Run> {
  const received: string[] = []
  const runner = await startRunner(received)
  const scenario = await build(runner)
  const text = longBodies.createText(size)
  const headers = { 'x-id': 'request-1', 'x-deadline': '10000', ...framingHeaders, ...(kind === 'keyed' ? { 'idempotency-key': 'key-1' } : {}) }
  const resources = [scenario.sender, ...scenario.others, runner, ...(scenario.first === undefined ? [] : [scenario.first])]
  return {
    what: `${size} bytes with ${framing}`,
    send: async () => await upload(scenario, kind === 'GET' ? 'GET' : 'POST', headers, text),
    text,
    received,
    dispose: async () => await Promise.all(resources.map(async (resource) => { await resource[Symbol.asyncDispose]() }))
  }
}

/** Prepares a run for each size and framing. */
async function prepareAll (t: Pick<tap.Test, 'teardown'>, build: Build, kind: string): Promise<readonly Run[]> {
  const runs: Run[] = []
  t.teardown(async () => await Promise.all(runs.map(async ({ dispose }) => await dispose())))
  for (const [framing, createHeaders] of longBodies.framings) {
    for (const size of longBodies.sizes) runs.push(await prepare(build, kind, size, framing, createHeaders(size)))
  }
  return runs
}

for (const [name, kinds, build] of cases) {
  for (const kind of kinds) {
    tap.t.test(`${kind}: a request that ${name} is run with its whole body`, async (t) => {
      const runs = await prepareAll(t, build, kind)
      const results = await Promise.all(runs.map(async ({ send }) => await send()))
      for (const [i, { what, text, received }] of runs.entries()) {
        t.same(results[i], { status: 200, body: 'from e-1' }, what)
        t.equal(received.length, 1)
        t.ok(received[0] === text, `${received[0]?.length} of ${text.length} bytes`)
      }
    })
  }
}

for (const kind of ['POST', 'keyed']) {
  for (const [name, build] of [
    ['a peer loses after the whole body', throughFakePeer(loseAfterBody)],
    ['a peer loses within the body', throughFakePeer(loseWithinBody)],
    ['is answered by another server than a peer', throughFakePeer(answerAsEndpoint)],
    ['its endpoint loses within the body while its instance is cut off', movedToPeer((sender) => (req, res) => {
      sender().reachability.set(true)
      loseWithinBody(req, res)
    })]
  ] as const) {
    tap.t.test(`${kind}: a request that ${name} goes to no other peer`, async (t) => {
      const runs = await prepareAll(t, build, kind)
      const results = await Promise.all(runs.map(async ({ send }) => await send()))
      for (const [i, { what, received }] of runs.entries()) t.same([results[i]!.status, received], [502, []], what)
    })
  }
}

for (const [framing, createHeaders] of longBodies.framings) {
  const text = longBodies.createText(tooLongBytes)
  for (const [name, method, handle, status] of [
    ['declines after the whole body', 'POST', (req: http.IncomingMessage, res: http.ServerResponse) => readAll(req, () => decline(res)), 503],
    ['declines after the whole body', 'GET', (req: http.IncomingMessage, res: http.ServerResponse) => readAll(req, () => decline(res)), 503],
    ['loses after the whole body', 'GET', loseAfterBody, 502],
    ['declines at its head', 'POST', declineAtHead, 200],
    ['declines at its head', 'GET', declineAtHead, 200]
  ] as const) {
    tap.t.test(`${method}: a body that is longer than what is held of one is ${status === 200 ? 'sent whole to the next peer' : 'not sent again'} when a peer ${name}, with ${framing}`, async (t) => {
      const received: string[] = []
      await using runner = await startRunner(received)
      const { sender, first, others } = await throughFakePeer(handle)(runner)
      t.teardown(async () => await Promise.all([sender, first!, ...others].map(async (resource) => { await resource[Symbol.asyncDispose]() })))
      const res = await entries.send(sender.callersAddress, method, { 'x-deadline': '10000', ...createHeaders(tooLongBytes) }, text)
      t.equal(res.status, status)
      t.equal(Number(res.headers['retry-after']) > 0, status !== 200)
      t.same(received.map((body) => body === text), status === 200 ? [true] : [])
    })
  }
}

tap.t.test('a silent peer is given up for another one when the body has been received only after the first check', async (t) => {
  const deadlineMs = 3 * silenceDeadlineMs
  await using runner = await entries.startEndpoint('e-1')
  await using silent = await new entries.TestServer(readSilently).listen()
  await using peer = await entries.TestEntry.start('peer', [runner], options)
  await using sender = await entries.TestEntry.start('sender', [], { ...cutOff, deadlineMs })
  sender.peers = [silent.asPeer('silent'), peer.asPeer]
  const text = longBodies.createText(longBodies.sizes.at(-1)!)
  const req = entries.startRequest(sender.callersAddress, 'GET', '/x', { 'x-deadline': String(deadlineMs), 'content-length': text.length })
  const status = new Promise<number>((resolve) => {
    req.on('error', () => resolve(0)).on('response', (res) => resolve(res.resume().statusCode!))
  })
  req.write(text.slice(0, text.length / 2))
  await timers.setTimeout(deadlineMs * lateShare)
  req.end(text.slice(text.length / 2))
  t.equal(await status, 200)
  t.equal(runner.requests.length, 1)
})
