/** Requests that an instance forwards to peers because it cannot reach targets. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as forwardHeaders from '../common/forwardHeaders.js'
import * as entries from './forwardingEntry.js'

/** Long enough for a large response on a busy machine. */
const transferDeadlineMs = 60_000
const mebibyte = 1024 * 1024
const settleMs = 50
const eventTimeoutMs = 20_000
/** Within which a target must notice that the caller has left. */
const cancelLimitMs = 500

/** Starts an endpoint, an instance that reaches it, and one that is cut off and knows the former as its only peer. */
async function startPair (handle?: http.RequestListener, options: entries.EntryOptions = {}): Promise<{ readonly endpoint: entries.TestEndpoint, readonly peer: entries.TestEntry, readonly sender: entries.TestEntry, [Symbol.asyncDispose](): Promise<void> }> {
  const endpoint = await entries.startEndpoint('e-1', handle)
  const peer = await entries.TestEntry.start('peer', [endpoint], options)
  const sender = await entries.TestEntry.start('sender', [], { ...options, isCutOff: true })
  sender.peers = [peer.asPeer]
  return {
    endpoint,
    peer,
    sender,
    [Symbol.asyncDispose]: async () => {
      await Promise.all([sender[Symbol.asyncDispose](), peer[Symbol.asyncDispose](), endpoint[Symbol.asyncDispose]()])
    }
  }
}

/** Starts a server in the place of a peer. */
async function startFakePeer (handle: http.RequestListener): Promise<entries.TestServer> {
  return await new entries.TestServer(handle).listen()
}

tap.t.test('the response of an endpoint is passed on unchanged, and the endpoint gets the request of the caller', async (t) => {
  await using pair = await startPair((req, res) => res.writeHead(201, 'Made', { ...entries.stamp(req), 'x-extra': 'kept' }).end('body'))
  const res = await entries.send(pair.sender.callersAddress, 'GET', { authorization: 'Bearer of the caller', 'x-forwarded-for': '192.0.2.1' })
  t.match(res, { status: 201, body: 'body', isComplete: true, headers: { 'x-id': 'request-1', 'x-stamp': 's', 'x-extra': 'kept' } })
  const [received] = pair.endpoint.requests
  t.match(received!.headers, { 'x-id': 'request-1', authorization: 'Bearer of the caller', 'x-forwarded-for': '192.0.2.1, 127.0.0.1' })
  const remainingMs = Number(received!.headers['x-deadline'])
  t.ok(remainingMs > 0 && remainingMs <= entries.deadlineMs, `${remainingMs} ms left`)
  const names = [...Object.keys(received!.headers), ...Object.keys(res.headers)]
  t.same(names.filter((name) => name.startsWith('rack-forward-')), [])
  t.equal(pair.sender.eventsOf('forward').length, 1)
})

for (const [name, method, status, headers, body] of [
  ['a response to HEAD', 'HEAD', 200, { 'content-length': 5 }, undefined],
  ['a response to HEAD without a length', 'HEAD', 200, {}, undefined],
  ['a response without content', 'GET', 204, {}, undefined],
  ['a response without a change', 'GET', 304, { etag: '"1"' }, undefined],
  ['a redirect', 'GET', 302, { location: '/y', 'content-length': 0 }, undefined],
  ['an empty response in chunks', 'GET', 200, {}, ''],
  ['a repeated header', 'GET', 200, { 'set-cookie': ['a=1', 'b=2'], 'content-length': 4 }, 'body']
] as const) {
  tap.t.test(`${name} is the same directly and through a peer`, async (t) => {
    await using pair = await startPair((req, res) => { res.writeHead(status, { ...entries.stamp(req), date: 'today', ...headers } as http.OutgoingHttpHeaders).end(body) })
    const [direct, forwarded] = [await entries.send(pair.peer.callersAddress, method), await entries.send(pair.sender.callersAddress, method)]
    t.equal(direct.status, status)
    t.same({ ...forwarded, ms: 0 }, { ...direct, ms: 0 })
  })
}

tap.t.test('the failure of an endpoint is passed on unchanged', async (t) => {
  await using pair = await startPair((req, res) => { res.writeHead(500, entries.stamp(req)).end('failed') })
  const res = await entries.send(pair.sender.callersAddress, 'POST')
  t.match(res, { status: 500, body: 'failed', headers: { 'x-stamp': 's' } })
  t.equal(pair.endpoint.requests.length, 1)
})

