/**
 * Targets that send invalid bytes without end until the connection is closed: in a head, in a body and after a response.
 * Memory use must stay small, the connection must not be reused, and no caller may receive the bytes as a success.
 */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as exchange from './exchange.js'

const blockBytes = 16 * 1024
/** More than a head and the socket buffers of both sides, but far less than the target would send. */
const maxSentBytes = 24 * 1024 * 1024
const eventTimeoutMs = 20_000
const settleMs = 50
const okHead = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\n'

/** Sends `unit` repeatedly until the connection is closed, or far too much was sent. */
function sendEndlessly (socket: net.Socket, begin: string, unit: string): void {
  const bytes = Buffer.from(unit.repeat(Math.ceil(blockBytes / unit.length)))
  socket.write(begin)
  const sendMore = (): void => {
    while (!socket.destroyed && socket.bytesWritten < 4 * maxSentBytes && socket.write(bytes));
  }
  socket.on('drain', sendMore)
  sendMore()
}

const heads: ReadonlyArray<readonly [string, string, string]> = [
  ['bytes that are not a head', '', 'x'],
  ['empty lines before a head', '', '\r\n'],
  ['status line', 'HTTP/1.1 200 ', 'O'],
  ['header', `${okHead}X-Long: `, 'a'],
  ['header name', okHead, 'a'],
  ['headers', okHead, 'X-More: a\r\n'],
  ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n']
]

const bodies: ReadonlyArray<readonly [string, string, string]> = [
  ['bytes that are not a chunk', `${okHead}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`, 'x'],
  ['chunk size', `${okHead}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`, '0'],
  ['chunk extension', `${okHead}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5;`, 'e'],
  ['trailers', `${okHead}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n`, 'X-More: a\r\n'],
  ['chunks larger than their size field', `${okHead}Transfer-Encoding: chunked\r\n\r\n`, '2\r\nhello\r\n']
]

for (const [name, begin, unit] of heads) {
  tap.t.test(`endless ${name}`, async (t) => {
    await using current = new exchange.Exchange((socket) => sendEndlessly(socket, begin, unit))
    await current.send()
    t.ok(await current.waitForEvent(['lost'], eventTimeoutMs), 'the outcome is unknown')
    await timers.setTimeout(settleMs)
    t.same([current.head, current.connections.count], [undefined, 0])
    t.ok(current.targetSocket!.bytesWritten < maxSentBytes, `${current.targetSocket!.bytesWritten} bytes`)
  })
}

for (const [name, begin, unit] of bodies) {
  tap.t.test(`endless ${name} in a body`, async (t) => {
    await using current = new exchange.Exchange((socket) => sendEndlessly(socket, begin, unit))
    await current.send()
    t.ok(await current.waitForEvent(['broken'], eventTimeoutMs), 'the response is reported as incomplete')
    await timers.setTimeout(settleMs)
    t.same([current.events.includes('end'), current.connections.count], [false, 0])
    t.ok(current.targetSocket!.bytesWritten < maxSentBytes, `${current.targetSocket!.bytesWritten} bytes`)
  })
}

tap.t.test('endless bytes after a complete response close the connection', async (t) => {
  await using current = new exchange.Exchange((socket) => sendEndlessly(socket, `${okHead}Content-Length: 5\r\n\r\nhello`, 'x'))
  await current.send()
  t.ok(await current.waitForEvent(['end'], eventTimeoutMs))
  await timers.setTimeout(settleMs)
  t.same([current.bodyBytes, current.connections.count, current.connections.takeIdle(current.endpoint.address, false)], [5, 0, undefined])
})

tap.t.test('a paused caller applies back-pressure to an endless body', async (t) => {
  await using current = new exchange.Exchange((socket) => sendEndlessly(socket, `${okHead}Connection: close\r\n\r\n`, 'x'), false)
  await current.send()
  t.ok(await current.waitForEvent(['data'], eventTimeoutMs))
  await timers.setTimeout(settleMs)
  // Four socket reads of at most 64 KiB (four blocks): allows for data that was read before the pause took effect.
  t.ok(current.bodyBytes <= 4 * blockBytes * 4, `${current.bodyBytes} bytes were passed to the paused caller`)
  t.ok(current.targetSocket!.bytesWritten < maxSentBytes, `${current.targetSocket!.bytesWritten} bytes`)
})
