/** A response whose body is not complete soon after the deadline must be broken off visibly: its endpoint may never end it. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as callerFixture from './callerFixture.js'

const deadlineMs = 300
const pieceIntervalMs = 20
/** Time in which an overdue response has to end; less than the timeout of a body without progress. */
const endTimeoutMs = 4000
const smallBodyBytes = 200_000
/** More than the sockets between endpoint and caller hold. */
const largeBodyBytes = 32 * 1024 * 1024
const request = 'GET /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n'
const requestWithDeadline = request.replace('\r\n\r\n', `\r\nX-Deadline: ${deadlineMs}\r\n\r\n`)
const endpointHead = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\n'
const chunk = '5\r\nhello\r\n'

/** Returns how many bytes of a body have been received. */
function countBody ({ received }: callerFixture.CallerConnection): number {
  return received.slice(received.indexOf('\r\n\r\n') + '\r\n\r\n'.length).length
}

/** Sends the piece again and again until the connection is closed. */
async function sendWithoutEnd (socket: net.Socket, piece: string): Promise<void> {
  while (!socket.destroyed) {
    socket.write(piece)
    await timers.setTimeout(pieceIntervalMs)
  }
}

for (const [name, lane, sent, head, first, piece] of [
  ['chunks come without end', { deadlineMs }, request, 'Transfer-Encoding: chunked\r\n', chunk, chunk],
  ['chunks come without end beyond the deadline of its caller', {}, requestWithDeadline, 'Transfer-Encoding: chunked\r\n', chunk, chunk],
  ['bytes come without end and without a length', { deadlineMs }, request, 'Connection: close\r\n', 'hello', 'hello'],
  ['body stops after its first bytes', { deadlineMs }, request, 'Content-Length: 10\r\n', 'hello', ''],
  ['chunks come without end for a request that is not idempotent', { deadlineMs, idempotent: false }, request, 'Transfer-Encoding: chunked\r\n', chunk, chunk]
] as const) {
  // Guards against requests that stay open long after the timeout of their route.
  tap.t.test(`a response whose ${name} is broken off, and its endpoint is free again`, async (t) => {
    let isEndless = true
    await using fixture = await new callerFixture.CallerFixture(lane, (socket) => {
      socket.write(isEndless ? `${endpointHead}${head}\r\n${first}` : `${endpointHead}Content-Length: 2\r\n\r\nok`)
      if (isEndless) sendWithoutEnd(socket, piece)
    }, { slots: 1 }).start()
    const caller = fixture.send(sent)
    t.ok(await callerFixture.waitUntil(() => caller.statuses.length > 0))
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed, endTimeoutMs), 'the connection of the caller has ended')
    t.equal(caller.response, undefined, 'the caller can see that the response is incomplete')
    t.ok(await callerFixture.waitUntil(() => fixture.targetSockets[0]!.destroyed, endTimeoutMs), 'the connection to the endpoint is closed')
    t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0, endTimeoutMs))
    t.match(fixture.metricsText, 'rosemaryrack_cut_responses_total{lane="lane",reason="overdue"} 1')
    isEndless = false
    const next = fixture.send(request)
    await callerFixture.waitUntil(() => next.received.endsWith('ok'), endTimeoutMs)
    t.match(next.received, /ok$/, 'the slot of the endpoint is free')
  })
}

tap.t.test('a response that was complete before the deadline is delivered to a caller that reads it later', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ deadlineMs }, (socket) => {
    socket.write(`${endpointHead}Content-Length: ${smallBodyBytes}\r\n\r\n${'x'.repeat(smallBodyBytes)}`)
  }).start()
  const caller = fixture.send(request)
  caller.socket.pause()
  await timers.setTimeout(4 * deadlineMs)
  caller.socket.resume()
  await callerFixture.waitUntil(() => countBody(caller) >= smallBodyBytes || caller.isClosed, endTimeoutMs)
  t.equal(countBody(caller), smallBodyBytes)
})

tap.t.test('a response is not overdue because its caller reads late', async (t) => {
  const slowCallerDeadlineMs = 1000
  await using fixture = await new callerFixture.CallerFixture({ deadlineMs: slowCallerDeadlineMs }, (socket) => {
    socket.write(`${endpointHead}Content-Length: ${largeBodyBytes}\r\n\r\n`)
    socket.write(Buffer.alloc(largeBodyBytes, 'x'))
  }).start()
  const caller = fixture.send(request)
  caller.socket.pause()
  await timers.setTimeout(3 * slowCallerDeadlineMs)
  t.ok(fixture.listener.inFlightCount === 1 && !caller.isClosed, 'the response waits for its caller')
  caller.socket.resume()
  await callerFixture.waitUntil(() => countBody(caller) >= largeBodyBytes || caller.isClosed)
  t.equal(countBody(caller), largeBodyBytes)
})