tap.t.test('a refusal of the peer after its run is passed on', async (t) => {
  await using pair = await startPair((req) => req.socket.destroy())
  const res = await entries.send(pair.sender.callersAddress, 'POST')
  t.match(res, { status: 502, headers: { 'rack-outcome': 'unknown', 'x-id': 'request-1' } })
  t.equal(pair.endpoint.requests.length, 1)
})

tap.t.test('a large response streams to a slow caller with bounded memory', async (t) => {
  const chunk = crypto.randomBytes(mebibyte)
  const chunkCount = 160
  const state = { written: 0 }
  await using pair = await startPair((req, res) => {
    res.writeHead(200, { ...entries.stamp(req), 'content-length': chunkCount * chunk.length })
    const sendMore = (): void => {
      while (state.written < chunkCount) {
        state.written++
        if (!res.write(chunk)) return
      }
      res.end()
    }
    res.on('drain', sendMore)
    sendMore()
  }, { deadlineMs: transferDeadlineMs })
  const before = process.memoryUsage().arrayBuffers
  const res = await new Promise<http.IncomingMessage>((resolve) => {
    entries.startRequest(pair.sender.callersAddress, 'GET', '/x', { 'x-id': 'large', 'x-deadline': String(transferDeadlineMs) }).on('response', resolve).end()
  })
  t.ok(await entries.waitUntil(() => state.written > 0, eventTimeoutMs))
  let seen = -1
  while (seen !== state.written) {
    seen = state.written
    await timers.setTimeout(10 * settleMs)
  }
  t.ok(state.written < chunkCount, `${state.written} MiB sent before the caller reads`)
  const growth = process.memoryUsage().arrayBuffers - before
  t.ok(growth < 16 * mebibyte, `${growth} bytes buffered`)
  const hash = crypto.createHash('sha256')
  for await (const data of res) hash.update(data as Buffer)
  const expected = crypto.createHash('sha256')
  for (let i = 0; i < chunkCount; i++) expected.update(chunk)
  t.equal(hash.digest('hex'), expected.digest('hex'))
})

tap.t.test('a large upload reaches the endpoint', async (t) => {
  const content = crypto.randomBytes(8 * mebibyte)
  await using pair = await startPair(async (req, res) => {
    const hash = crypto.createHash('sha256')
    for await (const data of req) hash.update(data as Buffer)
    res.writeHead(200, entries.stamp(req)).end(hash.digest('hex'))
  })
  for (const headers of [{ 'content-length': content.length }, { 'transfer-encoding': 'chunked' }]) {
    const body = await new Promise<string>((resolve, reject) => {
      const req = entries.startRequest(pair.sender.callersAddress, 'POST', '/x', headers).on('error', reject)
      req.on('response', (res) => res.setEncoding('utf8').on('data', resolve))
      req.end(content)
    })
    t.equal(body, crypto.createHash('sha256').update(content).digest('hex'))
  }
})

tap.t.test('a large upload that the peer declines is refused as not run', async (t) => {
  await using peer = await entries.TestEntry.start('peer', [], { isCutOff: true })
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  sender.peers = [peer.asPeer]
  for (let i = 0; i < 5; i++) {
    const content = crypto.randomBytes(mebibyte).toString('base64')
    t.match(await entries.send(sender.callersAddress, 'POST', { 'content-length': content.length }, content), { status: 503, headers: { 'rack-outcome': 'not-run' } })
  }
})

const longPart = 'x'.repeat(512 * 1024)
const cutResponse = { status: 200, isComplete: false }
for (const [name, headers, end, part, expected] of [
  ['a response with a length', { 'content-length': 100 }, 'destroy', 'part', { ...cutResponse, body: 'part' }],
  ['a response in chunks', {}, 'destroy', 'part', { ...cutResponse, body: 'part' }],
  ['a short response that ends with its connection', { connection: 'close' }, 'resetAndDestroy', 'part', { status: 502, isComplete: true }],
  ['a long response that ends with its connection', { connection: 'close' }, 'resetAndDestroy', longPart, cutResponse]
] as const) {
  tap.t.test(`${name} that breaks off at the endpoint does not look complete`, async (t) => {
    await using pair = await startPair((req, res) => {
      // Node.js sends a body in chunks unless that is disabled.
      if ('connection' in headers) res.useChunkedEncodingByDefault = false
      res.writeHead(200, { ...entries.stamp(req), ...headers }).write(part)
      timers.setTimeout(settleMs).then(() => req.socket[end]())
    })
    t.match(await entries.send(pair.sender.callersAddress), expected)
  })
}

