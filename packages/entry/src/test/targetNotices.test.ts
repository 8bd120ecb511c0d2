/** What targets say of themselves in answers to requests and probes, and probes whose answers have no end. */
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as headerRules from '../common/headerRules.js'
import * as httpProber from '../node/httpProber.js'
import * as exchange from './exchange.js'

const longMs = 20_000
const block = 'x'.repeat(16 * 1024)
const names = { ...exchange.names, slotLoad: 'x-load' }

/** Keeps notices; `late` makes each request too late to be sent. */
class Notices implements endpointNotices.IEndpointNotices {
  readonly heard: endpointNotices.Notice[] = []

  constructor (private readonly late = false) {}

  note (_endpoint: unknown, notice: endpointNotices.Notice): void {
    this.heard.push(notice)
  }

  maySend (): boolean {
    return !this.late
  }
}

/** Probes the exchange's target; resolves with the outcome, or with nothing after `giveUpMs`. */
async function probe (current: exchange.Exchange, notices: endpointNotices.IEndpointNotices, giveUpMs = longMs): Promise<loadProbing.ProbeOutcome | undefined> {
  const prober = new httpProber.HttpProber({ healthPath: '/healthz', names, connections: current.connections, notices })
  const stop = new AbortController()
  const outcome = await new Promise<loadProbing.ProbeOutcome | undefined>((resolve) => {
    const giveUp = prober.probe(current.endpoint, resolve)
    timers.setTimeout(giveUpMs, undefined, { signal: stop.signal }).then(() => {
      giveUp()
      resolve(undefined)
    }, () => {})
  })
  stop.abort()
  return outcome
}

async function listening (current: exchange.Exchange): Promise<void> {
  current.server.listen(0, '127.0.0.1')
  await new Promise((resolve) => current.server.once('listening', resolve))
}

tap.t.test('what an answer says of its target', async (t) => {
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
  t.matchSnapshot(cases.map(([status, headers]) => [status, headers, headerRules.noticeOf(names, status, headers)]))
})

tap.t.test('where no header is named for it, a 503 concerns one request alone', async (t) => {
  const { targetAway, ...others } = names
  t.same(headerRules.noticeOf(others, 503, { 'retry-after': '2' }), { leaving: false })
})

tap.t.test('an answer to a request tells that the target leaves, and for how long it wants nothing', async (t) => {
  const notices = new Notices()
  await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-Leaving: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n'), true, notices)
  await current.send()
  t.ok(await current.heard(['end'], longMs))
  t.same(notices.heard, [{ leaving: true, awayMs: 2000 }])
})

tap.t.test('an answer of another request tells nothing', async (t) => {
  const notices = new Notices()
  await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Full\r\nX-Id: 6\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n'), true, notices)
  await current.send('7', { ...names, targetStamp: 'x-stamp' })
  t.ok(await current.heard(['lost'], longMs))
  t.same(notices.heard, [])
})

tap.t.test('a request whose connection took too long isn\'t sent to a target that has asked for a time without', async (t) => {
  let requests = 0
  await using current = new exchange.Exchange(() => { requests++ }, true, new Notices(true))
  await current.send()
  t.ok(await current.heard(['not-written'], longMs))
  t.equal(requests, 0)
})

tap.t.test('a probe\'s answer tells the same', async (t) => {
  const notices = new Notices()
  await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Leaving\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n'))
  await listening(current)
  const outcome = await probe(current, notices)
  t.same([outcome, notices.heard], [{ kind: 'none', message: 'status 503' }, [{ leaving: true }]])
})

for (const [name, head] of [
  ['a probe\'s answer without end is given up', 'HTTP/1.1 200 OK\r\nX-Load: 0,0,4\r\n\r\n'],
  ['a probe\'s answer whose head has no end is given up', 'HTTP/1.1 200 ']
] as const) {
  tap.t.test(name, async (t) => {
    await using current = new exchange.Exchange((socket) => {
      socket.write(head)
      const more = (): void => { while (!socket.destroyed && socket.write(block)); }
      socket.on('drain', more)
      more()
    })
    await listening(current)
    t.match(await probe(current, new Notices()), { kind: 'none' })
    t.equal(current.connections.count, 0)
  })
}

tap.t.test('a probe that was given up doesn\'t wait for ever for the rest of its answer', async (t) => {
  await using current = new exchange.Exchange((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Load: 0,0,4\r\nContent-Length: 100\r\n\r\nx')
  })
  await listening(current)
  t.equal(await probe(current, new Notices(), 100), undefined)
  const until = performance.now() + longMs
  while (current.connections.count > 0 && performance.now() < until) await timers.setTimeout(10)
  t.equal(current.connections.count, 0)
})
