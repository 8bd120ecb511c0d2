/** Hedges over real connections: what the endpoint of the loser sees, and the metrics. */
import * as tap from 'tap'
import * as entries from './forwardingEntry.js'

const hedgeAfterMs = 50
const closeTimeoutMs = 1000
const limits = { requestShare: 1, slotShare: 1, percentile: 95, windowMs: 10_000 }

// Guards against endpoints that go on working for a loser, whose slot then stays in use.
tap.t.test('the endpoint of the loser learns at once that its request was cancelled', async (t) => {
  let closedAt = Infinity
  await using slow = await entries.startEndpoint('e-1', (req) => { req.socket.on('close', () => { closedAt = performance.now() }) })
  await using other = await entries.startEndpoint('e-2')
  await using entry = await entries.TestEntry.start('entry', [slow, other], { hedgeAfterMs, hedging: limits })
  t.match(await entries.send(entry.callersAddress), { status: 200, body: 'from e-2' })
  t.equal(slow.requests.length, 1)
  t.ok(await entries.waitUntil(() => closedAt !== Infinity, closeTimeoutMs))
  const lines = entry.metrics.format().split('\n').filter((line) => /hedge/.test(line) && !/of="slots"/.test(line))
  t.matchSnapshot(lines)
})

tap.t.test('requests that are not idempotent and those over the limit get no hedge', async (t) => {
  for (const [method, requestShare] of [['POST', 1], ['GET', 0]] as const) {
    await using slow = await entries.startEndpoint('e-1', (req, res) => { setTimeout(() => res.writeHead(200, entries.stamp(req)).end('from e-1'), 3 * hedgeAfterMs) })
    await using other = await entries.startEndpoint('e-2')
    await using entry = await entries.TestEntry.start('entry', [slow, other], { hedgeAfterMs, hedging: { ...limits, requestShare } })
    t.match(await entries.send(entry.callersAddress, method), { status: 200, body: 'from e-1' })
    t.equal(other.requests.length, 0)
    t.equal(entry.metrics.format().includes('rosemaryrack_hedges_denied_total{reason="request-share"} 1'), method === 'GET')
  }
})
