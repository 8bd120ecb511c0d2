/**
 * Targets that send bytes that are no answer, without end, until the connection is closed: in a head, in a body and after
 * an answer. What is held in memory stays small, the connection isn't used again, and no caller takes them for a success.
 */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as exchange from './exchange.js'

const block = 16 * 1024
/** More than a head and the buffers of both sides' sockets; far less than what the target would send. */
const mostBytes = 24 * 1024 * 1024
const longMs = 20_000
const aMomentMs = 50
const ok = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\n'

/** Sends `unit` again and again until the connection is closed, or far too much was sent. */
function sendWithoutEnd (socket: net.Socket, begin: string, unit: string): void {
  const bytes = Buffer.from(unit.repeat(Math.ceil(block / unit.length)))
  socket.write(begin)
  const more = (): void => {
    while (!socket.destroyed && socket.bytesWritten < 4 * mostBytes && socket.write(bytes));
  }
  socket.on('drain', more)
  more()
}

const heads: ReadonlyArray<readonly [string, string, string]> = [
  ['bytes that are no head', '', 'x'],
  ['empty lines before a head', '', '\r\n'],
  ['a status line', 'HTTP/1.1 200 ', 'O'],
  ['one header', `${ok}X-Long: `, 'a'],
  ['a header name', ok, 'a'],
  ['headers', ok, 'X-More: a\r\n'],
  ['interim answers', '', 'HTTP/1.1 102 Processing\r\n\r\n']
]

const bodies: ReadonlyArray<readonly [string, string, string]> = [
  ['bytes that are no chunk', `${ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`, 'x'],
  ['a chunk size', `${ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`, '0'],
  ['a chunk extension', `${ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5;`, 'e'],
  ['trailers', `${ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n`, 'X-More: a\r\n'],
  ['chunks that are larger than they say', `${ok}Transfer-Encoding: chunked\r\n\r\n`, '2\r\nhello\r\n']
]

for (const [name, begin, unit] of heads) {
  tap.t.test(`${name} without end`, async (t) => {
    await using current = new exchange.Exchange((socket) => sendWithoutEnd(socket, begin, unit))
    await current.send()
    t.ok(await current.heard(['lost'], longMs), 'the outcome is unknown')
    await timers.setTimeout(aMomentMs)
    t.same([current.head, current.connections.count], [undefined, 0])
    t.ok(current.atTarget!.bytesWritten < mostBytes, `${current.atTarget!.bytesWritten} bytes`)
  })
}

for (const [name, begin, unit] of bodies) {
  tap.t.test(`${name} without end, in a body`, async (t) => {
    await using current = new exchange.Exchange((socket) => sendWithoutEnd(socket, begin, unit))
    await current.send()
    t.ok(await current.heard(['broken'], longMs), 'it doesn\'t look complete')
    await timers.setTimeout(aMomentMs)
    t.same([current.seen.includes('end'), current.connections.count], [false, 0])
    t.ok(current.atTarget!.bytesWritten < mostBytes, `${current.atTarget!.bytesWritten} bytes`)
  })
}

tap.t.test('bytes without end after a whole answer close the connection', async (t) => {
  await using current = new exchange.Exchange((socket) => sendWithoutEnd(socket, `${ok}Content-Length: 5\r\n\r\nhello`, 'x'))
  await current.send()
  t.ok(await current.heard(['end'], longMs))
  await timers.setTimeout(aMomentMs)
  t.same([current.bodyBytes, current.connections.count, current.connections.takeIdle(current.endpoint.address, false)], [5, 0, undefined])
})

tap.t.test('a caller that reads slowly holds back a body without end', async (t) => {
  await using current = new exchange.Exchange((socket) => sendWithoutEnd(socket, `${ok}Connection: close\r\n\r\n`, 'x'), false)
  await current.send()
  t.ok(await current.heard(['data'], longMs))
  await timers.setTimeout(aMomentMs)
  t.ok(current.bodyBytes <= 4 * block * 4, `${current.bodyBytes} bytes were given to the caller that holds back`)
  t.ok(current.atTarget!.bytesWritten < mostBytes, `${current.atTarget!.bytesWritten} bytes`)
})
