/** Endpoints that respond with a status that no final HTTP response has: `000`, `099`, `101`, `600` and `999`. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as tap from 'tap'
import type * as targetCheck from '@rosemaryrack/routing/common/targetCheck.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as httpProber from '../node/httpProber.js'
import * as targetChecker from '../node/targetChecker.js'
import * as exchange from './exchange.js'
import * as entries from './forwardingEntry.js'

const statuses = ['000', '099', '101', '600', '999'] as const
const body = 'from the wrong one'
const closeTimeoutMs = 500
const eventTimeoutMs = 3000
const content = 'abcdefghijklmnopqrst'
const half = content.length / 2

const framings: Readonly<Record<string, string>> = {
  'with a length': `Content-Length: ${body.length}\r\n\r\n${body}`,
  'with a length on a connection that it closes': `Connection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  'in chunks': `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  'without a length': `\r\n${body}`,
  'without a body': 'Content-Length: 0\r\n\r\n'
}

function toResponse (status: string, requestId: string, framing: string): string {
  return `HTTP/1.1 ${status} Whatever\r\nX-Id: ${requestId}\r\nX-Stamp: s\r\n${framing}`
}

/** Records when the connections are closed on which the invalid responses were sent. */
class InvalidResponses {
  readonly sockets = new Set<net.Socket>()

  constructor (private readonly status: string, private readonly framing: string) {}

  readonly send: http.RequestListener = (req) => {
    req.resume().on('end', () => {
      this.sockets.add(req.socket)
      req.socket.write(toResponse(this.status, String(req.headers['x-id']), this.framing))
      if (!/length|chunked/i.test(this.framing)) req.socket.end()
    })
  }

  async waitUntilClosed (): Promise<boolean> {
    return await entries.waitUntil(() => this.sockets.size > 0 && [...this.sockets].every(({ destroyed }) => destroyed), closeTimeoutMs)
  }
}

