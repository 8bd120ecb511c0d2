/** A response that is cut because its caller stopped reading must look incomplete, whatever its framing. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as callerFixture from './callerFixture.js'

const stalledResponseMs = 200
const pieceIntervalMs = 1
const piece = 'x'.repeat(64 * 1024)
const request = 'GET /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n'
const head = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\n'

/** Sends the piece again and again until the connection is closed, no faster than the other side takes it. */
async function sendWithoutEnd (socket: net.Socket, text: string): Promise<void> {
  while (!socket.destroyed) {
    if (!socket.writableNeedDrain) socket.write(text)
    await timers.setTimeout(pieceIntervalMs)
  }
}

for (const [name, framing, text] of [
  ['without a length', 'Connection: close', piece],
  ['in chunks', 'Transfer-Encoding: chunked', `${piece.length.toString(16)}\r\n${piece}\r\n`],
  ['with a length', `Content-Length: ${2 ** 40}`, piece]
] as const) {
  // Guards against a cut response that a caller takes for a whole one, and against one that keeps the slot of its endpoint.
  tap.t.test(`a response ${name} whose caller stopped reading makes room for a call that waits, and looks incomplete`, async (t) => {
    await using fixture = await new callerFixture.CallerFixture({}, (socket) => {
      if (fixture.targetRequests > 1) {
        socket.write(`${head}Content-Length: 2\r\n\r\nok`)
        return
      }
      socket.write(`${head}${framing}\r\n\r\n`)
      sendWithoutEnd(socket, text)
    }, { slots: 1, limits: { stalledResponseMs } }).start()
    const stalled = fixture.send(request)
    t.ok(await callerFixture.waitUntil(() => stalled.received.length > piece.length))
    stalled.socket.pause()
    const waiting = fixture.send(request)
    t.ok(await callerFixture.waitUntil(() => waiting.response !== undefined), 'the call that waits gets the slot')
    stalled.socket.resume()
    t.ok(await callerFixture.waitUntil(() => stalled.hasEnded || stalled.isClosed), 'the connection of the caller has ended')
    t.matchSnapshot({
      stalled: stalled.response?.framing ?? 'incomplete',
      waiting: waiting.response?.body.toString(),
      cut: /^rosemaryrack_cut_responses_total.*$/m.exec(fixture.metricsText)?.[0]
    })
  })
}
