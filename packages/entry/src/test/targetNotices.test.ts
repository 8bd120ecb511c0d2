/**
 * Notices of targets in responses to requests and probes: that the target is leaving, or asks for a pause in requests. Also
 * probes whose responses do not end.
 */
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as headerRules from '../common/headerRules.js'
import * as httpProber from '../node/httpProber.js'
import * as exchange from './exchange.js'

const eventTimeoutMs = 20_000
const block = 'x'.repeat(16 * 1024)
const headerNames = { ...exchange.defaultHeaderNames, slotLoad: 'x-load' }

/** Records notices; with `isAway`, the endpoint is away and no request may be sent to it any more. */
class FakeNotices implements endpointNotices.IEndpointNotices {
  readonly received: endpointNotices.Notice[] = []

  constructor (private readonly isAway = false) {}

  recordNotice (_endpoint: unknown, notice: endpointNotices.Notice): void {
    this.received.push(notice)
  }

  canSend (): boolean {
    return !this.isAway
  }
}

/** Probes the target of an exchange; resolves with the outcome, or cancels and resolves with undefined after `cancelAfterMs`. */
async function probe (current: exchange.Exchange, notices: endpointNotices.IEndpointNotices, cancelAfterMs = eventTimeoutMs): Promise<loadProbing.ProbeOutcome | undefined> {
  const prober = new httpProber.HttpProber({ healthPath: '/healthz', names: headerNames, connections: current.connections, notices })
  const timerAbort = new AbortController()
  const outcome = await new Promise<loadProbing.ProbeOutcome | undefined>((resolve) => {
    const cancel = prober.probe(current.endpoint, resolve)
    timers.setTimeout(cancelAfterMs, undefined, { signal: timerAbort.signal }).then(() => {
      cancel()
      resolve(undefined)
    }, () => {})
  })
  timerAbort.abort()
  return outcome
}

async function startListening (current: exchange.Exchange): Promise<void> {
  current.server.listen(0, '127.0.0.1')
  await new Promise((resolve) => current.server.once('listening', resolve))
}

tap.t.test('notices in responses', async (t) => {
  const cases = [
    [200, { 'x-leaving': '1' }],
    [200, { 'x-leaving': '0' }],
    [503, { 'retry-after': '1.5' }],
    [503, { 'retry-after': '2', 'x-leaving': '1' }],
    [503, { 'retry-after': 'Wed, 21 Oct 2026 07:28:00 GMT' }],
    [503, { 'retry-after': '-1' }],
    [429, { 'retry-after': '1' }],
    [421, { 'x-leaving': '1' }],
    [500, {}]
  ] as const
  t.matchSnapshot(cases.map(([status, headers]) => [status, headers, headerRules.parseNotice(headerNames, status, headers)]))
})

tap.t.test('cold times are read from responses to health checks only, and not from those of another endpoint', async (t) => {
  const names = { ...headerNames, coldLeft: 'x-cold-ms' }
  const read = (value: string | string[], status = 200): number | undefined => headerRules.parseHealthCheckNotice(names, status, { 'x-cold-ms': value }).coldLeftMs
  t.same(['2900', '0', '12.5', '', '-1', '1e3', 'soon', 'NaN'].map((value) => read(value)), [2900, 0, 12.5, undefined, undefined, undefined, undefined, undefined])
  t.same([read(['1', '2']), read('7', 421), read('7', 503)], [undefined, undefined, 7])
  t.equal(headerRules.parseNotice(names, 200, { 'x-cold-ms': '2900' }).coldLeftMs, undefined)
  t.equal(headerRules.parseHealthCheckNotice(headerNames, 200, { 'x-cold-ms': '2900' }).coldLeftMs, undefined)
})