tap.t.test('a response without a length that comes through a peer is whole, and is marked as complete only after an orderly end', async (t) => {
  await using pair = await startPair((req, res) => {
    res.useChunkedEncodingByDefault = false
    res.writeHead(200, { ...entries.stamp(req), connection: 'close' })
    if (req.headers['x-id'] !== 'cut') {
      res.end('whole')
      return
    }
    res.write(longPart)
    timers.setTimeout(settleMs).then(() => req.socket.resetAndDestroy())
  })
  const { status, body, isComplete, headers } = await entries.send(pair.sender.callersAddress)
  t.same({ status, body, isComplete, length: headers['content-length'], encoding: headers['transfer-encoding'] }, { status: 200, body: 'whole', isComplete: true, length: undefined, encoding: 'chunked' })
  t.match(await entries.send(pair.sender.callersAddress, 'GET', { 'x-id': 'cut' }), { status: 200, isComplete: false, headers: { 'transfer-encoding': 'chunked' } })
})

for (const method of ['GET', 'POST']) {
  tap.t.test(`${method}: a peer that declines is followed by the next one`, async (t) => {
    await using endpoint = await entries.startEndpoint('e-1')
    await using second = await entries.TestEntry.start('second', [endpoint])
    for (const options of [{ isCutOff: true }, { configVersion: 0 }, { token: 'another-token-of-this-test' }]) {
      await using first = await entries.TestEntry.start('first', [endpoint], options)
      await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
      sender.peers = [first.asPeer, second.asPeer]
      const before = endpoint.requests.length
      t.match(await entries.send(sender.callersAddress, method, {}, method === 'GET' ? undefined : 'content'), { status: 200 }, JSON.stringify(options))
      t.equal(endpoint.requests.length, before + 1)
      t.equal(sender.eventsOf('forward').length, 2)
      t.equal(first.eventsOf('decline').length, 1)
    }
  })

  tap.t.test(`${method}: a peer whose bound is reached declines at once, and serves again later`, async (t) => {
    const open: http.ServerResponse[] = []
    await using slow = await entries.startEndpoint('e-slow', (_req, res) => { open.push(res) })
    await using endpoint = await entries.startEndpoint('e-1')
    await using first = await entries.TestEntry.start('first', [slow], { maxConcurrent: 1 })
    await using second = await entries.TestEntry.start('second', [endpoint])
    await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
    sender.peers = [first.asPeer]
    const held = entries.send(sender.callersAddress, method, { 'x-id': 'held' })
    t.ok(await entries.waitUntil(() => open.length === 1, eventTimeoutMs))
    sender.peers = [first.asPeer, second.asPeer]
    t.match(await entries.send(sender.callersAddress, method), { status: 200, body: 'from e-1' })
    t.match(first.eventsOf('decline'), [{ choice: 'full' }])
    open[0]!.writeHead(200, { 'x-id': 'held', 'x-stamp': 's' }).end('late')
    t.match(await held, { status: 200, body: 'late' })
  })
}

tap.t.test('a request is forwarded only once', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using third = await entries.TestEntry.start('third', [endpoint])
  await using peer = await entries.TestEntry.start('peer', [], { isCutOff: true })
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  peer.peers = [third.asPeer]
  sender.peers = [peer.asPeer]
  const res = await entries.send(sender.callersAddress, 'POST')
  t.match(res, { status: 503, headers: { 'rack-outcome': 'not-run' } })
  t.equal(endpoint.requests.length, 0)
})

tap.t.test('without a peer a request is refused at once, with a time for a retry', async (t) => {
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  const res = await entries.send(sender.callersAddress)
  t.match(res, { status: 503, headers: { 'rack-outcome': 'not-run' } })
  const retryAfterMs = Number(res.headers['retry-after']) * 1000
  t.ok(retryAfterMs > 0 && retryAfterMs <= Math.ceil(entries.deadlineMs / 3), `retry after ${retryAfterMs} ms`)
  t.ok(res.ms < cancelLimitMs, `refused after ${res.ms} ms`)
})

tap.t.test('a peer that refuses connections is followed by the next one', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using second = await entries.TestEntry.start('second', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  sender.peers = [{ instance: 'gone', forwardAddress: '127.0.0.1:1', failureDomain: 'a' }, second.asPeer]
  t.match(await entries.send(sender.callersAddress, 'POST'), { status: 200 })
})

