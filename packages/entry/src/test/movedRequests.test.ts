/** Requests under way when their instance is cut off from all targets: which of them move to a peer. */
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'

const settleMs = 50
const eventTimeoutMs = 20_000

tap.t.test('an idempotent request that waits for its endpoint moves to a peer when its instance is cut off', async (t) => {
  await using silent = await entries.startEndpoint('e-silent', () => {})
  await using endpoint = await entries.startEndpoint('e-1')
  await using peer = await entries.TestEntry.start('peer', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [silent])
  sender.peers = [peer.asPeer]
  const pending = entries.send(sender.callersAddress)
  t.ok(await entries.waitUntil(() => silent.requests.length === 1, eventTimeoutMs))
  sender.reachability.set(true)
  const res = await pending
  t.match(res, { status: 200, body: 'from e-1' })
  t.ok(res.ms < entries.deadlineMs / 2, `${res.ms} ms`)
})

tap.t.test('without a budget for repeats, a request moves to a peer only if nothing has arrived from any target since it was sent', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using peer = await entries.TestEntry.start('peer', [endpoint])
  for (const [status, respondsMeanwhile] of [[200, false], [504, true]] as const) {
    await using target = await entries.startEndpoint('e-target', (req, res) => {
      if (req.url === '/silent') return
      res.writeHead(200, entries.stamp(req)).end()
    })
    await using sender = await entries.TestEntry.start('sender', [target], { retryRatio: 0 })
    sender.peers = [peer.asPeer]
    t.match(await entries.send(sender.callersAddress), { status: 200 })
    const pending = new Promise<number | undefined>((resolve) => {
      entries.startRequest(sender.callersAddress, 'GET', '/silent').on('response', (res) => resolve(res.resume().statusCode)).end()
    })
    t.ok(await entries.waitUntil(() => target.requests.length === 2, eventTimeoutMs))
    if (respondsMeanwhile) t.match(await entries.send(sender.callersAddress, 'POST'), { status: 200 })
    sender.reachability.set(true)
    t.equal(await pending, status)
  }
})

tap.t.test('a request that moves to a peer keeps its limit of attempts', async (t) => {
  const fail: http.RequestListener = (req, res) => { res.writeHead(500, entries.stamp(req)).end() }
  const failing = await Promise.all(['e-1', 'e-2', 'e-3', 'e-4'].map(async (id) => await entries.startEndpoint(id, fail)))
  const countRequests = (): number => failing.reduce((sum, { requests }) => sum + requests.length, 0)
  await using silent = await entries.startEndpoint('e-silent', () => {})
  await using peer = await entries.TestEntry.start('peer', failing)
  await using sender = await entries.TestEntry.start('sender', [silent])
  sender.peers = [peer.asPeer]
  const pending = entries.send(sender.callersAddress)
  t.ok(await entries.waitUntil(() => silent.requests.length === 1, eventTimeoutMs))
  sender.reachability.set(true)
  t.match(await pending, { status: 500 })
  t.equal(countRequests(), entries.maxAttempts - 1)
  t.match(await entries.send(sender.callersAddress), { status: 500 })
  t.equal(countRequests(), 2 * (entries.maxAttempts - 1), 'a request that starts at the peer leaves one attempt for another peer')
  for (const endpoint of failing) await endpoint[Symbol.asyncDispose]()
})

tap.t.test('a request that is not idempotent and was sent stays where it is when its instance is cut off', async (t) => {
  await using silent = await entries.startEndpoint('e-silent', () => {})
  await using endpoint = await entries.startEndpoint('e-1')
  await using peer = await entries.TestEntry.start('peer', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [silent])
  sender.peers = [peer.asPeer]
  const pending = entries.send(sender.callersAddress, 'POST')
  t.ok(await entries.waitUntil(() => silent.requests.length === 1, eventTimeoutMs))
  sender.reachability.set(true)
  t.match(await pending, { status: 504 })
  t.equal(endpoint.requests.length, 0)
})

tap.t.test('a request that waits for a slot moves to a peer when its instance is cut off', async (t) => {
  await using full = await entries.startEndpoint('e-full', () => {})
  full.slots = 1
  await using endpoint = await entries.startEndpoint('e-1')
  await using peer = await entries.TestEntry.start('peer', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [full])
  sender.peers = [peer.asPeer]
  const running = entries.send(sender.callersAddress, 'POST', { 'x-id': 'running' })
  t.ok(await entries.waitUntil(() => full.requests.length === 1, eventTimeoutMs))
  const waiting = entries.send(sender.callersAddress, 'POST', { 'x-id': 'waiting' })
  await timers.setTimeout(settleMs)
  sender.reachability.set(true)
  t.match(await waiting, { status: 200, body: 'from e-1' })
  t.match(await running, { status: 504 })
  t.equal(full.requests.length, 1)
})

tap.t.test('a download that breaks off when its instance is cut off goes on through a peer', async (t) => {
  const content = 'x'.repeat(1000) + 'y'.repeat(1000)
  const headers = (req: http.IncomingMessage): http.OutgoingHttpHeaders => ({ ...entries.stamp(req), etag: '"1"', 'accept-ranges': 'bytes' })
  const open: http.IncomingMessage[] = []
  await using broken = await entries.startEndpoint('e-broken', (req, res) => {
    open.push(req)
    res.writeHead(200, { ...headers(req), 'content-length': content.length }).write(content.slice(0, 1000))
  })
  await using endpoint = await entries.startEndpoint('e-1', (req, res) => {
    res.writeHead(206, { ...headers(req), 'content-length': 1000, 'content-range': 'bytes 1000-1999/2000' }).end(content.slice(1000))
  })
  await using peer = await entries.TestEntry.start('peer', [endpoint])
  await using sender = await entries.TestEntry.start('sender', [broken])
  sender.peers = [peer.asPeer]
  const pending = entries.send(sender.callersAddress)
  t.ok(await entries.waitUntil(() => open.length === 1, eventTimeoutMs))
  await timers.setTimeout(settleMs)
  sender.reachability.set(true)
  open[0]!.socket.destroy()
  t.match(await pending, { status: 200, body: content, isComplete: true })
  t.match(endpoint.requests.map(({ headers: { range } }) => range), ['bytes=1000-'])
})
