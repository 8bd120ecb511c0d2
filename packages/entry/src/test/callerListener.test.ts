/** Requests that a listener has read must get one complete answer, whatever the endpoint, the caller and the configuration do meanwhile. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as callerFixture from './callerFixture.js'

const settleMs = 100
const graceS = 1
const msPerSecond = 1000
const lateHeadersMs = 3000
const slowResponseMs = 200
const bodyStart = 'xxx'
const bodyPiece = 'x'.repeat(65_536)
/** More than the sockets between endpoint and caller hold. */
const longBody = 'x'.repeat(32 * 1024 * 1024)
const stepMs = 10
const turnsPerStep = 3
const request = 'GET /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n'
const endpointHead = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\n'

function answer (socket: net.Socket): void {
  socket.write(`${endpointHead}Content-Length: 5\r\n\r\nhello`)
}

/** Lets time pass on the clock in steps, each with some turns of the event loop for what its timers begin. */
async function passTime (clock: manualClock.ManualClock, ms: number): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
    clock.advance(stepMs)
    for (let turn = 0; turn < turnsPerStep; turn++) await async.nextTurn()
  }
}

tap.t.test('a request that waits for a slot is refused before the grace period ends', async (t) => {
  const clock = new manualClock.ManualClock()
  clock.jump(performance.now())
  await using fixture = await new callerFixture.CallerFixture({}, () => {}, { slots: 1, graceS, clock }).start()
  fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1), 'the first request has the only slot')
  const waiting = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 2))
  fixture.stop()
  await passTime(clock, graceS * msPerSecond - stepMs)
  await callerFixture.waitUntil(() => waiting.statuses.length > 0)
  t.same(waiting.statuses, ['503'])
})

for (const [name, share, statuses, targetRequests] of [
  ['by half of the grace period is sent on', 0.4, ['200'], 1],
  ['after half of the grace period is refused as not run', 0.6, ['503'], 0]
] as const) {
  // Guards against an endpoint that is at work on a request when the grace period ends, so that its caller gets another answer.
  tap.t.test(`a request that its caller completes ${name}`, async (t) => {
    const clock = new manualClock.ManualClock()
    clock.jump(performance.now())
    await using fixture = await new callerFixture.CallerFixture({}, answer, { graceS, clock }).start()
    const caller = fixture.send('POST /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\nbo')
    t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 1))
    fixture.stop()
    await passTime(clock, graceS * msPerSecond * share)
    caller.socket.write('dy')
    t.ok(await callerFixture.waitUntil(() => caller.statuses.length > 0))
    t.same([caller.statuses, fixture.targetRequests], [statuses, targetRequests])
    t.equal(/\r\nRetry-After: /i.test(caller.received), targetRequests === 0)
  })
}

/** Writes pieces of a body until the caller has received some of it. */
async function startBody (socket: net.Socket, toPiece: (data: string) => string, caller: callerFixture.CallerConnection): Promise<boolean> {
  return await callerFixture.waitUntil(() => {
    const hasArrived = caller.received.includes(bodyStart)
    if (!hasArrived) socket.write(toPiece(bodyPiece))
    return hasArrived
  })
}

const toChunk = (data: string): string => `${data.length.toString(16)}\r\n${data}\r\n`

for (const [name, version, header, toPiece] of [
  ['without a length', '1.1', 'Connection: close', (data: string) => data],
  ['in chunks', '1.1', 'Transfer-Encoding: chunked', toChunk],
  ['with a length', '1.1', 'Content-Length: 100000000', (data: string) => data],
  ['with a length to an HTTP/1.0 caller', '1.0', 'Content-Length: 100000000', (data: string) => data]
] as const) {
  // Guards against a part of a response that looks complete, because the kernel closes the connections of a killed process in order.
  tap.t.test(`an incomplete response ${name} is left alone until the grace period ends, and does not look complete then`, async (t) => {
    const clock = new manualClock.ManualClock()
    clock.jump(performance.now())
    await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(`${endpointHead}${header}\r\n\r\n`), { graceS, clock }).start()
    const caller = fixture.send(request.replace('HTTP/1.1', `HTTP/${version}`))
    t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
    t.ok(await startBody(fixture.targetSockets[0]!, toPiece, caller))
    fixture.stop()
    await passTime(clock, graceS * msPerSecond - stepMs)
    await timers.setTimeout(settleMs)
    t.same([caller.hasEnded, caller.isClosed], [false, false], 'it may still become complete')
    t.notMatch(fixture.metricsText, 'rosemaryrack_cut_responses_total')
    fixture.closeConnections()
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed))
    t.equal(caller.response, undefined, 'its caller can see that it is incomplete')
  })
}