for (const [what, lose] of [
  ['whose connection is lost', (req: http.IncomingMessage) => { req.socket.destroy() }],
  ['that sends a response without the header of a peer', (req: http.IncomingMessage, res: http.ServerResponse) => { res.writeHead(200, entries.stamp(req)).end('not a peer') }]
] as const) {
  tap.t.test(`an idempotent request to a peer ${what} goes to one other peer`, async (t) => {
    await using endpoint = await entries.startEndpoint('e-1')
    await using broken = await startFakePeer(lose)
    await using second = await entries.TestEntry.start('second', [endpoint])
    await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
    sender.peers = [broken.asPeer('broken'), second.asPeer]
    t.match(await entries.send(sender.callersAddress), { status: 200, body: 'from e-1' })
    sender.peers = [broken.asPeer('broken-1'), broken.asPeer('broken-2'), second.asPeer]
    t.match(await entries.send(sender.callersAddress), { status: 502, headers: { 'rack-outcome': 'unknown' } })
  })

  tap.t.test(`a request that is not idempotent is not sent again after a peer ${what}`, async (t) => {
    await using endpoint = await entries.startEndpoint('e-1')
    await using broken = await startFakePeer(lose)
    await using second = await entries.TestEntry.start('second', [endpoint])
    await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
    sender.peers = [broken.asPeer('broken'), second.asPeer]
    t.match(await entries.send(sender.callersAddress, 'POST', {}, 'content'), { status: 502, headers: { 'rack-outcome': 'unknown' } })
    t.equal(endpoint.requests.length, 0)
  })
}

tap.t.test('a silent peer is given up at half of the time for an idempotent request', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using silent = await startFakePeer(() => {})
  await using second = await entries.TestEntry.start('second', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  sender.peers = [silent.asPeer('silent'), second.asPeer]
  const res = await entries.send(sender.callersAddress)
  t.match(res, { status: 200, body: 'from e-1' })
  t.ok(res.ms >= entries.deadlineMs / 2 - settleMs && res.ms < entries.deadlineMs, `${res.ms} ms`)
})

tap.t.test('a request with two attempts stays with a silent peer, which may have used both', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using silent = await startFakePeer(() => {})
  await using second = await entries.TestEntry.start('second', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true, maxAttempts: 2 })
  sender.peers = [silent.asPeer('silent'), second.asPeer]
  t.match(await entries.send(sender.callersAddress), { status: 504 })
  t.equal(endpoint.requests.length, 0)
})

tap.t.test('a silent peer keeps a request that is not idempotent until the deadline', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using silent = await startFakePeer(() => {})
  await using second = await entries.TestEntry.start('second', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  sender.peers = [silent.asPeer('silent'), second.asPeer]
  t.match(await entries.send(sender.callersAddress, 'POST'), { status: 504, headers: { 'rack-outcome': 'unknown' } })
  t.equal(endpoint.requests.length, 0)
})

for (const [phase, respond] of [
  ['before the response', () => {}],
  ['within the response', (req: http.IncomingMessage, res: http.ServerResponse) => { res.writeHead(200, { ...entries.stamp(req), 'content-length': 100 }).write('part') }]
] as const) {
  tap.t.test(`the endpoint notices that the caller has left ${phase}`, async (t) => {
    const state = { started: false, closed: false }
    await using pair = await startPair((req, res) => {
      state.started = true
      res.on('close', () => { state.closed = true })
      respond(req, res)
    })
    const req = entries.startRequest(pair.sender.callersAddress, 'GET', '/x').on('error', () => {}).on('response', (res) => res.on('error', () => {}).resume())
    req.end()
    t.ok(await entries.waitUntil(() => state.started, eventTimeoutMs))
    await timers.setTimeout(settleMs)
    req.destroy()
    t.ok(await entries.waitUntil(() => state.closed, cancelLimitMs))
  })
}

tap.t.test('callers cannot set headers of forwarding', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  sender.peers = [entry.asPeer]
  const forged = { 'rack-forward-attempts-left': '0', 'rack-forward-age-ms': '60000', 'rack-forward-claimed': '1', 'rack-forward-token': 'Bearer forged', 'rack-forward-outcome': 'declined' }
  for (const address of [entry.callersAddress, sender.callersAddress]) {
    t.match(await entries.send(address, 'POST', { ...forged, 'idempotency-key': address }), { status: 200 })
  }
  t.same([entry.claimOwners.length, sender.claimOwners.length], [1, 1])
  for (const { headers } of endpoint.requests) t.same(Object.keys(headers).filter((name) => name.startsWith('rack-forward-')), [])
})

