/** Answers whose end is the end of the connection, while the caller of the attempt doesn't read or has gone. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as httpAttempt from '../node/httpAttempt.js'
import * as exchange from './exchange.js'

const chunk = Buffer.alloc(8 * 1024)
const aMomentMs = 50
const longMs = 20_000

/** An exchange whose answer has begun; its end is the end of the connection, which comes at once where it says so. */
async function begin (reads: boolean, endsAtOnce = false): Promise<{ readonly exchange: exchange.Exchange, readonly attempt: httpAttempt.HttpAttempt }> {
  const begun = new exchange.Exchange((socket: net.Socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n')
    if (endsAtOnce) socket.end(chunk)
    else socket.write(chunk)
  }, reads)
  const attempt = await begun.send()
  await begun.heard(['data'], longMs)
  return { exchange: begun, attempt }
}

tap.t.test('an answer that nobody reads any more is given up', async (t) => {
  const { exchange: begun, attempt } = await begin(false)
  await using current = begun
  attempt.cancel()
  await timers.setTimeout(aMomentMs)
  t.same(current.seen, ['data'])
})

for (const [name, reads] of [
  ['a target resets while its answer waits to be read', false],
  ['an answer without a length that ends by a reset is incomplete', true]
] as const) {
  tap.t.test(name, async (t) => {
    await using current = (await begin(reads)).exchange
    current.atTarget!.resetAndDestroy()
    await timers.setTimeout(aMomentMs)
    t.same(current.seen, ['data', 'broken'])
  })
}

tap.t.test('a target ends its answer while the last of it waits to be read', async (t) => {
  const { exchange: begun, attempt } = await begin(false, true)
  await using current = begun
  await timers.setTimeout(aMomentMs)
  t.same(current.seen, ['data'])
  attempt.resume()
  await timers.setTimeout(aMomentMs)
  t.same(current.seen, ['data', 'end'])
})

tap.t.test('an answer without a length ends with its connection', async (t) => {
  await using current = (await begin(true)).exchange
  current.atTarget!.end()
  await timers.setTimeout(aMomentMs)
  t.same(current.seen, ['data', 'end'])
})

tap.t.test('a second copy of an answer, late, on a connection that is in use again, isn\'t taken for the next one', async (t) => {
  const answer = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello'
  await using current = new exchange.Exchange((socket) => socket.write(answer))
  const stamped = { ...exchange.names, targetStamp: 'x-stamp' }
  await current.send('7', stamped)
  await current.heard(['end'], longMs)
  await timers.setTimeout(aMomentMs)
  await current.send('8', stamped)
  t.ok(await current.heard(['lost'], longMs))
  t.same([current.seen, current.bodyBytes, current.connections.count], [['data', 'end', 'lost'], 5, 0])
})

for (const [header, limitMs] of [
  ['timeout=10', 8000],
  ['max=5, timeout=2', 1600],
  ['timeout=999999', 60_000],
  ['timeout=soon', 4000],
  ['', 4000]
] as const) {
  tap.t.test(`a connection whose target said "Keep-Alive: ${header}" is used again for ${limitMs} ms`, async (t) => {
    await using current = new exchange.Exchange((socket) => socket.write(`HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: ${header}\r\nContent-Length: 5\r\n\r\nhello`))
    await current.send()
    await current.heard(['end'], longMs)
    const { address } = current.endpoint
    await timers.setTimeout(aMomentMs)
    const before = current.connections.hasIdle(address)
    const connection = current.connections.takeIdle(address, false)
    t.same([before, connection?.idleLimitMs, current.connections.hasIdle(address)], [true, limitMs, false])
    if (connection !== undefined) current.connections.discard(connection)
  })
}
