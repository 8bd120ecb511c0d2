/** Tests when the streams of the configuration feed report that a quorum confirmed the configuration. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as timeline from '@rosemaryrack/base/common/timeline.js'
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as evacuationState from '../common/evacuationState.js'
import * as configFeed from '../node/configFeed.js'
import type * as replica from '../node/replica.js'

const earlyUpdateLimitMs = 100

/** A feed whose confirmation rounds end when the test resolves or rejects their reads. */
class FeedFixture {
  readonly reads: Array<async.Deferred<number>> = []
  readonly decisions: decisionLog.Decision[] = []
  readonly feed: configFeed.ConfigFeed
  readonly applied = new event.Emitter<number>()
  readonly evacuations = new evacuationState.EvacuationState()
  readonly state = { config: { version: 7 }, encodedConfig: { documentJson: '{}', extensionsJson: '' }, evacuations: this.evacuations }
  /** Time in which the process was suspended, and which its monotonic clock does not count. */
  suspendedMs = 0

  constructor () {
    const source = {
      onApplied: this.applied.event,
      waitUntilApplied: async () => {},
      decisions: { record: (decision: decisionLog.Decision) => this.decisions.push(decision) },
      state: this.state
    }
    this.feed = new configFeed.ConfigFeed(source as unknown as replica.Replica, async () => {
      const read = new async.Deferred<number>()
      this.reads.push(read)
      return await read.promise
    }, { mark: () => this.mark() })
  }

  private mark (): timeline.TimeMark {
    const monotonicMs = performance.now()
    return { monotonicMs, timeOfDayMs: 1e12 + monotonicMs + this.suspendedMs }
  }

  follow (stop: AbortController): AsyncGenerator<inner.FollowRes> {
    return this.feed.follow({ instance: 'entry', knownVersion: 0n } as inner.FollowReq, stop.signal)
  }
}

tap.t.test('a stream that opens during a round is confirmed by the next round, which starts at once', async (t) => {
  const fixture = new FeedFixture()
  const stop = new AbortController()
  const first = fixture.follow(stop).next()
  await async.sleep(2)
  const second = fixture.follow(stop).next()
  await async.sleep(2)
  t.equal(fixture.reads.length, 1, 'one round at a time')
  fixture.reads[0]!.resolve(1)
  t.match((await first).value, { confirmed: true, confirmedVersion: 7n, config: { version: 7n } })
  await async.sleep(2)
  t.equal(fixture.reads.length, 2, 'the next round began at once')
  fixture.reads[1]!.resolve(1)
  t.match((await second).value, { confirmed: true, confirmedVersion: 7n, config: { version: 7n } })
  stop.abort()
  fixture.feed.dispose()
})

tap.t.test('a version that is newer than that of a returning instance is sent before the round ends', async (t) => {
  const fixture = new FeedFixture()
  const stop = new AbortController()
  const stream = fixture.feed.follow({ instance: 'entry', knownVersion: 6n } as inner.FollowReq, stop.signal)
  const first = stream.next()
  t.ok(await async.settlesWithin(first, earlyUpdateLimitMs))
  t.equal(fixture.reads.length, 1)
  const second = stream.next()
  fixture.reads[0]!.resolve(1)
  t.match((await first).value, { confirmed: false, config: { version: 7n } })
  t.match((await second).value, { confirmed: true, confirmedVersion: 7n, config: undefined })
  stop.abort()
  fixture.feed.dispose()
})

tap.t.test('a stream reports at once that no quorum confirms', async (t) => {
  const fixture = new FeedFixture()
  const stop = new AbortController()
  const first = fixture.follow(stop).next()
  await async.sleep(2)
  const second = fixture.follow(stop).next()
  fixture.reads[0]!.reject(new Error('no quorum'))
  t.match((await first).value, { confirmed: false })
  t.match((await second).value, { confirmed: false })
  stop.abort()
  fixture.feed.dispose()
})

tap.t.test('the first round that no quorum confirms is logged with its reason, and the first confirmation after it', async (t) => {
  const fixture = new FeedFixture()
  const stop = new AbortController()
  const stream = fixture.follow(stop)
  stream.next()
  for (let round = 0; round < 3; round++) {
    while (fixture.reads.length === round) await async.sleep(2)
    if (round < 2) fixture.reads[round]!.reject(new Error('no leader is known'))
    else fixture.reads[round]!.resolve(1)
  }
  await async.sleep(2)
  t.match(fixture.decisions, [
    { event: 'config-confirmation', choice: 'failed', why: 'no leader is known' },
    { event: 'config-confirmation', choice: 'recovered', failures: 2 }
  ])
  t.equal(fixture.decisions.length, 2)
  stop.abort()
  fixture.feed.dispose()
})

const openingStreamCount = 40
/** Updates on a stream in the time that the test takes: the first one, and one when a quorum confirms or no longer does. */
const maxUpdatesPerStream = 2

