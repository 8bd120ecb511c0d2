/** Tests when the streams of the configuration feed report that a quorum confirmed the configuration. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as configFeed from '../node/configFeed.js'
import type * as replica from '../node/replica.js'

/** A feed whose confirmation rounds end when the test resolves or rejects their reads. */
class FeedFixture {
  readonly reads: Array<async.Deferred<number>> = []
  readonly feed: configFeed.ConfigFeed

  constructor () {
    const source = {
      onApplied: new event.Emitter<number>().event,
      waitUntilApplied: async () => {},
      state: { config: { version: 7 }, configJson: '{}' }
    }
    this.feed = new configFeed.ConfigFeed(source as unknown as replica.Replica, async () => {
      const read = new async.Deferred<number>()
      this.reads.push(read)
      return await read.promise
    })
  }

  follow (stop: AbortController): AsyncGenerator<inner.FollowRes> {
    return this.feed.follow({ instance: 'entry', knownVersion: 0 } as inner.FollowReq, stop.signal)
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
  t.match((await first).value, { confirmed: true, confirmedVersion: 7, config: { version: 7 } })
  await async.sleep(2)
  t.equal(fixture.reads.length, 2, 'the next round began at once')
  fixture.reads[1]!.resolve(1)
  t.match((await second).value, { confirmed: true, confirmedVersion: 7, config: { version: 7 } })
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