// Guards against a whole response of which its caller has read a part only when the process is killed.
tap.t.test('a response without a length that waits for its caller does not look complete when the process is killed', async (t) => {
  const clock = new manualClock.ManualClock()
  clock.jump(performance.now())
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.end(`${endpointHead}Connection: close\r\n\r\n${longBody}`), { graceS, clock }).start()
  const caller = fixture.send(request)
  caller.socket.pause()
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  await timers.setTimeout(settleMs)
  fixture.stop()
  await passTime(clock, graceS * msPerSecond - stepMs)
  fixture.closeConnections()
  caller.socket.resume()
  t.ok(await callerFixture.waitUntil(() => caller.isClosed || caller.hasEnded, msPerSecond))
  t.same([caller.statuses, caller.received.length < longBody.length, caller.response], [['200'], true, undefined])
})

tap.t.test('a complete response without a length is delivered whole during the shutdown', async (t) => {
  const clock = new manualClock.ManualClock()
  clock.jump(performance.now())
  await using fixture = await new callerFixture.CallerFixture({}, () => {}, { graceS, clock }).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  fixture.stop()
  await passTime(clock, stepMs)
  fixture.targetSockets[0]!.end(`${endpointHead}Connection: close\r\n\r\nhello`)
  t.ok(await callerFixture.waitUntil(() => caller.response !== undefined))
  await passTime(clock, graceS * msPerSecond)
  t.same([caller.response?.framing, caller.response?.body.toString(), caller.hasEnded], ['chunks', 'hello', true])
  t.notMatch(fixture.metricsText, 'rosemaryrack_cut_responses_total')
})

tap.t.test('requests before the first configuration are refused as not run, and those without a lane after it as not found', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ match: { pathPrefix: '/flags' } }, answer).start()
  fixture.config.removeAll()
  const early = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => early.statuses.length > 0))
  t.match(early.received, /^HTTP\/1\.1 503 [^]*\r\nRetry-After: /i)
  fixture.config.replaceLanes({})
  const late = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => late.statuses.length > 0))
  t.same([late.statuses, fixture.targetRequests], [['404'], 0])
})

tap.t.test('pipelined requests are no longer counted once their caller has left, so that a stop can end', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, () => {}).start()
  const caller = fixture.send(request + request)
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 2))
  caller.socket.destroy()
  await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0, settleMs)
  t.equal(fixture.listener.inFlightCount, 0)
})

tap.t.test('a response without a length does not look complete when the endpoint resets the connection', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(`${endpointHead}Connection: close\r\n\r\nhello`)).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => caller.received.includes('hello')))
  fixture.targetSockets[0]!.resetAndDestroy()
  await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed)
  await timers.setTimeout(settleMs)
  t.equal(caller.response, undefined, 'the caller can see that the response is incomplete')
})

tap.t.test('a response without a length is marked as complete once its connection has ended in order, and no sooner', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(`${endpointHead}Connection: close\r\n\r\n`)).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  t.ok(await startBody(fixture.targetSockets[0]!, (data) => data, caller))
  await timers.setTimeout(settleMs)
  t.equal(caller.response, undefined)
  fixture.targetSockets[0]!.end('hello')
  t.ok(await callerFixture.waitUntil(() => caller.response !== undefined))
  t.match(caller.response?.body.toString(), /x{65536}hello$/)
  t.notOk(caller.hasEnded || caller.isClosed, 'the connection stays open')
})

// Guards against a part of a response that looks complete to a caller that closes its sending direction after the request.
tap.t.test('a response without a length does not look complete when its caller has closed its sending direction before the end', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write(`${endpointHead}Connection: close\r\n\r\n`)).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  t.ok(await startBody(fixture.targetSockets[0]!, (data) => data, caller))
  // Without the sending direction, this caller cannot tell a reset that arrives together with data from an end.
  await timers.setTimeout(settleMs)
  caller.socket.end()
  t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed))
  t.equal(caller.response, undefined, 'the caller can see that the response is incomplete')
})

