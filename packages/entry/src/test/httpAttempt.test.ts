/**
 * Attempts whose response ends with the connection, also while the response is paused or after a cancel; late duplicate
 * responses; and how long connections are reusable.
 */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import type * as targetCheck from '@rosemaryrack/routing/common/targetCheck.js'
import type * as httpAttempt from '../node/httpAttempt.js'
import * as httpProber from '../node/httpProber.js'
import * as targetChecker from '../node/targetChecker.js'
import * as exchange from './exchange.js'

const bodyChunk = Buffer.alloc(8 * 1024)
const settleMs = 50
const pauseMs = 5
const resetCount = 50
const eventTimeoutMs = 20_000
const stampedNames = { ...exchange.defaultHeaderNames, targetStamp: 'x-stamp' }

/** Starts an exchange whose response ends with the connection, and waits for its first data. */
async function startExchange (isReading: boolean, endsImmediately = false): Promise<{ readonly exchange: exchange.Exchange, readonly attempt: httpAttempt.HttpAttempt }> {
  const started = new exchange.Exchange((socket: net.Socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n')
    if (endsImmediately) socket.end(bodyChunk)
    else socket.write(bodyChunk)
  }, isReading)
  const attempt = await started.send()
  await started.waitForEvent(['data'], eventTimeoutMs)
  return { exchange: started, attempt }
}

tap.t.test('a cancelled attempt reports nothing more of a paused response', async (t) => {
  const { exchange: started, attempt } = await startExchange(false)
  await using current = started
  attempt.cancel()
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data'])
})

for (const [name, isReading] of [
  ['a paused response whose connection is reset is incomplete', false],
  ['a response without a length whose connection is reset is incomplete', true]
] as const) {
  tap.t.test(name, async (t) => {
    await using current = (await startExchange(isReading)).exchange
    current.targetSocket!.resetAndDestroy()
    await timers.setTimeout(settleMs)
    t.same(current.events, ['data', 'broken'])
  })
}

