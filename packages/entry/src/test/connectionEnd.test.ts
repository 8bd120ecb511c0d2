/** A connection must not end before the requests that were accepted on it are answered, and no request may be accepted that its end leaves unanswered. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as responseBytes from '@rosemaryrack/base/test/responseBytes.js'
import * as callerFixture from './callerFixture.js'

const settleMs = 100
const graceS = 2
const msPerSecond = 1000
const request = 'GET /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n'
const endpointHead = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\n'
const closePattern = /connection: close/i

function answer (socket: net.Socket, body: string): void {
  socket.write(`${endpointHead}Content-Length: ${body.length}\r\n\r\n${body}`)
}

/** Returns the part of what was received that belongs to each response. */
function splitResponses (received: string): readonly string[] {
  return received.split(/(?=HTTP\/1\.1 \d{3} )/)
}

for (const [name, order, closes] of [
  ['in their order', [0, 1], [false, true]],
  ['in reverse order', [1, 0], [false, false]]
] as const) {
  // Guards against a stop that ends a connection while requests on it wait for their responses.
  tap.t.test(`pipelined requests that endpoints answer ${name} after the stop began are all answered`, async (t) => {
    await using fixture = await new callerFixture.CallerFixture({}, () => {}, { graceS }).start()
    const caller = fixture.send(request + request)
    t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 2))
    const stopped = fixture.stop()
    for (const i of order) {
      await timers.setTimeout(settleMs)
      answer(fixture.targetSockets[i]!, `body ${i}`)
    }
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed))
    const responses = splitResponses(caller.received)
    t.same(responses.map((each) => each.slice(-6)).sort(), ['body 0', 'body 1'])
    t.same(responses.map((each) => closePattern.test(each)), closes)
    await stopped
  })
}

tap.t.test('pipelined requests that no endpoint answers each get a final response before the grace period ends', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, () => {}, { slots: 1, graceS }).start()
  const caller = fixture.send(request + request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1 && fixture.listener.inFlightCount === 2), 'the first request has the only slot')
  await fixture.stop()
  t.same(caller.statuses, ['502', '503'])
})

tap.t.test('a request that comes after a response of a process that is stopping has announced the end of the connection is not run', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => { socket.write(`${endpointHead}Content-Length: 10\r\n\r\nhello`) }, { graceS }).start()
  fixture.isStopping = true
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => caller.received.endsWith('hello')))
  t.match(caller.received, closePattern)
  caller.socket.write(request)
  await timers.setTimeout(settleMs)
  fixture.targetSockets[0]!.end('world')
  await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed, msPerSecond)
  t.match(caller.received, /helloworld$/, 'the response is complete')
  t.same([caller.hasEnded, fixture.targetRequests, fixture.listener.inFlightCount], [true, 1, 0])
})

// Guards against a request that is lost with the connection of the response before it.
tap.t.test('a request that comes during a response without a length is answered after it', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => { socket.write(`${endpointHead}Connection: close\r\n\r\nhello`) }, { graceS }).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => caller.received.includes('hello')))
  t.notMatch(caller.received, closePattern)
  caller.socket.write(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 2))
  for (const socket of fixture.targetSockets) socket.end('world')
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0))
  await timers.setTimeout(settleMs)
  const bodies = splitResponses(caller.received).map((each) => responseBytes.parseRes(Buffer.from(each), false)?.res.body.toString())
  t.same([bodies, caller.hasEnded, caller.isClosed], [['helloworld', 'helloworld'], false, false])
})

for (const [method, status] of [['HEAD', '200 OK'], ['GET', '204 No Content'], ['GET', '304 Not Modified']] as const) {
  tap.t.test(`a connection stays usable after a response to ${method} with the status ${status}, which has no body`, async (t) => {
    await using fixture = await new callerFixture.CallerFixture({}, (socket) => { socket.end(`HTTP/1.1 ${status}\r\nX-Id: 7\r\nConnection: close\r\n\r\n`) }, { graceS }).start()
    const caller = fixture.send(request.replace('GET', method))
    t.ok(await callerFixture.waitUntil(() => caller.statuses.length === 1))
    caller.socket.write(request.replace('GET', method))
    t.ok(await callerFixture.waitUntil(() => caller.statuses.length === 2))
    t.same(splitResponses(caller.received).map((each) => each.split('\r\n\r\n')[1]), ['', ''])
    t.notMatch(caller.received, /transfer-encoding|connection: close/i)
    t.same([caller.hasEnded, caller.isClosed], [false, false])
  })
}