for (const status of statuses) {
  for (const [name, framing] of Object.entries(framings)) {
    // Guards against bytes that are no response and reach the caller, or that leave it without a response until the deadline.
    tap.t.test(`a response with status ${status} ${name} fails the attempt`, async (t) => {
      const invalid = new InvalidResponses(status, framing)
      await using wrong = await entries.startEndpoint('e-1', invalid.send)
      await using right = await entries.startEndpoint('e-2')
      await using entry = await entries.TestEntry.start('entry', [wrong, right])
      const res = await entries.send(entry.callersAddress)
      t.match(res, { status: 200, body: 'from e-2', isComplete: true })
      t.ok(res.ms < entries.deadlineMs / 2, `${res.ms} ms`)
      t.equal(wrong.requests.length, 1)
      t.match(entry.eventsOf('failed')[0]?.why, new RegExp(`^lost: .*status ${status}`))
      t.ok(await invalid.waitUntilClosed(), 'its connection is closed')
    })

    tap.t.test(`after a response with status ${status} ${name}, a request that is not idempotent is not sent again`, async (t) => {
      const invalid = new InvalidResponses(status, framing)
      await using wrong = await entries.startEndpoint('e-1', invalid.send)
      await using right = await entries.startEndpoint('e-2')
      await using entry = await entries.TestEntry.start('entry', [wrong, right])
      const res = await entries.send(entry.callersAddress, 'POST', {}, 'content')
      t.match(res, { status: 502, headers: { 'rack-outcome': 'unknown' } })
      t.ok(res.ms < entries.deadlineMs / 2, `${res.ms} ms`)
      t.same([wrong.requests.length, right.requests.length], [1, 0])
      t.ok(await invalid.waitUntilClosed(), 'its connection is closed')
    })
  }

  tap.t.test(`status ${status} in the second response of a connection fails its attempt only`, async (t) => {
    const invalid = new InvalidResponses(status, framings['with a length']!)
    const sockets: net.Socket[] = []
    await using wrong = await entries.startEndpoint('e-1', (req, res) => {
      sockets.push(req.socket)
      if (sockets.length === 1) req.resume().on('end', () => res.writeHead(200, entries.stamp(req)).end('first'))
      else invalid.send(req, res)
    })
    await using entry = await entries.TestEntry.start('entry', [wrong])
    t.match(await entries.send(entry.callersAddress), { status: 200, body: 'first' })
    const second = await entries.send(entry.callersAddress)
    t.match(second, { status: 502, headers: { 'rack-outcome': 'unknown' } })
    t.ok(second.ms < entries.deadlineMs / 2, `${second.ms} ms`)
    t.equal(sockets[0], sockets[1], 'both were sent on one connection')
    t.ok(await invalid.waitUntilClosed())
  })

  tap.t.test(`status ${status} after an interim response fails the attempt`, async (t) => {
    const framing = framings['with a length']!
    const invalid = new InvalidResponses(status, framing)
    await using wrong = await entries.startEndpoint('e-1', (req, res) => {
      req.socket.write('HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n')
      invalid.send(req, res)
    })
    await using right = await entries.startEndpoint('e-2')
    await using entry = await entries.TestEntry.start('entry', [wrong, right])
    t.match(await entries.send(entry.callersAddress), { status: 200, body: 'from e-2' })
    t.match(entry.eventsOf('failed')[0]?.why, new RegExp(`^lost: .*status ${status}`))
  })

  for (const interim of ['', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n']) {
    // Guards against endpoints that look reachable, or whose load is used, because of such a response.
    tap.t.test(`status ${status} in the response to a health check is none${interim === '' ? '' : ', also after an interim response'}`, async (t) => {
      const names = { ...exchange.defaultHeaderNames, slotLoad: 'x-load' }
      let noticeCount = 0
      const notices = { recordNotice: () => { noticeCount++ }, canSend: () => true }
      await using current = new exchange.Exchange((socket) => socket.write(`${interim}HTTP/1.1 ${status} Whatever\r\nX-Load: 0,0,4\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n`))
      await current.listen()
      const prober = new httpProber.HttpProber({ healthPath: '/healthz', names, connections: current.connections, notices })
      const outcome = await new Promise<loadProbing.ProbeOutcome | undefined>((resolve) => {
        prober.probe(current.endpoint, resolve)
        setTimeout(() => resolve(undefined), eventTimeoutMs).unref()
      })
      t.match(outcome, { kind: 'none', message: new RegExp(`status ${status}`) })
      t.ok(await entries.waitUntil(() => current.targetSocket?.destroyed === true, closeTimeoutMs), 'its connection is closed')
      const checker = new targetChecker.TargetChecker({ connections: current.connections, notices, names, healthPathOf: () => '/healthz' })
      const progress: targetCheck.CheckProgress[] = []
      checker.check(current.endpoint, (each) => progress.push(each))
      await entries.waitUntil(() => progress.length === 2, eventTimeoutMs)
      t.same(progress, ['accepted', 'failed'])
      t.equal(noticeCount, 0)
      t.notOk(current.contacts.outcomes.some((each) => each.startsWith('answered')), String(current.contacts.outcomes))
    })
  }

  tap.t.test(`status ${status} of an endpoint does not pass through a peer`, async (t) => {
    const invalid = new InvalidResponses(status, framings['in chunks']!)
    for (const [method, expected] of [['GET', { status: 200, body: 'from e-2' }], ['POST', { status: 502, headers: { 'rack-outcome': 'unknown' } }]] as const) {
      await using wrong = await entries.startEndpoint('e-1', invalid.send)
      await using right = await entries.startEndpoint('e-2')
      await using peer = await entries.TestEntry.start('peer', [wrong, right])
      await using entry = await entries.TestEntry.start('entry', [], { isCutOff: true })
      entry.peers = [peer.asPeer]
      t.match(await entries.send(entry.callersAddress, method), expected)
      t.same([wrong.requests.length, right.requests.length], [1, method === 'GET' ? 1 : 0])
    }
  })

  tap.t.test(`status ${status} of a peer itself is no response`, async (t) => {
    await using wrong = await new entries.TestServer((req) => {
      req.resume().on('end', () => req.socket.write(`HTTP/1.1 ${status} Whatever\r\nX-Id: ${String(req.headers['x-id'])}\r\nRack-Forward-Outcome: answered\r\nContent-Length: 0\r\n\r\n`))
    }).listen()
    await using entry = await entries.TestEntry.start('entry', [], { isCutOff: true })
    entry.peers = [wrong.asPeer('wrong')]
    const res = await entries.send(entry.callersAddress, 'POST', {}, 'content')
    t.match(res, { status: 502, headers: { 'rack-outcome': 'unknown' } })
    t.ok(res.ms < entries.deadlineMs / 2, `${res.ms} ms`)
  })

  // Guards against a download that ends early, or holds bytes of such a response.
  tap.t.test(`a download is continued elsewhere after status ${status} in place of its rest`, async (t) => {
    const invalid = new InvalidResponses(status, framings['with a length']!)
    const begin: http.RequestListener = (req, res) => {
      res.writeHead(200, { ...entries.stamp(req), etag: '"v"', 'accept-ranges': 'bytes', 'content-length': content.length }).write(content.slice(0, half))
      setTimeout(() => req.socket.resetAndDestroy(), 20)
    }
    await using first = await entries.startEndpoint('e-1', begin)
    await using second = await entries.startEndpoint('e-2', invalid.send)
    await using third = await entries.startEndpoint('e-3', (req, res) => {
      res.writeHead(206, { ...entries.stamp(req), etag: '"v"', 'content-range': `bytes ${half}-${content.length - 1}/${content.length}`, 'content-length': half }).end(content.slice(half))
    })
    await using entry = await entries.TestEntry.start('entry', [first, second, third])
    t.match(await entries.send(entry.callersAddress), { status: 200, body: content, isComplete: true })
    t.equal(second.requests.length, 1)
    t.equal(third.requests.length, 1)
  })
}
