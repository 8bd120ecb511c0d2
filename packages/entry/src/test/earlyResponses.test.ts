/** Endpoints that respond before they have read the request body, and keep the connection. */
import type * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'
import * as longBodies from './longBodies.js'

const host = '127.0.0.1'
const settleMs = 50
const eventTimeoutMs = 20_000
const longBytes = 400_000
/** More than what sockets hold on the way, and less than what is held of a body. */
const heldBytes = 7_000_000
const requestCount = 4
const options = { retryRatio: 1, deadlineMs: 10_000 }
const headEnd = '\r\n\r\n'

/** An endpoint that responds at the head of each request on a connection, with a length and without closing, and keeps what it gets. */
class EarlyEndpoint extends entries.TestEndpoint {
  /** Everything that has arrived, by connection. */
  readonly received: string[] = []
  private readonly sockets: net.Socket[] = []
  private readonly early = net.createServer((socket) => this.accept(socket))

  constructor (id: string, private readonly status: string, private readonly headers: string) {
    super(id, () => {})
  }

  override async listen (): Promise<this> {
    this.early.listen(0, host)
    await new Promise((resolve) => this.early.once('listening', resolve))
    this.address = `${host}:${(this.early.address() as net.AddressInfo).port}`
    return this
  }

  override async [Symbol.asyncDispose] (): Promise<void> {
    this.early.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: net.Socket): void {
    const index = this.received.push('') - 1
    this.sockets.push(socket)
    let answered = 0
    socket.on('error', () => {}).on('data', (data) => {
      this.received[index] += data.toString('latin1')
      const ids = [...this.received[index]!.matchAll(/^x-id: (.*)\r$/gm)].map((match) => match[1]!)
      for (const id of ids.slice(answered)) {
        answered++
        socket.write(`HTTP/1.1 ${this.status}\r\nx-id: ${id}\r\nx-stamp: s\r\n${this.headers}content-length: 0${headEnd}`)
      }
    })
    socket.on('end', () => socket.end())
  }
}

/** Uploads half of a body, and the rest once the response has come. Resolves with the status. */
async function uploadSlowly (address: string, id: string, headers: http.OutgoingHttpHeaders, text: string): Promise<number> {
  const req = entries.startRequest(address, 'POST', '/x', { 'x-id': id, 'x-deadline': '10000', ...headers }).on('error', () => {})
  const response = new Promise<number>((resolve) => {
    req.on('response', (res) => resolve(res.resume().on('error', () => {}).statusCode!)).on('close', () => resolve(0))
  })
  req.write(text.slice(0, text.length / 2))
  const status = await response
  req.end(text.slice(text.length / 2))
  return status
}

for (const [name, status, headers, expected] of [
  ['success', '200 OK', '', 200],
  ['failure', '500 Failed', '', 500],
  ['rejection', '503 Full', 'x-not-run: 1\r\n', 503],
  ['decline of a peer', '503 Full', 'rack-forward-outcome: declined\r\n', 503],
  ['refusal of a peer', '503 Full', 'rack-forward-outcome: not-run\r\n', 503]
] as const) {
  for (const [framing, createHeaders] of longBodies.framings) {
    tap.t.test(`the connection of an early ${name} carries no other request, and only bytes of the caller: with ${framing}`, async (t) => {
      await using endpoint = await new EarlyEndpoint('e-1', status, headers).listen()
      const isPeer = name.endsWith('of a peer')
      await using entry = await entries.TestEntry.start('entry', isPeer ? [] : [endpoint], { ...options, isCutOff: isPeer })
      entry.peers = isPeer ? [endpoint.asPeer('peer')] : []
      const text = longBodies.createText(longBytes)
      const statuses: number[] = []
      for (let i = 0; i < requestCount; i++) statuses.push(await uploadSlowly(entry.callersAddress, `request-${i}`, createHeaders(longBytes), text))
      t.same(statuses, Array(requestCount).fill(expected))
      t.equal(endpoint.received.length, requestCount)
      for (const [i, received] of endpoint.received.entries()) {
        const bodyAt = received.indexOf(headEnd) + headEnd.length
        t.same([...received.slice(0, bodyAt).matchAll(/x-id: (.*)\r/g)].map((match) => match[1]), [`request-${i}`])
        const sent = framing === 'length' ? received.slice(bodyAt) : joinChunks(received.slice(bodyAt))
        t.ok(text.startsWith(sent) && sent.length < longBytes, `${sent.length} bytes of the body`)
      }
    })
  }
}