tap.t.test('limits in responses', async (t) => {
  const names = { ...headerNames, targetLimit: ['x-limit', 'x-other-limit'] }
  const values = ['2.4', '0', '1000000', '9'.repeat(400), '', ' 2', '-1', '1e3', '.5', '2, 3', 'Infinity', 'NaN', '0x10', 'many']
  const cases = [
    ...values.map((value) => [200, { 'x-limit': value }] as const),
    [200, { 'x-limit': ['2', '3'] }],
    [200, { 'x-limit': '2', 'x-other-limit': '2' }],
    [200, { 'x-limit': '2', 'x-other-limit': '3' }],
    [200, {}],
    [500, {}],
    [503, { 'x-limit': '1' }],
    [421, { 'x-limit': '1' }]
  ] as const
  const format = (limit: endpointNotices.LimitStatement | undefined): string => limit === undefined ? 'no statement' : Object.values(limit).join(' ').slice(0, 20)
  t.matchSnapshot(cases.map(([status, headers]) => {
    const args = [names, status, headers as headerRules.MessageHeaders] as const
    return `${status} ${JSON.stringify(headers).slice(0, 40)}: ${format(headerRules.parseNotice(...args).limit)}; health check: ${format(headerRules.parseHealthCheckNotice(...args).limit)}`
  }))
})

tap.t.test('without a header name in the settings, a 503 concerns one request only', async (t) => {
  const { targetAway, ...otherNames } = headerNames
  t.same(headerRules.parseNotice(otherNames, 503, { 'retry-after': '2' }), { leaving: false })
})

tap.t.test('a response to a request reports that the target is leaving, and how long a pause in requests it asks for', async (t) => {
  const notices = new FakeNotices()
  await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-Leaving: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n'), true, notices)
  await current.send()
  t.ok(await current.waitForEvent(['end'], eventTimeoutMs))
  t.same(notices.received, [{ leaving: true, awayMs: 2000 }])
})

tap.t.test('a response to another request reports nothing', async (t) => {
  const notices = new FakeNotices()
  await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Full\r\nX-Id: 6\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n'), true, notices)
  await current.send('7', { ...headerNames, targetStamp: 'x-stamp' })
  t.ok(await current.waitForEvent(['lost'], eventTimeoutMs))
  t.same(notices.received, [])
})

tap.t.test('a request is not sent if its target asks for a pause in requests while the connection is being opened', async (t) => {
  let requests = 0
  await using current = new exchange.Exchange(() => { requests++ }, true, new FakeNotices(true))
  await current.send()
  t.ok(await current.waitForEvent(['not-written'], eventTimeoutMs))
  t.equal(requests, 0)
})

tap.t.test('a response to a probe reports that the target is leaving', async (t) => {
  const notices = new FakeNotices()
  await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Leaving\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n'))
  await startListening(current)
  const outcome = await probe(current, notices)
  t.same([outcome, notices.received], [{ kind: 'none', message: 'status 503' }, [{ leaving: true }]])
})

for (const [name, head] of [
  ['a probe whose response body does not end fails', 'HTTP/1.1 200 OK\r\nX-Load: 0,0,4\r\n\r\n'],
  ['a probe whose response head does not end fails', 'HTTP/1.1 200 ']
] as const) {
  tap.t.test(name, async (t) => {
    await using current = new exchange.Exchange((socket) => {
      socket.write(head)
      const sendMore = (): void => { while (!socket.destroyed && socket.write(block)); }
      socket.on('drain', sendMore)
      sendMore()
    })
    await startListening(current)
    t.match(await probe(current, new FakeNotices()), { kind: 'none' })
    t.equal(current.connections.count, 0)
  })
}

tap.t.test('the connection of a cancelled probe is closed when the rest of its response does not arrive', async (t) => {
  await using current = new exchange.Exchange((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Load: 0,0,4\r\nContent-Length: 100\r\n\r\nx')
  })
  await startListening(current)
  t.equal(await probe(current, new FakeNotices(), 100), undefined)
  const deadline = performance.now() + eventTimeoutMs
  while (current.connections.count > 0 && performance.now() < deadline) await timers.setTimeout(10)
  t.equal(current.connections.count, 0)
})
