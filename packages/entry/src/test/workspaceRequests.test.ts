/** Requests with API keys: what endpoints, peers and callers get of keys and workspaces. */
import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as entries from './forwardingEntry.js'

const eventTimeoutMs = 20_000
const settleMs = 50
const key = 'secret-of-red'
const workspaces = { red: { apiKeys: [key] }, blue: { apiKeys: ['secret-of-blue'] } }
const withKey = { authorization: `Bearer ${key}` }
const content = 'abcdefghijklmnopqrst'

/** Checks that endpoints got the workspace and no key, and that neither logs nor the response show the key. */
function checkSecrecy (t: tap.Test, endpoints: readonly entries.TestEndpoint[], instances: readonly entries.TestEntry[], res?: entries.CallerRes): void {
  const requests = endpoints.flatMap(({ requests: each }) => each)
  t.ok(requests.length > 0)
  for (const { rawHeaders, headers } of requests) {
    t.equal(headers['x-workspace'], 'red')
    t.notMatch(rawHeaders.join('\n'), /secret|authorization/i)
  }
  t.notMatch(JSON.stringify(instances.map(({ decisions }) => decisions)), /secret/)
  t.notMatch(JSON.stringify(res ?? ''), /secret/)
}

tap.t.test('endpoints get the workspace of the key in place of the key and of the header of the caller', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint], { workspaces })
  for (const [method, body] of [['GET', undefined], ['POST', 'body']] as const) {
    const res = await entries.send(entry.callersAddress, method, { ...withKey, 'X-Workspace': ['blue', 'red'] }, body)
    t.match(res, { status: 200, body: 'from e-1' })
    checkSecrecy(t, [endpoint], [entry], res)
  }
  t.match(entry.eventsOf('route'), [{ workspace: 'red' }, { workspace: 'red' }])
})

tap.t.test('without workspaces both headers pass unchanged', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint])
  t.match(await entries.send(entry.callersAddress, 'GET', { ...withKey, 'x-workspace': 'own' }), { status: 200 })
  t.match(endpoint.requests[0]!.headers, { ...withKey, 'x-workspace': 'own' })
})

tap.t.test('a public lane runs requests without a known key, and drops both headers', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint], { workspaces, isPublic: true })
  for (const headers of [{}, { authorization: 'Bearer secret-of-nobody' }]) {
    t.match(await entries.send(entry.callersAddress, 'GET', { ...headers, 'x-workspace': 'red' }), { status: 200 })
  }
  for (const { headers } of endpoint.requests) t.strictSame([headers.authorization, headers['x-workspace']], [undefined, undefined])
  t.match(await entries.send(entry.callersAddress, 'GET', withKey), { status: 200 })
  checkSecrecy(t, [{ requests: endpoint.requests.slice(2) } as unknown as entries.TestEndpoint], [entry])
})

tap.t.test('an unknown key is refused with 401, before its body has arrived, and nothing is queued', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint], { workspaces })
  const res = await entries.send(entry.callersAddress, 'GET', { authorization: 'Bearer secret-of-nobody' })
  t.match(res, { status: 401, headers: { 'www-authenticate': 'Bearer', 'rack-outcome': 'unauthorized', 'x-id': 'request-1' } })
  t.notMatch(JSON.stringify([res, entry.decisions]), /secret/)
  t.equal(res.headers['retry-after'], undefined)
  const status = await new Promise<number | undefined>((resolve) => {
    const req = entries.startRequest(entry.callersAddress, 'POST', '/x', { 'content-length': 100 })
    req.on('response', ({ statusCode }) => resolve(statusCode)).on('error', () => {})
    req.write('a')
  })
  t.equal(status, 401)
  entry.freshness.canRefuseKeys = false
  t.match(await entries.send(entry.callersAddress, 'GET'), { status: 503, headers: { 'rack-outcome': 'not-run', 'retry-after': '0.250' } })
  t.equal(endpoint.requests.length, 0)
})

tap.t.test('a request without a lane gets 404, with or without a key', async (t) => {
  await using entry = await entries.TestEntry.start('entry', [], { workspaces })
  for (const headers of [{}, withKey]) t.match(await entries.send(entry.callersAddress, 'PUT', headers), { status: 404 })
})

// Guards against requests that run without a key because they arrived before the configuration that requires it.
tap.t.test('requests that wait for the first configuration are authenticated by it', async (t) => {
  const confirmed = new async.Deferred<boolean>()
  const confirmation = { confirmedAgeMs: Infinity, waitForConfirmation: async () => await confirmed.promise }
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint], { configVersion: 0, confirmation })
  const known = entries.send(entry.callersAddress, 'GET', withKey)
  const unknown = entries.send(entry.callersAddress, 'GET', { authorization: 'Bearer secret-of-nobody' })
  await timers.setTimeout(settleMs)
  entry.replaceWorkspaces(workspaces)
  confirmed.resolve(true)
  t.match(await known, { status: 200 })
  t.match(await unknown, { status: 401 })
  checkSecrecy(t, [endpoint], [entry])
})

