/** HTTP/1.0 callers support no chunks: a response without a length must reach them whole, with its length, or be refused. */
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as callerFixture from './callerFixture.js'

const settleMs = 100
const graceS = 1
const msPerSecond = 1000
/** From this share of the grace period on, requests without a response get a final one. */
const finalResponseShareOfGrace = 0.9
const stepMs = 10
const turnsPerStep = 3
const deadlineMs = 1500
const endTimeoutMs = 4000
const part = 'x'.repeat(10_000)
/** Longer than what may be held of one response. */
const longPart = 'x'.repeat(512 * 1024)
const request = 'GET /flags HTTP/1.0\r\nHost: h\r\nX-Id: 7\r\n\r\n'

/** A framing that gives an HTTP/1.0 caller no length. */
interface Framing {
  readonly head: string
  readonly toPiece: (data: string) => string
  readonly end: (socket: net.Socket) => void
}

const framings: Readonly<Record<string, Framing>> = {
  'without a length': {
    head: 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n',
    toPiece: (data) => data,
    end: (socket) => socket.end()
  },
  'in chunks': {
    head: 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n',
    toPiece: (data) => `${data.length.toString(16)}\r\n${data}\r\n`,
    end: (socket) => socket.write('0\r\n\r\n')
  }
}

/** What a caller takes its response for; undefined if it is incomplete. */
function describe ({ response, statuses }: callerFixture.CallerConnection): object | undefined {
  if (response === undefined) return undefined
  const { status, framing, body, headers } = response
  return { statuses, status, framing, outcome: headers['rack-outcome'], bytes: status === 200 ? body.length : body.toString() }
}

for (const [name, { head, toPiece, end }] of Object.entries(framings)) {
  const start = async (lane: object, content: string, options: ConstructorParameters<typeof callerFixture.CallerFixture>[2] = {}): Promise<callerFixture.CallerFixture> => {
    return await new callerFixture.CallerFixture(lane, (socket) => socket.write(head + toPiece(content)), options).start()
  }
  const startRequest = async (t: tap.Test, fixture: callerFixture.CallerFixture): Promise<callerFixture.CallerConnection> => {
    const caller = fixture.send(request)
    t.ok(await callerFixture.waitUntil(() => fixture.targetRequests === 1))
    await timers.setTimeout(settleMs)
    return caller
  }

  // Guards against a part of a response that looks complete, because its entry instance is killed.
  tap.t.test(`nothing of a response ${name} is sent before it is whole`, async (t) => {
    await using fixture = await start({}, part)
    const caller = await startRequest(t, fixture)
    t.equal(caller.received, '')
    fixture.targetSockets[0]!.write(toPiece(part))
    end(fixture.targetSockets[0]!)
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded))
    t.matchSnapshot(describe(caller))
    t.match(fixture.metricsText, 'rosemaryrack_requests_total{lane="lane",outcome="answered"} 1')
    t.match(caller.response?.headers, { connection: 'close' })
  })

  tap.t.test(`a response ${name} that is too long to be held back is refused at once`, async (t) => {
    await using fixture = await start({}, longPart)
    const caller = fixture.send(request)
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded, endTimeoutMs))
    t.matchSnapshot(describe(caller))
    t.ok(await callerFixture.waitUntil(() => fixture.targetSockets[0]!.destroyed), 'the connection to the endpoint is closed')
    t.match(fixture.metricsText, 'rosemaryrack_cut_responses_total{lane="lane",reason="too-long"} 1')
    t.match(fixture.metricsText, 'rosemaryrack_requests_total{lane="lane",outcome="unknown"} 1')
    t.notMatch(fixture.metricsText, 'outcome="answered"')
  })

  tap.t.test(`a response ${name} that breaks off is refused`, async (t) => {
    await using fixture = await start({}, part)
    const caller = await startRequest(t, fixture)
    fixture.targetSockets[0]!.resetAndDestroy()
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded, endTimeoutMs))
    t.same([caller.statuses, caller.response?.framing], [['502'], 'length'])
  })

  tap.t.test(`a response ${name} that has no end is refused after the deadline`, async (t) => {
    await using fixture = await start({ deadlineMs }, part)
    const caller = await startRequest(t, fixture)
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded, endTimeoutMs))
    t.matchSnapshot(describe(caller))
    t.ok(await callerFixture.waitUntil(() => fixture.listener.inFlightCount === 0))
  })

  tap.t.test(`a response ${name} that is incomplete shortly before the grace period ends is refused`, async (t) => {
    const clock = new manualClock.ManualClock()
    clock.jump(performance.now())
    await using fixture = await start({}, part, { graceS, clock })
    const caller = await startRequest(t, fixture)
    // Beyond the time for which it could be answered by another endpoint.
    await timers.setTimeout(msPerSecond)
    fixture.stop()
    for (let passedMs = 0; passedMs < graceS * msPerSecond * finalResponseShareOfGrace + stepMs; passedMs += stepMs) {
      t.equal(caller.received, '')
      clock.advance(stepMs)
      for (let turn = 0; turn < turnsPerStep; turn++) await async.nextTurn()
    }
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded, endTimeoutMs))
    t.matchSnapshot(describe(caller))
    t.match(fixture.metricsText, 'rosemaryrack_cut_responses_total{lane="lane",reason="stopping"} 1')
  })

  for (const [action, leave] of [
    ['closes its sending direction', (socket: net.Socket) => socket.end()],
    ['leaves', (socket: net.Socket) => socket.destroy()]
  ] as const) {
    tap.t.test(`the endpoint is free again when a caller ${action} while a response ${name} is held for it`, async (t) => {
      await using fixture = await start({}, part, { slots: 1 })
      const caller = await startRequest(t, fixture)
      await timers.setTimeout(msPerSecond)
      leave(caller.socket)
      t.ok(await callerFixture.waitUntil(() => fixture.targetSockets[0]!.destroyed && fixture.listener.inFlightCount === 0, msPerSecond))
      t.equal(caller.response, undefined)
    })
  }
}

tap.t.test('a response without a body needs no length', async (t) => {
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => socket.write('HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n')).start()
  const caller = fixture.send(request)
  t.ok(await callerFixture.waitUntil(() => caller.hasEnded))
  t.same(caller.statuses, ['204'])
})

tap.t.test('a caller that keeps its connection open gets the next response on it', async (t) => {
  const { head, toPiece, end } = framings['in chunks']!
  await using fixture = await new callerFixture.CallerFixture({}, (socket) => {
    socket.write(head + toPiece('hello'))
    end(socket)
  }).start()
  const keptAlive = request.replace('\r\n\r\n', '\r\nConnection: keep-alive\r\n\r\n')
  const caller = fixture.send(keptAlive)
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length === 1))
  caller.socket.write(keptAlive)
  t.ok(await callerFixture.waitUntil(() => caller.statuses.length === 2))
  t.same([caller.statuses, caller.hasEnded], [['200', '200'], false])
})