/** Opens streams one after another; returns the number of updates on all of them. */
async function countUpdates (fixture: FeedFixture, endRead: (read: async.Deferred<number>) => void): Promise<number> {
  const stop = new AbortController()
  let updateCount = 0
  const receive = async (): Promise<void> => {
    const stream = fixture.follow(stop)
    while ((await stream.next()).done !== true) updateCount++
  }
  for (let i = 0; i < openingStreamCount; i++) {
    receive()
    await async.nextTurn()
    fixture.reads.forEach(endRead)
    await async.nextTurn()
  }
  stop.abort()
  fixture.feed.dispose()
  return updateCount
}

tap.t.test('streams that open while no quorum confirms do not cause updates on each other', async (t) => {
  const updateCount = await countUpdates(new FeedFixture(), (read) => read.reject(new Error('no quorum')))
  t.ok(updateCount <= openingStreamCount * maxUpdatesPerStream, `${updateCount} updates on ${openingStreamCount} streams`)
})

tap.t.test('streams that open while a quorum confirms do not cause updates on each other', async (t) => {
  const updateCount = await countUpdates(new FeedFixture(), (read) => read.resolve(1))
  t.ok(updateCount <= openingStreamCount * maxUpdatesPerStream, `${updateCount} updates on ${openingStreamCount} streams`)
})

tap.t.test('messages of the log are not delayed until all of many streams have a new version', async (t) => {
  const streamCount = 313
  const maxUpdatesPerTurn = 32
  const fixture = new FeedFixture()
  const stop = new AbortController()
  const received = new Set<number>()
  for (let i = 0; i < streamCount; i++) fixture.follow(stop).next().then(() => received.add(i))
  await async.sleep(2)
  for (const read of fixture.reads) read.resolve(1)
  const countByTurn = [0]
  while (received.size < streamCount) {
    await async.nextTurn()
    for (const read of fixture.reads) read.resolve(1)
    countByTurn.push(received.size)
  }
  const largest = Math.max(...countByTurn.slice(1).map((count, i) => count - countByTurn[i]!))
  t.ok(largest <= maxUpdatesPerTurn, `${largest} updates in one turn`)
  stop.abort()
  fixture.feed.dispose()
})

tap.t.test('a stream carries the evacuations in its first update, so that an instance has them with its first confirmation, and at once after a change', async (t) => {
  const fixture = new FeedFixture()
  const stop = new AbortController()
  fixture.evacuations.apply([{ failureDomain: 'a', active: true }] as inner.Evacuation[], 12)
  const stream = fixture.follow(stop)
  const first = stream.next()
  await async.sleep(2)
  fixture.reads[0]!.resolve(1)
  t.match((await first).value, { confirmed: true, evacuations: { revision: 12n, failureDomains: ['a'] } })
  const second = stream.next()
  await async.sleep(2)
  fixture.evacuations.apply([{ failureDomain: 'b', active: true }] as inner.Evacuation[], 15)
  fixture.applied.fire(15)
  t.ok(await async.settlesWithin(second, earlyUpdateLimitMs))
  t.match((await second).value, { config: undefined, evacuations: { revision: 15n, failureDomains: ['a', 'b'] } })
  t.match((await stream.next()).value, { evacuations: undefined }, 'sent once')
  stop.abort()
  fixture.feed.dispose()
})

/** Waits for the round with the given number, and ends it. */
async function endRound (fixture: FeedFixture, round: number, end: (read: async.Deferred<number>) => void): Promise<void> {
  while (fixture.reads.length <= round) await async.sleep(2)
  end(fixture.reads[round]!)
  await async.sleep(2)
}

// Guards against a lease on API keys that lasts too long: the age must not count from the end of a round, and a suspended replica must not report a small one.
tap.t.test('a confirmation has the version of the last round that succeeded, and the time since its start', async (t) => {
  const fixture = new FeedFixture()
  t.throws(() => fixture.feed.reportConfirmation(), { message: 'no quorum has confirmed the configuration yet' })
  t.equal(fixture.reads.length, 0, 'a request starts no round')
  const roundMs = 60
  while (fixture.reads.length === 0) await async.sleep(2)
  t.throws(() => fixture.feed.reportConfirmation(), errors.RackError, 'during the first round')
  await async.sleep(roundMs)
  await endRound(fixture, 0, (read) => read.resolve(1))
  const first = fixture.feed.reportConfirmation()
  t.equal(first.version, 7)
  t.ok(first.ageMs >= roundMs, `${first.ageMs} ms`)
  fixture.suspendedMs += 5000
  const { ageMs } = fixture.feed.reportConfirmation()
  t.ok(ageMs >= first.ageMs + 5000, `${ageMs} ms`)
  fixture.state.config = { version: 8 }
  await endRound(fixture, 1, (read) => read.reject(new Error('no quorum')))
  const afterFailure = fixture.feed.reportConfirmation()
  t.equal(afterFailure.version, 7, 'a version that no quorum has confirmed is not reported')
  t.ok(afterFailure.ageMs >= ageMs)
  await endRound(fixture, 2, (read) => read.resolve(1))
  const second = fixture.feed.reportConfirmation()
  t.equal(second.version, 8)
  t.ok(second.ageMs < 5000, 'a suspension or a jump of the time of day counts for one round only')
  fixture.feed.dispose()
})
