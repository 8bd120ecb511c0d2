/** Endpoints that send a second response behind one whose body ends with the connection. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'

const lateMs = 60
const endMs = 20
const body = 'the whole body'
/** More than may be held back. */
const longBody = 'x'.repeat(512 * 1024)
/** A body that shows responses, one of them with the id of a request that was not sent on the connection. */
const documentation = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\r\nHTTP/1.1 404 Not Found\r\nX-Id: another-request\r\n\r\n'

/** Creates a handler that sends a response without a length, and lets `sendSecond` write what follows it. */
function respondTwice (first: string, sendSecond: (socket: net.Socket, requestId: string) => Promise<void>): http.RequestListener {
  return (req) => {
    req.resume().on('end', () => {
      const requestId = String(req.headers['x-id'])
      req.socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${requestId}\r\nX-Stamp: s\r\nConnection: close\r\n\r\n${first}`)
      sendSecond(req.socket, requestId).then(async () => {
        await timers.setTimeout(endMs)
        req.socket.end()
      })
    })
  }
}

function framed (requestId: string, status = '200 OK', stamp = 'X-Stamp: s\r\n'): string {
  return `HTTP/1.1 ${status}\r\nX-Id: ${requestId}\r\n${stamp}Content-Length: ${body.length}\r\n\r\n${body}`
}

const secondResponses: Readonly<Record<string, (socket: net.Socket, requestId: string) => Promise<void>>> = {
  'right behind it': async (socket, requestId) => { socket.write(framed(requestId)) },
  later: async (socket, requestId) => {
    await timers.setTimeout(lateMs)
    socket.write(framed(requestId))
  },
  'split over several writes': async (socket, requestId) => {
    for (const piece of framed(requestId).match(/[^]{1,9}/g)!) {
      socket.write(piece)
      await timers.setTimeout(1)
    }
  },
  'without a stamp': async (socket, requestId) => { socket.write(framed(requestId, '200 OK', '')) },
  'with another status': async (socket, requestId) => { socket.write(framed(requestId, '500 Internal Server Error')) },
  'without a length': async (socket, requestId) => { socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${requestId}\r\nX-Stamp: s\r\n\r\n${body}`) },
  'that breaks off in its head': async (socket, requestId) => { socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${requestId}\r\nX-St`) }
}

for (const [name, sendSecond] of Object.entries(secondResponses)) {
  // Guards against a second response that becomes part of the body of the first one (issue 49).
  tap.t.test(`a second response ${name} does not reach the caller as part of the first one`, async (t) => {
    await using twice = await entries.startEndpoint('e-1', respondTwice(body, sendSecond))
    await using sound = await entries.startEndpoint('e-2')
    await using entry = await entries.TestEntry.start('entry', [twice, sound])
    for (let i = 0; i < 2; i++) {
      t.match(await entries.send(entry.callersAddress, 'GET', { 'x-id': `request-${i}` }), { status: 200, body: 'from e-2', isComplete: true })
    }
    t.ok(twice.requests.length > 0)
    t.match(entry.eventsOf('failed')[0]?.why, /another response/)
  })
}

tap.t.test('a response that is passed on already is broken off when a second one follows', async (t) => {
  await using twice = await entries.startEndpoint('e-1', respondTwice(longBody, secondResponses['later']!))
  await using entry = await entries.TestEntry.start('entry', [twice])
  t.match(await entries.send(entry.callersAddress), { status: 200, isComplete: false })
})

tap.t.test('a request that is not idempotent is not repeated because of a second response', async (t) => {
  await using first = await entries.startEndpoint('e-1', respondTwice(body, secondResponses['later']!))
  await using second = await entries.startEndpoint('e-2', respondTwice(body, secondResponses['later']!))
  await using entry = await entries.TestEntry.start('entry', [first, second])
  t.match(await entries.send(entry.callersAddress, 'POST', {}, 'content'), { status: 502, headers: { 'rack-outcome': 'unknown' } })
  t.equal(first.requests.length + second.requests.length, 1)
})

tap.t.test('a late response to an earlier request of the connection is recognized within a body without a length', async (t) => {
  await using twice = await entries.startEndpoint('e-1', (req, res) => {
    if (req.headers['x-id'] === 'earlier') res.writeHead(200, entries.stamp(req)).end(body)
    else respondTwice(body, async (socket) => { socket.write(framed('earlier')) })(req, res)
  })
  await using entry = await entries.TestEntry.start('entry', [twice])
  t.match(await entries.send(entry.callersAddress, 'GET', { 'x-id': 'earlier' }), { status: 200, body })
  t.match(await entries.send(entry.callersAddress, 'GET', { 'x-id': 'later' }), { status: 502 })
})

tap.t.test('a body without a length that shows responses to other requests is passed on whole', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1', respondTwice(body + documentation, async () => {}))
  await using entry = await entries.TestEntry.start('entry', [endpoint])
  t.match(await entries.send(entry.callersAddress), { status: 200, body: body + documentation })
})