// Guards against a refusal whose cause is not found, because its line does not name the workspace.
tap.t.test('a refusal after the authentication names the workspace', async (t) => {
  await using entry = await entries.TestEntry.start('entry', [], { workspaces })
  t.match(await entries.send(entry.callersAddress, 'GET', withKey), { status: 503 })
  t.match(entry.eventsOf('refuse'), [{ workspace: 'red' }])
})

tap.t.test('a retry has the same headers as the first attempt', async (t) => {
  const fail: http.RequestListener = (req, res) => { res.writeHead(500, entries.stamp(req)).end() }
  await using first = await entries.startEndpoint('e-1', fail)
  await using second = await entries.startEndpoint('e-2', fail)
  await using entry = await entries.TestEntry.start('entry', [first, second], { workspaces, retryRatio: 1 })
  const res = await entries.send(entry.callersAddress, 'GET', withKey)
  t.equal(first.requests.length + second.requests.length, 2)
  checkSecrecy(t, [first, second], [entry], res)
})

tap.t.test('a hedge has the same headers as the first attempt', async (t) => {
  const respondLater: http.RequestListener = (req, res) => { setTimeout(() => res.writeHead(200, entries.stamp(req)).end(), 200) }
  await using first = await entries.startEndpoint('e-1', respondLater)
  await using second = await entries.startEndpoint('e-2', respondLater)
  await using entry = await entries.TestEntry.start('entry', [first, second], { workspaces, hedgeAfterMs: 20 })
  t.match(await entries.send(entry.callersAddress, 'GET', withKey), { status: 200 })
  t.strictSame([first.requests.length, second.requests.length], [1, 1])
  checkSecrecy(t, [first, second], [entry])
})

tap.t.test('a continued download has the same headers as its beginning', async (t) => {
  const handle: http.RequestListener = (req, res) => {
    const headers = { ...entries.stamp(req), etag: '"v"' }
    if (req.headers.range !== undefined) {
      res.writeHead(206, { ...headers, 'content-range': `bytes 10-19/${content.length}`, 'content-length': 10 }).end(content.slice(10))
      return
    }
    res.writeHead(200, { ...headers, 'accept-ranges': 'bytes', 'content-length': content.length }).write(content.slice(0, 10))
    setTimeout(() => req.socket.resetAndDestroy(), settleMs)
  }
  await using first = await entries.startEndpoint('e-1', handle)
  await using second = await entries.startEndpoint('e-2', handle)
  await using entry = await entries.TestEntry.start('entry', [first, second], { workspaces })
  t.match(await entries.send(entry.callersAddress, 'GET', withKey), { status: 200, body: content, isComplete: true })
  t.strictSame([first.requests.length, second.requests.length], [1, 1])
  checkSecrecy(t, [first, second], [entry])
})

// Guards against a peer that trusts the sender's verdict, and against a key that goes through the peer to an endpoint.
tap.t.test('a forwarded request is authenticated by the peer, which drops the key', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using peer = await entries.TestEntry.start('peer', [endpoint], { workspaces })
  await using sender = await entries.TestEntry.start('sender', [], { workspaces, isCutOff: true })
  sender.peers = [peer.asPeer]
  const res = await entries.send(sender.callersAddress, 'GET', { ...withKey, 'x-workspace': 'blue' })
  t.match(res, { status: 200, body: 'from e-1' })
  checkSecrecy(t, [endpoint], [sender, peer], res)
  sender.freshness.canUseKeys = false
  t.match(await entries.send(sender.callersAddress, 'GET', withKey), { status: 200 }, 'the lease of the peer counts')
  checkSecrecy(t, [endpoint], [sender, peer])
  sender.freshness.canRefuseKeys = false
  t.match(await entries.send(sender.callersAddress, 'GET', { authorization: 'Bearer secret-of-nobody' }), { status: 401 }, 'the peer can judge the key')
  peer.freshness.canUseKeys = false
  t.match(await entries.send(sender.callersAddress, 'GET', withKey), { status: 503 })
  t.equal(endpoint.requests.length, 2)
})

tap.t.test('a peer with a newer configuration refuses a key that the sender still knows', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using peer = await entries.TestEntry.start('peer', [endpoint], { workspaces, configVersion: 2 })
  await using sender = await entries.TestEntry.start('sender', [], { workspaces, isCutOff: true })
  sender.peers = [peer.asPeer]
  peer.replaceWorkspaces({ red: { apiKeys: [] } })
  t.match(await entries.send(sender.callersAddress, 'GET', withKey), { status: 401 })
  t.equal(endpoint.requests.length, 0)
})

