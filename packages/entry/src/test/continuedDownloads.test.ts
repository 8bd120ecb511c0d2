/** A download that is continued from another endpoint must have the length that its head has stated. */
import type * as http from 'node:http'
import * as net from 'node:net'
import * as tap from 'tap'
import * as forwardingEntry from './forwardingEntry.js'

const content = 'abcdefghijklmnopqrst'
const half = content.length / 2
const breakAfterMs = 50
const endTimeoutMs = 1500

/** Starts an endpoint that breaks off in the middle of the content, and responds with `rest` to a request for the rest. */
function startEndpoint (id: string, rest: string, isChunked: boolean): Promise<forwardingEntry.TestEndpoint> {
  return forwardingEntry.startEndpoint(id, (req, res) => {
    const headers = { ...forwardingEntry.stamp(req), etag: '"v"' }
    if (req.headers.range === undefined) {
      res.writeHead(200, { ...headers, 'accept-ranges': 'bytes', 'content-length': content.length }).write(content.slice(0, half))
      setTimeout(() => req.socket.resetAndDestroy(), breakAfterMs)
    } else {
      sendRest(res, { ...headers, 'content-range': `bytes ${half}-${content.length - 1}/${content.length}` }, rest, isChunked)
    }
  })
}

function sendRest (res: http.ServerResponse, headers: http.OutgoingHttpHeaders, rest: string, isChunked: boolean): void {
  res.useChunkedEncodingByDefault = isChunked
  res.writeHead(206, isChunked ? headers : { ...headers, connection: 'close' })
  res.write(rest)
  res.end()
}

/** Sends a request on a connection that stays open; resolves with the body received, and whether the connection has ended. */
function download (address: string): Promise<{ readonly body: string, readonly hasEnded: boolean }> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    let received = ''
    const socket = net.connect(Number(port), host!)
    const finish = (hasEnded: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ body: received.split('\r\n\r\n')[1] ?? '', hasEnded })
    }
    const timer = setTimeout(() => finish(false), endTimeoutMs)
    socket.on('data', (chunk) => { received += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => finish(true))
    socket.write(`GET /x HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Deadline: ${forwardingEntry.deadlineMs}\r\n\r\n`)
  })
}

for (const [name, isChunked] of [['without a length', false], ['in chunks', true]] as const) {
  for (const [kind, rest, expected] of [
    ['too short', content.slice(half, -1), /^abcdefghij[k-s]*$/],
    ['too long', `${content.slice(half)}HTTP/1.1`, /^abcdefghij[k-t]*$/]
  ] as const) {
    // Guards against a caller that waits for the missing bytes, or that takes surplus ones for the next response of its connection.
    tap.t.test(`a download whose rest ${name} is ${kind} is broken off`, async (t) => {
      await using first = await startEndpoint('a', rest, isChunked)
      await using second = await startEndpoint('b', rest, isChunked)
      await using entry = await forwardingEntry.TestEntry.start('entry', [first, second])
      const { body, hasEnded } = await download(entry.callersAddress)
      t.match(body, expected)
      t.ok(hasEnded, 'the caller sees that the response is incomplete')
    })
  }
  tap.t.test(`a download is continued with a rest ${name}`, async (t) => {
    await using first = await startEndpoint('a', content.slice(half), isChunked)
    await using second = await startEndpoint('b', content.slice(half), isChunked)
    await using entry = await forwardingEntry.TestEntry.start('entry', [first, second])
    t.same(await download(entry.callersAddress), { body: content, hasEnded: false })
  })
}
