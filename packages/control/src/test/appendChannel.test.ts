/** Tests when an unanswered append request closes its connection, and to which request a late response belongs. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import * as appendChannel from '../node/appendChannel.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
const address = '127.118.0.11:17490'
/** Time in which an unanswered request is given up. */
const shortMs = 100
/** Time in which a new connection may stay without a response. */
const firstResponseMs = 1500
const longMs = 20_000

/** A replica that responds when the test lets it. */
class HeldReplica {
  streamCount = 0
  readonly received = new async.Signal()
  private released = new async.Deferred<void>()
  private readonly listener = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    const open = (): number => ++this.streamCount
    const respond = async (): Promise<void> => await this.released.promise
    const received = (): void => this.received.notify()
    router.service(inner.ControlReplica, {
      append: async function * (reqs) {
        open()
        for await (const { prevIndex } of reqs) {
          received()
          await respond()
          yield { success: true, lastIndex: prevIndex }
        }
      }
    })
  })

  readonly link = new peerLink.PeerLink(inner.ControlReplica, address, identity)

  async listen (): Promise<void> {
    await this.listener.listen(address)
  }

  /** Lets all requests be answered. */
  release (): void {
    this.released.resolve()
  }

  /** Answers no request from now on. */
  hold (): void {
    this.released = new async.Deferred()
  }

  dispose (): void {
    this.link.dispose()
    this.listener.dispose()
  }
}

function createReq (index: number): inner.AppendReq {
  return protobuf.create(inner.AppendReqSchema, { term: 1, prevIndex: BigInt(index) })
}

tap.t.test('a busy replica that responds late for the first time is not connected to again and again', async (t) => {
  const replica = new HeldReplica()
  t.teardown(() => replica.dispose())
  await replica.listen()
  const channel = new appendChannel.AppendChannel(replica.link, longMs)
  const isReceived = replica.received.wait(longMs)
  const sentAfter = performance.now()
  await t.rejects(channel.append(createReq(1), shortMs))
  const sentBefore = performance.now()
  await isReceived
  replica.release()
  const late = await channel.append(createReq(2), longMs)
  t.equal(replica.streamCount, 1)
  t.same([late.req.prevIndex, late.res.lastIndex], [1n, 1n], 'the response is that to the first request')
  t.ok(late.sentAt >= sentAfter && late.sentAt < sentBefore, 'and counts from the time at which that was sent')
  t.equal((await channel.append(createReq(3), longMs)).res.lastIndex, 3n)
})

tap.t.test('a connection that has had responses is replaced after one timeout, a new one after its own', async (t) => {
  const replica = new HeldReplica()
  t.teardown(() => replica.dispose())
  await replica.listen()
  const channel = new appendChannel.AppendChannel(replica.link, firstResponseMs)
  replica.release()
  await channel.append(createReq(1), longMs)
  replica.hold()
  await t.rejects(channel.append(createReq(2), shortMs))
  const isReceived = replica.received.wait(longMs)
  await t.rejects(channel.append(createReq(3), shortMs))
  await isReceived
  t.equal(replica.streamCount, 2, 'the silent connection was replaced')
  await async.sleep(firstResponseMs)
  await t.rejects(channel.append(createReq(4), shortMs))
  replica.release()
  t.equal((await channel.append(createReq(5), longMs)).res.lastIndex, 5n)
  t.equal(replica.streamCount, 3, 'so was the new one, which never had a response')
})
