/** When followers are told that a quorum confirmed the configuration. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as configFeed from '../node/configFeed.js'
import type * as replica from '../node/replica.js'

/** Replica whose rounds end when the test says so. */
class Rounds {
  readonly reads: Array<async.Deferred<number>> = []
  readonly feed: configFeed.ConfigFeed

  constructor () {
    const source = {
      onApplied: new event.Emitter<number>().event,
      waitApplied: async () => {},
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

tap.t.test('a follower that comes during a round is confirmed by the next one, without a wait', async (t) => {
  const rounds = new Rounds()
  const stop = new AbortController()
  const first = rounds.follow(stop).next()
  await async.sleep(2)
  const second = rounds.follow(stop).next()
  await async.sleep(2)
  t.equal(rounds.reads.length, 1, 'one round at a time')
  rounds.reads[0]!.resolve(1)
  t.match((await first).value, { confirmed: true, confirmedVersion: 7, config: { version: 7 } })
  await async.sleep(2)
  t.equal(rounds.reads.length, 2, 'the round after it began at once')
  rounds.reads[1]!.resolve(1)
  t.match((await second).value, { confirmed: true, confirmedVersion: 7, config: { version: 7 } })
  stop.abort()
  rounds.feed.dispose()
})

tap.t.test('a follower is told at once that no quorum confirms', async (t) => {
  const rounds = new Rounds()
  const stop = new AbortController()
  const first = rounds.follow(stop).next()
  await async.sleep(2)
  const second = rounds.follow(stop).next()
  rounds.reads[0]!.reject(new Error('no quorum'))
  t.match((await first).value, { confirmed: false })
  t.match((await second).value, { confirmed: false })
  stop.abort()
  rounds.feed.dispose()
})