// Guards against an idempotency key that anybody could take away from its workspace through an instance that cannot judge API keys.
tap.t.test('the claim of a request that a peer refuses with 401 is released', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using peer = await entries.TestEntry.start('peer', [endpoint], { workspaces })
  await using sender = await entries.TestEntry.start('sender', [], { workspaces, isCutOff: true })
  sender.peers = [peer.asPeer]
  sender.freshness.canRefuseKeys = false
  t.match(await entries.send(sender.callersAddress, 'POST', { authorization: 'Bearer secret-of-nobody', 'idempotency-key': 'key' }, 'body'), { status: 401 })
  t.ok(await entries.waitUntil(() => sender.releasedOwners.length > 0, eventTimeoutMs))
  t.same(sender.releasedOwners, sender.claimOwners)
  t.equal(endpoint.requests.length, 0)
})

/** Occupies the only slot of an endpoint, lets a second request wait for it, and frees the slot after `change`; returns the responses. */
async function sendWaiting (change: (entry: entries.TestEntry) => void): Promise<{ readonly responses: readonly entries.CallerRes[], readonly received: number }> {
  let free = (): void => {}
  await using endpoint = await entries.startEndpoint('e-1', (req, res) => { free = () => res.writeHead(200, entries.stamp(req)).end() })
  endpoint.slots = 1
  await using entry = await entries.TestEntry.start('entry', [endpoint], { workspaces })
  const first = entries.send(entry.callersAddress, 'GET', withKey)
  await entries.waitUntil(() => endpoint.requests.length === 1, eventTimeoutMs)
  const second = entries.send(entry.callersAddress, 'GET', { ...withKey, 'x-id': 'request-2' })
  await timers.setTimeout(settleMs)
  change(entry)
  free()
  const interval = setInterval(() => free(), settleMs)
  const responses = await Promise.all([first, second])
  clearInterval(interval)
  return { responses, received: endpoint.requests.length }
}

// Guards against a request that is started long after its key was removed, because it waited for a slot.
tap.t.test('a request whose key is removed while it waits for a slot is not sent', async (t) => {
  const unchanged = await sendWaiting(() => {})
  t.match(unchanged, { responses: [{ status: 200 }, { status: 200 }], received: 2 })
  for (const change of [
    (entry: entries.TestEntry) => entry.replaceWorkspaces({ red: { apiKeys: [] } }),
    (entry: entries.TestEntry) => { entry.freshness.canUseKeys = false }
  ]) {
    t.match(await sendWaiting(change), { responses: [{ status: 200 }, { status: 503, headers: { 'rack-outcome': 'not-run' } }], received: 1 })
  }
})

// Guards against an attempt that is abandoned because a later one may no longer be sent.
tap.t.test('a hedge that may no longer be sent leaves the first attempt running', async (t) => {
  const respondLater: http.RequestListener = (req, res) => { setTimeout(() => res.writeHead(200, entries.stamp(req)).end('late'), 300) }
  await using first = await entries.startEndpoint('e-1', respondLater)
  await using second = await entries.startEndpoint('e-2', respondLater)
  await using entry = await entries.TestEntry.start('entry', [first, second], { workspaces, hedgeAfterMs: 100 })
  const pending = entries.send(entry.callersAddress, 'GET', withKey)
  t.ok(await entries.waitUntil(() => first.requests.length + second.requests.length === 1, eventTimeoutMs))
  entry.replaceWorkspaces({})
  t.match(await pending, { status: 200, body: 'late' })
  t.equal(first.requests.length + second.requests.length, 1)
})

// Guards against a response that is lost because a retry, which may no longer be sent, takes the place of the attempt that waits for it.
tap.t.test('an attempt that has timed out goes on if its retry may no longer be sent', async (t) => {
  const respondLater: http.RequestListener = (req, res) => { setTimeout(() => res.writeHead(200, entries.stamp(req)).end('late'), entries.deadlineMs * 0.7) }
  await using first = await entries.startEndpoint('e-1', respondLater)
  await using second = await entries.startEndpoint('e-2', respondLater)
  await using entry = await entries.TestEntry.start('entry', [first, second], { workspaces, retryRatio: 1 })
  const pending = entries.send(entry.callersAddress, 'GET', withKey)
  t.ok(await entries.waitUntil(() => first.requests.length + second.requests.length === 1, eventTimeoutMs))
  entry.freshness.canUseKeys = false
  t.match(await pending, { status: 200, body: 'late' })
  t.equal(entry.eventsOf('timeout').length, 1)
  t.equal(first.requests.length + second.requests.length, 1)
})
