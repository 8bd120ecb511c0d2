/** Responses whose body ends with the connection are held back until their end is known, so that callers get them whole or not at all. */
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as callerFixture from './callerFixture.js'
import * as entries from './forwardingEntry.js'

const settleMs = 50
const eventTimeoutMs = 20_000
const holdMs = 1000
const request = 'GET /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n'
const endpointHead = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n'
const part = 'x'.repeat(10_000)
/** More than may be held back. */
const longPart = 'x'.repeat(512 * 1024)

/** Counts the bytes of the body in what was received, whatever its framing. */
function countOf (received: string): number {
  return received.slice(received.indexOf('\r\n\r\n')).split(part[0]!).length - 1
}

/** Responds without a length, and resets the connection in the middle of the body. */
function respondInPart (req: http.IncomingMessage, res: http.ServerResponse): void {
  res.useChunkedEncodingByDefault = false
  req.resume().on('end', () => {
    res.writeHead(200, { ...entries.stamp(req), connection: 'close' }).write(part)
    timers.setTimeout(settleMs).then(() => req.socket.resetAndDestroy())
  })
}

// Guards against a part of a response that looks complete to its caller because the instance that passed it on was killed (issue 49).
tap.t.test('nothing of a response without a length is sent before its end is known', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(endpointHead + part)).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  await timers.setTimeout(settleMs)
  t.equal(caller.received, '')
  fixture.targetSockets[0]!.end(part)
  t.ok(await callerFixture.waitUntil(() => caller.response !== undefined, eventTimeoutMs))
  t.equal(caller.response?.body.toString(), part + part)
})

for (const [name, sent, ms] of [
  ['a long response', longPart, eventTimeoutMs],
  ['a slow response', part, 3 * holdMs]
] as const) {
  tap.t.test(`${name} without a length is passed on before its end, and does not look complete if its connection is reset`, async (t) => {
    await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(endpointHead + sent)).start()
    const caller = fixture.send(request)
    t.ok(await callerFixture.waitUntil(() => countOf(caller.received) >= sent.length, ms))
    fixture.targetSockets[0]!.resetAndDestroy()
    t.ok(await callerFixture.waitUntil(() => caller.isClosed || caller.hasEnded, eventTimeoutMs))
    t.equal(caller.response, undefined, 'its caller can see that it is incomplete')
  })
}

tap.t.test('a slow response without a length is passed on before the deadline of its request', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ deadlineMs: holdMs / 4 }, (socket) => socket.write(endpointHead + part)).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => caller.isClosed || caller.hasEnded, eventTimeoutMs))
  t.match(caller.statuses, ['200'])
})

tap.t.test('the endpoint is free again when the caller leaves while its response is held back', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(endpointHead + part), { slots: 1 }).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  await timers.setTimeout(settleMs)
  caller.socket.destroy()
  t.ok(await callerFixture.waitUntil(() => fixture.targetSockets[0]!.destroyed && fixture.listener.inFlightCount === 0, holdMs / 2))
})

tap.t.test('an error response without a length is replaced at once, since its body is not needed', async (t) => {
  await using failing = await entries.startEndpoint('e-1', (req, res) => {
    res.useChunkedEncodingByDefault = false
    res.writeHead(500, { ...entries.stamp(req), connection: 'close' }).write(part)
  })
  await using sound = await entries.startEndpoint('e-2')
  await using entry = await entries.TestEntry.start('entry', [failing, sound])
  for (let i = 0; i < 2; i++) {
    const { status, ms } = await entries.send(entry.callersAddress, 'GET', { 'x-id': `request-${i}` })
    t.ok(status === 200 && ms < holdMs / 2, `${status} after ${Math.round(ms)} ms`)
  }
  t.ok(failing.requests.length > 0)
})

for (const coding of ['identity', 'gzip', 'chunked, gzip']) {
  // Guards against a part of a response that is passed on as whole, since its framing was mistaken for one that marks the end.
  tap.t.test(`a response with the transfer coding "${coding}" ends with its connection`, async (t) => {
    const head = endpointHead.replace('\r\n\r\n', `\r\nTransfer-Encoding: ${coding}\r\n\r\n`)
    await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(head + part)).start()
    const caller = fixture.send(request)
    t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
    await timers.setTimeout(settleMs)
    fixture.targetSockets[0]!.resetAndDestroy()
    t.ok(await callerFixture.waitUntil(() => caller.isClosed || caller.statuses.length > 0, eventTimeoutMs))
    t.same(caller.statuses, ['502'])
  })
}

for (const [name, peers] of [['directly', false], ['through peers', true]] as const) {
  // Guards against a broken response for a request that another endpoint could have answered.
  tap.t.test(`an idempotent request whose response without a length breaks off is answered by another endpoint: ${name}`, async (t) => {
    await using broken = await entries.startEndpoint('e-1', respondInPart)
    await using sound = await entries.startEndpoint('e-2')
    await using first = await entries.TestEntry.start('first', [broken, sound])
    await using sender = await entries.TestEntry.start('sender', [], { isCutOff: true })
    sender.peers = [first.asPeer]
    for (let i = 0; i < 2; i++) {
      t.match(await entries.send(peers ? sender.callersAddress : first.callersAddress, 'GET', { 'x-id': `request-${i}` }), { status: 200, body: 'from e-2', isComplete: true })
    }
    t.ok(broken.requests.length > 0)
  })
}

tap.t.test('a request that is not idempotent is not repeated when its response without a length breaks off', async (t) => {
  await using first = await entries.startEndpoint('e-1', respondInPart)
  await using second = await entries.startEndpoint('e-2', respondInPart)
  await using entry = await entries.TestEntry.start('entry', [first, second])
  const { status, headers } = await entries.send(entry.callersAddress, 'POST', {}, 'content')
  t.match({ status, outcome: headers['rack-outcome'] }, { status: 502, outcome: 'unknown' })
  t.equal(first.requests.length + second.requests.length, 1)
})