for (const outcome of [forwardHeaders.declinedOutcome, 'not-run', 'unknown']) {
  tap.t.test(`an endpoint cannot make its response look like a peer's: ${outcome}`, async (t) => {
    await using pair = await startPair((req, res) => { res.writeHead(200, { ...entries.stamp(req), 'rack-forward-outcome': outcome, 'rack-forward-attempts': '0' }).end('run') })
    const res = await entries.send(pair.sender.callersAddress, 'POST')
    t.match(res, { status: 200, body: 'run' })
    t.notOk(Object.keys(res.headers).some((name) => name.startsWith('rack-forward-')))
    t.equal(pair.endpoint.requests.length, 1)
  })
}

tap.t.test('a key is claimed once, by the instance that forwards the request', async (t) => {
  await using pair = await startPair()
  t.match(await entries.send(pair.sender.callersAddress, 'POST', { 'idempotency-key': 'key' }), { status: 200 })
  t.same([pair.sender.claimOwners.length, pair.peer.claimOwners.length], [1, 0])
})

// Guards against a key that is denied for good, though the peer that got its request never sent it.
tap.t.test('the claim of a request that a peer has not sent yet is released when the caller leaves', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1', () => {})
  endpoint.slots = 1
  await using peer = await entries.TestEntry.start('peer', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  sender.peers = [peer.asPeer]
  const running = entries.send(sender.callersAddress, 'POST')
  t.ok(await entries.waitUntil(() => endpoint.requests.length === 1, eventTimeoutMs))
  const waiting = entries.startRequest(sender.callersAddress, 'POST', '/x', { 'idempotency-key': 'key' }).on('error', () => {})
  waiting.end()
  t.ok(await entries.waitUntil(() => peer.eventsOf('forwarded').length === 2, eventTimeoutMs))
  await timers.setTimeout(settleMs)
  waiting.destroy()
  await entries.waitUntil(() => peer.releasedOwners.length > 0, cancelLimitMs)
  t.same([peer.releasedOwners, sender.releasedOwners, sender.claimOwners.length], [sender.claimOwners, [], 1])
  t.match(await running, { status: 504 })
  t.equal(endpoint.requests.length, 1)
})

tap.t.test('the claim of a request that a peer has sent to an endpoint is kept when the caller leaves', async (t) => {
  await using pair = await startPair(() => {})
  const req = entries.startRequest(pair.sender.callersAddress, 'POST', '/x', { 'idempotency-key': 'key' }).on('error', () => {})
  req.end()
  t.ok(await entries.waitUntil(() => pair.endpoint.requests.length === 1, eventTimeoutMs))
  req.destroy()
  t.ok(await entries.waitUntil(() => pair.peer.eventsOf('cancel').length === 1, eventTimeoutMs))
  await timers.setTimeout(settleMs)
  t.same([pair.sender.claimOwners.length, pair.sender.releasedOwners, pair.peer.releasedOwners], [1, [], []])
})

tap.t.test('the claim of a request that one peer refuses as not run and another peer runs is kept', async (t) => {
  await using full = await entries.startEndpoint('e-full', (req, res) => { res.writeHead(503, { ...entries.stamp(req), 'x-not-run': '1' }).end() })
  await using endpoint = await entries.startEndpoint('e-1')
  await using first = await entries.TestEntry.start('first', [full], { maxAttempts: 1 })
  await using second = await entries.TestEntry.start('second', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
  sender.peers = [first.asPeer, second.asPeer]
  t.match(await entries.send(sender.callersAddress, 'POST', { 'idempotency-key': 'key' }), { status: 200, body: 'from e-1' })
  await timers.setTimeout(settleMs)
  t.same([full.requests.length, sender.releasedOwners, first.releasedOwners, second.releasedOwners], [1, [], [], []])
})

tap.t.test('an instance that stops completes forwarded requests and declines new ones', async (t) => {
  const open: http.ServerResponse[] = []
  await using pair = await startPair((_req, res) => { open.push(res) })
  const held = entries.send(pair.sender.callersAddress, 'POST', { 'x-id': 'held' })
  t.ok(await entries.waitUntil(() => open.length === 1, eventTimeoutMs))
  const stopped = pair.peer.stopForwards()
  t.match(await entries.send(pair.sender.callersAddress, 'POST'), { status: 503, headers: { 'rack-outcome': 'not-run' } })
  open[0]!.writeHead(200, { 'x-id': 'held', 'x-stamp': 's' }).end('complete')
  t.match(await held, { status: 200, body: 'complete' })
  await stopped
  t.equal(open.length, 1)
})
