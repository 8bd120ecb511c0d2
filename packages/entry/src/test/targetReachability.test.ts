/** What connections, requests, load probes and checks report of the reachability of their targets. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as targetCheck from '@rosemaryrack/routing/common/targetCheck.js'
import * as httpProber from '../node/httpProber.js'
import * as targetChecker from '../node/targetChecker.js'
import * as exchange from './exchange.js'

const eventTimeoutMs = 20_000
const settleMs = 50
const response = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n'
const notices = { recordNotice: () => {}, canSend: () => true }

async function listen (current: exchange.Exchange): Promise<void> {
  current.server.listen(0, '127.0.0.1')
  await new Promise((resolve) => current.server.once('listening', resolve))
}

/** Waits until the number of outcomes is reached; returns all of them. */
async function waitForOutcomes (current: exchange.Exchange, count: number): Promise<readonly string[]> {
  const deadline = performance.now() + eventTimeoutMs
  while (current.contacts.outcomes.length < count && performance.now() < deadline) await timers.setTimeout(1)
  return current.contacts.outcomes
}

function reset (socket: net.Socket): void {
  socket.resetAndDestroy()
}

tap.t.test('a refused connection is a failed contact', async (t) => {
  await using current = new exchange.Exchange(() => {})
  await listen(current)
  const { address } = current.endpoint
  await new Promise((resolve) => current.server.close(resolve))
  await t.rejects(current.connections.open(address))
  t.same(current.contacts.outcomes, ['failed new'])
  t.equal(current.contacts.watchCount, 0)
  await listen(current)
})

tap.t.test('the first response on a connection shows that new connections succeed, the next one does not', async (t) => {
  await using current = new exchange.Exchange((socket) => socket.write(response))
  await current.send()
  t.same(await waitForOutcomes(current, 1), ['answered new'])
  await timers.setTimeout(settleMs)
  await current.send()
  t.same(await waitForOutcomes(current, 2), ['answered new', 'answered living'])
})

tap.t.test('a new connection that is reset instead of a response is a failed contact', async (t) => {
  await using current = new exchange.Exchange(reset)
  await current.send()
  t.ok(await current.waitForEvent(['lost'], eventTimeoutMs))
  t.ok(current.contacts.outcomes.length > 0)
  t.ok(current.contacts.outcomes.every((outcome) => outcome === 'failed new'))
})

tap.t.test('the reset of an idle connection is a failed contact, its regular end is none', async (t) => {
  for (const [end, expected] of [[reset, ['answered new', 'failed living']], [(socket: net.Socket) => socket.end(), ['answered new']]] as const) {
    await using current = new exchange.Exchange((socket) => socket.write(response))
    await current.send()
    await waitForOutcomes(current, 1)
    await timers.setTimeout(settleMs)
    end(current.targetSocket!)
    await timers.setTimeout(settleMs)
    t.same(current.contacts.outcomes, expected)
  }
})

tap.t.test('an attempt that is given up without a response is a failed contact, a cancelled one is none', async (t) => {
  await using current = new exchange.Exchange(() => {})
  const cancelled = await current.send()
  while (!cancelled.written) await timers.setTimeout(1)
  cancelled.cancel()
  t.same(current.contacts.outcomes, [])
  const abandoned = await current.send()
  while (!abandoned.written) await timers.setTimeout(1)
  abandoned.abandon()
  t.same(current.contacts.outcomes, ['failed new'])
})

tap.t.test('a load probe is watched until its response, also after it was cancelled', async (t) => {
  await using current = new exchange.Exchange((socket) => { setTimeout(() => socket.write(response), settleMs) })
  await listen(current)
  const prober = new httpProber.HttpProber({ healthPath: '/healthz', names: exchange.defaultHeaderNames, connections: current.connections, notices })
  const cancel = prober.probe(current.endpoint, () => {})
  t.equal(current.contacts.watchCount, 1)
  await timers.setTimeout(settleMs / 2)
  cancel()
  t.equal(current.contacts.watchCount, 1)
  t.same(await waitForOutcomes(current, 1), ['answered new'])
  t.equal(current.contacts.watchCount, 0)
})

/** Runs a check; resolves with its progress once that is final or `ms` have passed. */
async function check (current: exchange.Exchange, endpoint: endpointTable.Endpoint, ms = eventTimeoutMs, canSend = true): Promise<readonly targetCheck.CheckProgress[]> {
  const checker = new targetChecker.TargetChecker({ connections: current.connections, notices: { ...notices, canSend: () => canSend }, names: exchange.defaultHeaderNames, healthPathOf: () => '/healthz' })
  const progress: targetCheck.CheckProgress[] = []
  const cancel = checker.check(endpoint, (each) => progress.push(each))
  const deadline = performance.now() + ms
  while (!progress.some((each) => each !== 'accepted') && performance.now() < deadline) await timers.setTimeout(1)
  cancel()
  await timers.setTimeout(settleMs)
  return progress
}

tap.t.test('a check succeeds with a response, of whatever status', async (t) => {
  for (const status of ['200 OK', '503 Full']) {
    await using current = new exchange.Exchange((socket) => socket.write(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`))
    await listen(current)
    t.same(await check(current, current.endpoint), ['accepted', 'answered'])
    t.same(current.contacts.outcomes, ['answered new'])
  }
})

tap.t.test('a check fails if the connection is refused, or accepted and reset', async (t) => {
  await using current = new exchange.Exchange(reset)
  await listen(current)
  t.same(await check(current, current.endpoint), ['accepted', 'failed'])
  t.same(await check(current, { ...current.endpoint, address: '127.0.0.1:1' }), ['failed'])
})

tap.t.test('a check without a response stays open until it is cancelled', async (t) => {
  await using current = new exchange.Exchange(() => {})
  await listen(current)
  t.same(await check(current, current.endpoint, settleMs), ['accepted'])
  t.equal(current.connections.count, 0)
})

tap.t.test('an endpoint that named a limit, or asked for a pause in requests, gets a connection but no request', async (t) => {
  let requests = 0
  await using current = new exchange.Exchange(() => { requests++ })
  await listen(current)
  const limited = { ...current.endpoint, limit: { perSecond: 1, revision: 1, knownSince: 0 } }
  t.same(await check(current, limited), ['accepted', 'answered'])
  t.same(await check(current, current.endpoint, eventTimeoutMs, false), ['accepted', 'answered'])
  t.equal(requests, 0)
})