// Guards against a response that looks complete to its caller though the target's connection was reset after a part of it (issue 49).
tap.t.test('a response without a length is incomplete if a reset arrives together with its data', async (t) => {
  const outcomes = new Set<string>()
  for (let i = 0; i < resetCount; i++) {
    await using current = new exchange.Exchange((socket) => {
      socket.write(Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n'), bodyChunk]))
      socket.resetAndDestroy()
    })
    await current.send()
    await current.waitForEvent(['end', 'broken', 'lost'], eventTimeoutMs)
    outcomes.add(current.events.at(-1)!)
  }
  t.notOk(outcomes.has('end'), [...outcomes].join(', '))
})

tap.t.test('a paused response with a length is complete if a reset arrives together with its last data', async (t) => {
  const outcomes: string[] = []
  for (let i = 0; i < resetCount; i++) {
    await using current = new exchange.Exchange((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: ${2 * bodyChunk.length}\r\n\r\n`)
      socket.write(bodyChunk)
    }, false)
    const attempt = await current.send()
    await current.waitForEvent(['data'], eventTimeoutMs)
    current.targetSocket!.write(bodyChunk)
    current.targetSocket!.resetAndDestroy()
    await timers.setTimeout(pauseMs)
    attempt.resume()
    await current.waitForEvent(['end', 'broken'], eventTimeoutMs)
    outcomes.push(current.events.at(-1)!)
  }
  t.same([...new Set(outcomes)], ['end'])
})

tap.t.test('a response that ends while it is paused is complete after the pause', async (t) => {
  const { exchange: started, attempt } = await startExchange(false, true)
  await using current = started
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data'])
  attempt.resume()
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data', 'end'])
})

tap.t.test('a response without a length ends with its connection', async (t) => {
  await using current = (await startExchange(true)).exchange
  current.targetSocket!.end()
  await timers.setTimeout(settleMs)
  t.same(current.events, ['data', 'end'])
})

tap.t.test('a late duplicate response on a reused connection is not mistaken for the response to the next request', async (t) => {
  const response = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello'
  await using current = new exchange.Exchange((socket) => socket.write(response))
  await current.send('7', stampedNames)
  await current.waitForEvent(['end'], eventTimeoutMs)
  await timers.setTimeout(settleMs)
  await current.send('8', stampedNames)
  t.ok(await current.waitForEvent(['lost'], eventTimeoutMs))
  t.same([current.events, current.bodyBytes, current.connections.count], [['data', 'end', 'lost'], 5, 0])
})

const healthChecks: Readonly<Record<string, (current: exchange.Exchange) => Promise<unknown>>> = {
  'load probe': ({ connections, endpoint }) => new Promise<loadProbing.ProbeOutcome>((resolve) => {
    new httpProber.HttpProber({ healthPath: '/healthz', names: stampedNames, connections, notices: exchange.ignoreNotices }).probe(endpoint, resolve)
  }),
  check: ({ connections, endpoint }) => new Promise<void>((resolve) => {
    const report = (progress: targetCheck.CheckProgress): void => { if (progress !== 'accepted') resolve() }
    new targetChecker.TargetChecker({ connections, names: stampedNames, notices: exchange.ignoreNotices, healthPathOf: () => '/healthz' }).check(endpoint, report)
  })
}

for (const [name, runHealthCheck] of Object.entries(healthChecks)) {
  /** Sends a request over the connection of a health check; all responses are the same. */
  const sendAfterHealthCheck = async (current: exchange.Exchange, names: typeof exchange.defaultHeaderNames): Promise<void> => {
    await current.listen()
    await runHealthCheck(current)
    await timers.setTimeout(settleMs)
    await current.send('7', names)
    await current.waitForEvent(['end', 'lost'], eventTimeoutMs)
    await timers.setTimeout(settleMs)
  }

  // Guards against a caller that is told that its request was not run, by the response to a health check, while an endpoint runs it.
  tap.t.test(`a late duplicate of the response to a ${name} is not mistaken for the response to a request`, async (t) => {
    await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Ill\r\nContent-Length: 3\r\n\r\nill'))
    await sendAfterHealthCheck(current, stampedNames)
    t.same([current.events, current.bodyBytes, current.connectionCount, current.connections.count], [['lost'], 0, 1, 0])
  })

  tap.t.test(`a failure with the id of the request is accepted on the connection of a ${name}, which remains open`, async (t) => {
    await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Full\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\nfull'))
    await sendAfterHealthCheck(current, stampedNames)
    t.same([current.events, current.connectionCount, current.connections.count], [['data', 'end'], 1, 1])
  })

  tap.t.test(`a target that returns no ids shares the connection of a ${name} with requests`, async (t) => {
    await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull'))
    await sendAfterHealthCheck(current, exchange.defaultHeaderNames)
    t.same([current.events, current.connectionCount, current.connections.count], [['data', 'end'], 1, 1])
  })
}

// Guards against an unhandled rejection, which ends the process, when a call is cancelled in the same turn in which its attempt takes an idle connection.
tap.t.test('an attempt that is cancelled as soon as it has taken an idle connection ends without an error', async (t) => {
  const rejections: string[] = []
  const onRejection = (err: unknown): void => { rejections.push(String(err)) }
  process.on('unhandledRejection', onRejection)
  t.teardown(() => process.off('unhandledRejection', onRejection))
  for (const end of ['cancel', 'abandon'] as const) {
    await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n'))
    await current.send()
    t.ok(await current.waitForEvent(['end'], eventTimeoutMs))
    await timers.setTimeout(settleMs)
    current.start()[end]()
    await timers.setTimeout(settleMs)
    t.same([rejections, current.events, current.connections.count], [[], ['end'], 0])
  }
})

tap.t.test('a connection on which a body has not been sent whole is not reused', async (t) => {
  for (const isBodySent of [true, false]) {
    await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n'))
    current.isBodySent = isBodySent
    await current.send()
    t.ok(await current.waitForEvent(['end'], eventTimeoutMs))
    await timers.setTimeout(settleMs)
    t.equal(current.connections.hasIdle(current.endpoint.address), isBodySent)
  }
})

tap.t.test('a failure without a request id is accepted on a connection without health checks', async (t) => {
  await using current = new exchange.Exchange((socket) => socket.write('HTTP/1.1 502 Bad Gateway\r\nContent-Length: 4\r\n\r\nnone'))
  await current.send('7', stampedNames)
  t.ok(await current.waitForEvent(['end'], eventTimeoutMs))
})

for (const [header, limitMs] of [
  ['timeout=10', 8000],
  ['max=5, timeout=2', 1600],
  ['timeout=999999', 60_000],
  ['timeout=soon', 4000],
  ['', 4000]
] as const) {
  tap.t.test(`a connection with "Keep-Alive: ${header}" is reusable for ${limitMs} ms`, async (t) => {
    await using current = new exchange.Exchange((socket) => socket.write(`HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: ${header}\r\nContent-Length: 5\r\n\r\nhello`))
    await current.send()
    await current.waitForEvent(['end'], eventTimeoutMs)
    const { address } = current.endpoint
    await timers.setTimeout(settleMs)
    const hadIdle = current.connections.hasIdle(address)
    const connection = current.connections.takeIdle(address, false)
    t.same([hadIdle, connection?.idleLimitMs, current.connections.hasIdle(address)], [true, limitMs, false])
    if (connection !== undefined) current.connections.discard(connection)
  })
}
