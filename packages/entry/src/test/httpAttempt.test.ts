/**
 * Attempts whose response ends with the connection, also while the response is paused or after a cancel; late duplicate
 * responses; and how long connections are reusable.
 */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as httpAttempt from '../node/httpAttempt.js'
import * as exchange from './exchange.js'

const bodyChunk = Buffer.alloc(8 * 1024)
const settleMs = 50
const eventTimeoutMs = 20_000

/** Starts an exchange whose response ends with the connection, and waits for its first data. */
async function startExchange (isReading: boolean, endsImmediately = false): Promise<{ readonly exchange: exchange.Exchange, readonly attempt: httpAttempt.HttpAttempt }> {
  const started = new exchange.Exchange((socket: net.Socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n')
    if (endsImmediately) socket.end(bodyChunk)
    else socket.write(bodyChunk)
  }, isReading)
  const attempt = await started.send()
  await started.waitForEvent(['data'], eventTimeoutMs)
  return { exchange: started, attempt }
}

tap.t.test('a cancelled attempt reports nothing more of a paused response', async (t) => {
  const { exchange: started, attempt } = await startExchange(false)
  await using current = started
  attempt.cancel()
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data'])
})

for (const [name, isReading] of [
  ['a paused response whose connection is reset is incomplete', false],
  ['a response without a length whose connection is reset is incomplete', true]
] as const) {
  tap.t.test(name, async (t) => {
    await using current = (await startExchange(isReading)).exchange
    current.targetSocket!.resetAndDestroy()
    await timers.setTimeout(settleMs)
    t.same(current.events, ['data', 'broken'])
  })
}

tap.t.test('a response that ends while it is paused is complete after the pause', async (t) => {
  const { exchange: started, attempt } = await startExchange(false, true)
  await using current = started
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data'])
  attempt.resume()
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data', 'end'])
})

tap.t.test('a response without a length ends with its connection', async (t) => {
  await using current = (await startExchange(true)).exchange
  current.targetSocket!.end()
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data', 'end'])
})

tap.t.test('a late duplicate response on a reused connection is not mistaken for the response to the next request', async (t) => {
  const response = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello'
  await using current = new exchange.Exchange((socket) => socket.write(response))
  const stampedNames = { ...exchange.defaultHeaderNames, targetStamp: 'x-stamp' }
  await current.send('7', stampedNames)
  await current.waitForEvent(['end'], eventTimeoutMs)
  await timers.setTimeout(settleMs)
  await current.send('8', stampedNames)
  t.ok(await current.waitForEvent(['lost'], eventTimeoutMs))
  t.same([current.events, current.bodyBytes, current.connections.count], [['data', 'end', 'lost'], 5, 0])
})

for (const [header, limitMs] of [
  ['timeout=10', 8000],
  ['max=5, timeout=2', 1600],
  ['timeout=999999', 60_000],
  ['timeout=soon', 4000],
  ['', 4000]
] as const) {
  tap.t.test(`a connection with "Keep-Alive: ${header}" is reusable for ${limitMs} ms`, async (t) => {
    await using current = new exchange.Exchange((socket) => socket.write(`HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: ${header}\r\nContent-Length: 5\r\n\r\nhello`))
    await current.send()
    await current.waitForEvent(['end'], eventTimeoutMs)
    const { address } = current.endpoint
    await timers.setTimeout(settleMs)
    const hadIdle = current.connections.hasIdle(address)
    const connection = current.connections.takeIdle(address, false)
    t.same([hadIdle, connection?.idleLimitMs, current.connections.hasIdle(address)], [true, limitMs, false])
    if (connection !== undefined) current.connections.discard(connection)
  })
}