tap.t.test('the connection of a response that came after the whole body carries the next request', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  const sockets = new Set<net.Socket>()
  await using entry = await entries.TestEntry.start('entry', [endpoint], options)
  for (let i = 0; i < requestCount; i++) {
    t.match(await entries.send(entry.callersAddress, 'POST', { 'content-length': longBytes }, longBodies.createText(longBytes)), { status: 200 })
    sockets.add(endpoint.requests.at(-1)!.socket)
  }
  t.equal(sockets.size, 1)
})

for (const [framing, createHeaders] of longBodies.framings) {
  // A read of the rejected attempt was still pending, and dropped what the next attempt had not read yet.
  tap.t.test(`an endpoint that answers early after another one has rejected the request gets the whole body, with ${framing}`, async (t) => {
    const text = longBodies.createText(heldBytes + longBytes)
    const received: string[] = []
    await using rejecting = await entries.startEndpoint('e-1', (req, res) => {
      let bytes = 0
      req.on('error', () => {}).on('data', (chunk: Buffer) => {
        bytes += chunk.length
        if (bytes === heldBytes) res.writeHead(503, { ...entries.stamp(req), 'x-not-run': '1' }).end()
      })
    })
    await using early = await entries.startEndpoint('e-2', async (req, res) => {
      res.writeHead(200, entries.stamp(req)).write('early')
      await timers.setTimeout(4 * settleMs)
      const chunks: Buffer[] = []
      try {
        for await (const chunk of req) chunks.push(chunk as Buffer)
      } catch {}
      received.push(Buffer.concat(chunks).toString())
      res.end()
    })
    await using entry = await entries.TestEntry.start('entry', [rejecting, early], options)
    const req = entries.startRequest(entry.callersAddress, 'POST', '/x', { 'x-id': 'request-1', 'x-deadline': '10000', ...createHeaders(text.length) }).on('error', () => {})
    const response = new Promise<http.IncomingMessage>((resolve) => req.on('response', resolve))
    req.write(text.slice(0, heldBytes))
    const res = (await response).resume().on('error', () => {})
    req.end(text.slice(heldBytes))
    t.ok(await entries.waitUntil(() => received.length === 1 && res.closed, eventTimeoutMs))
    t.ok(received[0] === text, `${received[0]?.length} of ${text.length} bytes`)
    t.same([res.statusCode, res.complete], [200, true])
  })
}

for (const [framing, createHeaders] of longBodies.framings) {
  // An attempt that had sent the body and was not over yet counted as the one to hold the rest for.
  tap.t.test(`a peer that answers early after another one has declined gets the whole body, with ${framing}`, async (t) => {
    const text = longBodies.createText(heldBytes)
    const received: string[] = []
    await using declining = await new entries.TestServer((req, res) => {
      req.on('error', () => {}).resume().on('end', () => res.writeHead(503, { 'rack-forward-outcome': 'declined' }).write('and more later'))
    }).listen()
    await using early = await new entries.TestServer(async (req, res) => {
      res.writeHead(200, { ...entries.stamp(req), 'rack-forward-outcome': 'answered' }).write('early')
      await timers.setTimeout(4 * settleMs)
      const chunks: Buffer[] = []
      try {
        for await (const chunk of req) chunks.push(chunk as Buffer)
      } catch {}
      received.push(Buffer.concat(chunks).toString())
      res.end()
    }).listen()
    await using sender = await entries.TestEntry.start('sender', [], { ...options, isCutOff: true })
    sender.peers = [declining.asPeer('declining'), early.asPeer('early')]
    const res = await entries.send(sender.callersAddress, 'POST', { 'x-deadline': '10000', ...createHeaders(text.length) }, text)
    t.match(res, { status: 200, body: 'early', isComplete: true })
    t.ok(await entries.waitUntil(() => received.length === 1, eventTimeoutMs))
    t.ok(received[0] === text, `${received[0]?.length} of ${text.length} bytes`)
  })
}

/** Returns the data of a body in chunks, as far as it has arrived. */
function joinChunks (framed: string): string {
  let data = ''
  for (let at = 0; at < framed.length;) {
    const lineEnd = framed.indexOf('\r\n', at)
    if (lineEnd < 0) break
    const size = parseInt(framed.slice(at, lineEnd), 16)
    data += framed.slice(lineEnd + 2, lineEnd + 2 + size)
    at = lineEnd + 2 + size + 2
  }
  return data
}