tap.t.test('a whole response without a length is delivered to a caller that closes its sending direction while it reads', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.end(`${endpointHead}Connection: close\r\n\r\n${longBody}`)).start()
  const caller = fixture.send(request)
  caller.socket.pause()
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  await timers.setTimeout(settleMs)
  caller.socket.resume()
  t.ok(await callerFixture.waitUntil(() => fixture.targetSockets[0]!.destroyed))
  caller.socket.end()
  await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed)
  t.same([caller.hasEnded, caller.response?.framing, caller.response?.body.length], [true, 'chunks', longBody.length])
})

tap.t.test('a connection is usable or closed after a response that came before the end of the request body', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, answer).start()
  const firstPart = 'x'.repeat(100_000)
  const rest = 'x'.repeat(200_000)
  const caller = fixture.send(`POST /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: ${firstPart.length + rest.length}\r\n\r\n${firstPart}`)
  t.ok(await callerFixture.waitUntil(() => caller.received.endsWith('hello')))
  const isCloseAnnounced = /connection: close/i.test(caller.received)
  caller.socket.write(rest + request)
  await callerFixture.waitUntil(() => isCloseAnnounced || caller.statuses.length === 2, msPerSecond)
  t.ok(isCloseAnnounced || caller.statuses.length === 2, 'the next request is answered, or the caller knows not to send it')
})

for (const [name, header] of [['long', 'Content-Length: 10000000'], ['unknown', 'Transfer-Encoding: chunked']] as const) {
  tap.t.test(`a response that came before the ${name} rest of a request body announces the end of the connection`, async (t) => {
    await using fixture = await new callerFixture.CallerFixture({}, answer).start()
    const chunks = `${(100_000).toString(16)}\r\n${'x'.repeat(100_000)}\r\n`
    const caller = fixture.send(`POST /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n${header}\r\n\r\n${chunks}`)
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed, msPerSecond))
    t.same([caller.statuses, /connection: close/i.test(caller.received), caller.received.endsWith('hello')], [['200'], true, true])
  })
}

tap.t.test('a connection is closed when the rest of a request body does not arrive after the response', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ progressTimeoutMs: 200 }, answer).start()
  const caller = fixture.send(`POST /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: 200000\r\n\r\n${'x'.repeat(100_000)}`)
  t.ok(await callerFixture.waitUntil(() => caller.received.endsWith('hello')))
  t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed, msPerSecond))
})

tap.t.test('a response whose head cannot be passed on fails the request', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ deadlineMs: 500 }, (socket) => {
    socket.write(Buffer.from('HTTP/1.1 200 O\xffK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nhello', 'latin1'))
  }).start()
  const caller = fixture.send(request)
  await callerFixture.waitUntil(() => caller.statuses.length > 0 || caller.isClosed, msPerSecond)
  t.ok(caller.statuses.length > 0, 'the caller gets an answer by the deadline of the lane')
})

tap.t.test('an exception in the handling of a request ends this request and no other', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, answer).start()
  const restore = fixture.failMetrics()
  const failed = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => failed.hasEnded || failed.isClosed, msPerSecond), 'its connection is closed')
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0, msPerSecond))
  restore()
  const next = fixture.send(request)
  await callerFixture.waitUntil(() => next.statuses.length > 0, msPerSecond)
  t.same(next.statuses, ['200'])
})

tap.t.test('a request whose lane is removed while its body arrives is run or refused, and is no internal error', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, answer).start()
  const caller = fixture.send('POST /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: 10\r\n\r\n12345')
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 1))
  fixture.config.replaceLanes({})
  caller.socket.write('67890')
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length > 0))
  t.notSame(caller.statuses, ['500'])
})

// Guards against an entry instance that fails on a configuration, because a removed lane is named like an inherited property.
tap.t.test('lanes named like inherited properties are served, and can be removed', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, answer).start()
  const lane = fixture.config.current.document.lanes['lane']!
  for (const inherited of ['__proto__', 'constructor', 'toString']) {
    fixture.config.replaceLanes(Object.fromEntries([[inherited, lane]]))
    const caller = fixture.send(request)
    t.ok(await callerFixture.waitUntil(() => caller.statuses.length > 0))
    t.same(caller.statuses, ['200'], inherited)
    t.doesNotThrow(() => fixture.config.replaceLanes({ lane }))
  }
})

