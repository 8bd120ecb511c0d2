/** What the listener for peers accepts, and what it declines without reading the body. */
import * as http from 'node:http'
import * as tap from 'tap'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as forwardHeaders from '../common/forwardHeaders.js'
import * as entries from './forwardingEntry.js'

const responseLimitMs = 300
const info: forwardHeaders.ForwardInfo = { sender: 'sender', configVersion: 1, ageMs: 0, attemptsLeft: undefined, isCounted: false, isClaimed: false, claim: undefined }

/** Returns the headers of a peer's request, with the given ones in place of their namesakes. */
function createHeaders (overrides: Readonly<Record<string, string | undefined>> = {}, forwardInfo = info): http.OutgoingHttpHeaders {
  const list = forwardHeaders.formatInfo(forwardInfo)
  const described = Object.fromEntries(list.flatMap((name, i) => i % 2 === 0 ? [[name, list[i + 1]!]] : []))
  const all = { [forwardHeaders.tokenHeader]: secret.authorizationHeader(entries.token), [forwardHeaders.clusterHeader]: entries.cluster, 'x-id': 'request-1', ...described, ...overrides }
  return Object.fromEntries(Object.entries(all).filter(([, value]) => value !== undefined))
}

/** Announces a body, sends none of it, and resolves with the status and the outcome of the response. */
function sendHeadOnly (address: string, headers: http.OutgoingHttpHeaders): Promise<{ readonly status: number, readonly outcome: unknown, readonly ms: number }> {
  const startedAt = performance.now()
  return new Promise((resolve, reject) => {
    const req = entries.startRequest(address, 'POST', '/x', { ...headers, 'content-length': 1000 })
    req.on('error', reject)
    req.on('response', (res) => {
      resolve({ status: res.statusCode ?? 0, outcome: res.headers[forwardHeaders.outcomeHeader], ms: performance.now() - startedAt })
      req.off('error', reject).on('error', () => {}).destroy()
    })
    req.flushHeaders()
  })
}

for (const [name, headers, status] of [
  ['the wrong token', createHeaders({ [forwardHeaders.tokenHeader]: secret.authorizationHeader('a-wrong-token-of-this-test') }), 401],
  ['no token', createHeaders({ [forwardHeaders.tokenHeader]: undefined }), 401],
  ['the token in the header of callers', createHeaders({ [forwardHeaders.tokenHeader]: undefined, authorization: secret.authorizationHeader(entries.token) }), 401],
  ['another cluster', createHeaders({ [forwardHeaders.clusterHeader]: 'other' }), 403],
  ['no version', createHeaders({ 'rack-forward-config-version': undefined }), 400],
  ['no attempt left', createHeaders({ 'rack-forward-attempts-left': '0' }), 400],
  ['a newer version', createHeaders({}, { ...info, configVersion: 2 }), 503]
] as const) {
  tap.t.test(`a request with ${name} is declined at once, without its body`, async (t) => {
    await using endpoint = await entries.startEndpoint('e-1')
    await using entry = await entries.TestEntry.start('entry', [endpoint])
    const res = await sendHeadOnly(entry.forwardAddress, headers)
    t.match(res, { status, outcome: forwardHeaders.declinedOutcome })
    t.ok(res.ms < responseLimitMs, `${res.ms} ms`)
    t.equal(endpoint.requests.length, 0)
  })
}

tap.t.test('the listener for callers takes no forwarded requests', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint])
  const headers = createHeaders({}, { ...info, isClaimed: true })
  t.match(await entries.send(entry.callersAddress, 'POST', { ...headers, 'idempotency-key': 'key' }), { status: 200 })
  t.equal(entry.claimOwners.length, 1)
})

tap.t.test('a forwarded request is answered with the header of a peer, and declined without time left', async (t) => {
  await using endpoint = await entries.startEndpoint('e-1')
  await using entry = await entries.TestEntry.start('entry', [endpoint])
  t.match(await entries.send(entry.forwardAddress, 'GET', createHeaders()), { status: 200, headers: { [forwardHeaders.outcomeHeader]: forwardHeaders.answeredOutcome } })
  t.match(await entries.send(entry.forwardAddress, 'GET', createHeaders({ 'x-deadline': '0' })), { status: 503, headers: { [forwardHeaders.outcomeHeader]: forwardHeaders.declinedOutcome } })
  t.equal(endpoint.requests.length, 1)
})

tap.t.test('the connection of a declined request without a body can be used again', async (t) => {
  await using entry = await entries.TestEntry.start('entry', [], { isCutOff: true })
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
  const sockets = new Set<unknown>()
  for (let i = 0; i < 2; i++) {
    await new Promise<void>((resolve, reject) => {
      http.get(`http://${entry.forwardAddress}/x`, { agent, headers: createHeaders() }, (res) => {
        sockets.add(res.socket)
        res.resume().on('end', () => setImmediate(resolve))
      }).on('error', reject)
    })
  }
  agent.destroy()
  t.equal(sockets.size, 1)
})
