/** Decisions of the limits on callers: which requests get a slot, which connections are closed, paused or not opened. */
import * as net from 'node:net'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as decisionRing from '@rosemaryrack/telemetry/node/decisionRing.js'
import * as idempotencyClaims from '../node/idempotencyClaims.js'
import * as refusalPacing from '../node/refusalPacing.js'
import * as requestSlots from '../node/requestSlots.js'
import * as targetConnections from '../node/targetConnections.js'
import * as unsentResponses from '../node/unsentResponses.js'

tap.t.test('connections that send ahead cannot take the slots of those with a single request', (t) => {
  const slots = new requestSlots.RequestSlots(4, 0.25)
  const taken = Array.from({ length: 5 }, () => slots.tryTake(false))
  t.same(taken, [true, true, true, false, false])
  t.same([slots.tryTake(true), slots.tryTake(true)], [true, false])
  slots.release()
  t.same([slots.tryTake(false), slots.tryTake(true)], [false, true])
  t.end()
})

tap.t.test('the connections with the most unsent bytes are closed, and no more than needed', (t) => {
  const limits = { unsentBytesPerConnection: 50, unsentBytes: 100 }
  const find = (...bytes: readonly number[]): readonly number[] => unsentResponses.findExcess(new Map(bytes.map((each, i) => [i, each])), limits)
  t.same(find(), [])
  t.same(find(50, 50), [])
  t.same(find(10, 51, 20), [1])
  t.same(find(30, 40, 45, 20), [2])
  t.same(find(60, 70), [1, 0])
  t.end()
})

tap.t.test('pauses after refusals end one after the other, so that refusing takes a limited part of the processor time', (t) => {
  const clock = new manualClock.ManualClock()
  const pacing = new refusalPacing.RefusalPacing(clock)
  let resumed = 0
  const ends = Array.from({ length: 100 }, () => pacing.pause(() => { resumed++ }))
  ends[99]!()
  t.equal(pacing.pausedCount, 99)
  clock.advance(99)
  t.equal(resumed, 0)
  clock.advance(501)
  t.equal(resumed, 51)
  clock.advance(1000)
  t.equal(resumed, 99)
  t.equal(pacing.pausedCount, 0)
  t.end()
})

/** Runs `use` with connections to a server that accepts all, and its address. */
async function withTarget (limits: targetConnections.TargetConnectionLimits, use: (connections: targetConnections.TargetConnections, address: string, reached: readonly string[]) => Promise<void>): Promise<void> {
  const server = net.createServer((socket) => { socket.on('error', () => {}) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const reached: string[] = []
  const connections = new targetConnections.TargetConnections(undefined, {}, limits, (limit) => reached.push(limit))
  await use(connections, `127.0.0.1:${(server.address() as net.AddressInfo).port}`, reached)
  connections.dispose()
  server.close()
}

tap.t.test('a cancelled attempt ends its connect, but for one that shows whether the target can be reached', async (t) => {
  await withTarget({ targetConnections: 10, targetConnects: 10 }, async (connections, address) => {
    const openings = [1, 2, 3].map(() => connections.openWithinLimits(address))
    for (const { cancel } of openings) cancel()
    const results = await Promise.allSettled(openings.map(async ({ connection }) => await connection))
    t.same(results.map(({ status }) => status), ['fulfilled', 'rejected', 'rejected'])
    t.equal(connections.connectingCount, 0)
    t.equal(connections.count, 1)
    for (const result of results) if (result.status === 'fulfilled') connections.discard(result.value)
    const later = connections.openWithinLimits(address)
    later.cancel()
    connections.discard(await later.connection)
    t.equal(connections.count, 0)
  })
})

tap.t.test('connections to targets and connects are limited; an idle connection makes room, and checks are exempt', async (t) => {
  await withTarget({ targetConnections: 2, targetConnects: 1 }, async (connections, address, reached) => {
    const opening = connections.openWithinLimits(address)
    await t.rejects(connections.openWithinLimits(address).connection, { message: /targetConnects/ })
    const first = await opening.connection
    const second = await connections.openWithinLimits(address).connection
    await t.rejects(connections.openWithinLimits(address).connection, { message: /targetConnections/ })
    connections.discard(await connections.open(address))
    connections.release(address, first)
    const third = await connections.openWithinLimits(address).connection
    t.notOk(first.isOpen)
    t.equal(connections.count, 2)
    t.same(reached, ['targetConnects', 'targetConnections'])
    for (const each of [second, third]) connections.discard(each)
  })
})

tap.t.test('claims that the control group does not answer are limited; the requests beyond are refused as not run', async (t) => {
  const answers: Array<(granted: boolean) => void> = []
  const source = { claim: async (): Promise<boolean> => await new Promise((resolve) => answers.push(resolve)), release: async (): Promise<void> => {} }
  const refused = { count: 0 }
  const decisions = { record: () => {}, recordWithoutLogging: () => {}, explain: () => [] }
  const claims = new idempotencyClaims.IdempotencyClaims(source, new manualClock.ManualClock(), decisions, 2, () => { refused.count++ })
  const results = ['a', 'b', 'c'].map(async (key) => await claims.claim('lane', key, Infinity).then(() => 'claimed', (err) => err.fault.kind as string))
  t.equal(await results[2], 'not-run')
  t.equal(refused.count, 1)
  for (const answer of answers) answer(true)
  t.same(await Promise.all(results), ['claimed', 'claimed', 'not-run'])
  const later = claims.claim('lane', 'd', Infinity)
  answers[2]!(true)
  t.ok(await later)
  claims.dispose()
})

tap.t.test('releases that wait for others are made although none fails', async (t) => {
  const answers: Array<() => void> = []
  const source = { claim: async (): Promise<boolean> => true, release: async (): Promise<void> => await new Promise((resolve) => answers.push(resolve)) }
  const decisions = { record: () => {}, recordWithoutLogging: () => {}, explain: () => [] }
  const claims = new idempotencyClaims.IdempotencyClaims(source, new manualClock.ManualClock(), decisions)
  const count = 100
  for (let i = 0; i < count; i++) (await claims.claim('lane', String(i), Infinity)).release()
  t.equal(answers.length, 32)
  for (let i = 0; i < count; i++) {
    answers[i]!()
    await async.nextTurn()
  }
  t.equal(answers.length, count)
  claims.dispose()
})

tap.t.test('log lines on single requests are limited, others are not', (t) => {
  const clock = new manualClock.ManualClock()
  const lines: decisionLog.Decision[] = []
  const ring = new decisionRing.DecisionRing({ info: (decision: decisionLog.Decision) => { lines.push(decision) } } as unknown as ConstructorParameters<typeof decisionRing.DecisionRing>[0], true, 10, 2, clock)
  for (let i = 0; i < 5; i++) ring.record({ event: 'refuse', requestId: String(i), why: '' })
  ring.record({ event: 'member', why: '' })
  clock.advance(1000)
  ring.record({ event: 'refuse', requestId: '5', why: '' })
  t.same(lines.map(({ event, requestId, dropped }) => [event, requestId, dropped]), [['refuse', '0', undefined], ['refuse', '1', undefined], ['member', undefined, undefined], ['refuse', '5', 3]])
  t.equal(ring.droppedLines, 3)
  t.equal(ring.explain('4').length, 1)
  t.end()
})