// Guards against requests that fail at once, because a time limit of the configuration exceeds the longest timer.
tap.t.test('time limits beyond the longest timer leave a request the time that it takes', async (t) => {
  for (const ms of [2 ** 31, 2 ** 53, 1e300]) {
    const lane = { deadlineMs: ms, maxWaitMs: ms, targetLatencyMs: ms, maxAttempts: ms, priority: ms }
    await using fixture = await new callerFixture.CallerFixture(lane, (socket) => { setTimeout(() => answer(socket), slowResponseMs) }).start()
    fixture.config.replaceLanes(fixture.config.current.document.lanes, { headerTimeoutMs: ms, idleTimeoutMs: ms, maxHeaderBytes: ms, maxBodyBytes: ms })
    const caller = fixture.send(request.slice(0, -2))
    await timers.setTimeout(lateHeadersMs)
    caller.socket.write(request.slice(-2))
    t.ok(await callerFixture.waitUntil(() => caller.statuses.length > 0))
    t.same(caller.statuses, ['200'], String(ms))
  }
})

tap.t.test('a request with late headers is answered soon after the limit of the configuration', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, answer).start()
  fixture.config.replaceLanes({}, { headerTimeoutMs: 100 })
  const caller = fixture.send('GET /flags HTTP/1.1\r\nHost:')
  await callerFixture.waitUntil(() => caller.statuses.length > 0, lateHeadersMs)
  t.same(caller.statuses, ['408'])
})

const claimedRequest = 'POST /flags HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n'

tap.t.test('a request whose lane is removed while its key is claimed is run', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ idempotent: false }, answer).start()
  const caller = fixture.send(claimedRequest)
  t.ok(await callerFixture.waitUntil(() => fixture.config.claimOwners.length === 1))
  fixture.config.replaceLanes({})
  fixture.config.grantClaims()
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length > 0))
  t.same([caller.statuses, fixture.config.releasedOwners], [['200'], []])
})

tap.t.test('the claim of a request whose call does not start is released', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ idempotent: false }, answer).start()
  fixture.failCallStarts()
  fixture.config.grantClaims()
  const caller = fixture.send(claimedRequest)
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length > 0))
  t.same([caller.statuses, fixture.config.releasedOwners], [['500'], fixture.config.claimOwners])
})

// Guards against a key that is denied for good, though its request was never sent.
tap.t.test('the claim of a request whose caller leaves while it waits for a slot is released', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ idempotent: false }, () => {}, { slots: 1 }).start()
  fixture.config.grantClaims()
  fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1), 'the first request has the only slot')
  const caller = fixture.send(claimedRequest)
  t.ok(await callerFixture.waitUntil(() => fixture.config.claimOwners.length === 1))
  await timers.setTimeout(settleMs)
  caller.socket.destroy()
  await callerFixture.waitUntil(() => fixture.config.releasedOwners.length > 0, msPerSecond)
  t.same([fixture.config.releasedOwners, fixture.targetRequests], [fixture.config.claimOwners, 1])
})

tap.t.test('the claim of a request whose caller leaves while its key is claimed is released', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ idempotent: false }, answer).start()
  const caller = fixture.send(claimedRequest)
  t.ok(await callerFixture.waitUntil(() => fixture.config.claimOwners.length === 1))
  caller.socket.destroy()
  await timers.setTimeout(settleMs)
  t.same(fixture.config.releasedOwners, [], 'the claim is not made yet')
  fixture.config.grantClaims()
  await callerFixture.waitUntil(() => fixture.config.releasedOwners.length > 0, msPerSecond)
  t.same([fixture.config.releasedOwners, fixture.targetRequests], [fixture.config.claimOwners, 0])
})

tap.t.test('the claim of a request that an endpoint may have run is kept when the caller leaves', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({ idempotent: false }, () => {}).start()
  fixture.config.grantClaims()
  const caller = fixture.send(claimedRequest)
  t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
  caller.socket.destroy()
  t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0))
  await timers.setTimeout(settleMs)
  t.same([fixture.config.claimOwners.length, fixture.config.releasedOwners], [1, []])
})
