/** Tests which control replica an entry instance asks for a confirmation of its configuration, and what it learns from the response. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as configFollower from '../node/configFollower.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
const port = 17_433
/** Longer than the time limit of a call, and shorter than that of a stream. */
const stalledMs = 2000
const callLimitMs = 1500

// Guards against a lease on API keys that is lost with one replica, and against a stream that is closed because a call on its connection took long.
tap.t.test('replicas with a stream are asked first, the others in turn, and a stalled one fails without an end of its stream', async (t) => {
  let isStalled = false
  const opened = { streams: 0 }
  const replicas = await Promise.all([1, 2, 3].map(async (number) => {
    const replica = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
      router.service(inner.ControlReplica, {
        follow: async function * (_req, context) {
          opened.streams++
          while (!context.signal.aborted) {
            yield { confirmed: true }
            await async.sleep(200, context.signal)
          }
        },
        confirm: async () => {
          if (number === 3) throw new errors.RackError({ kind: 'no-quorum', message: 'no quorum' })
          if (isStalled) await async.sleep(stalledMs)
          return { version: BigInt(number), ageMs: 100 * number }
        }
      })
    })
    await replica.listen(`127.77.0.${number}:${port}`)
    return replica
  }))
  // The second stream goes to the first replica of another failure domain.
  const addresses = [{ address: `127.77.0.1:${port}`, failureDomain: 'a' }, { address: `127.77.0.3:${port}`, failureDomain: 'a' }, { address: `127.77.0.2:${port}`, failureDomain: 'b' }]
  const follower = new configFollower.ConfigFollower('entry', addresses, identity, new decisionLog.NullDecisionLog())
  await follower.start()
  while (opened.streams < 2) await async.sleep(10)
  for (const [turn, expected] of [[0, { version: 1, ageMs: 100 }], [1, { version: 2, ageMs: 200 }], [3, { version: 1, ageMs: 100 }]] as const) {
    t.same(await follower.requestConfirmation(turn), expected, `turn ${turn}`)
  }
  await t.rejects(follower.requestConfirmation(2), { message: 'no quorum' })
  isStalled = true
  const startedAt = performance.now()
  await t.rejects(follower.requestConfirmation(0))
  t.ok(performance.now() - startedAt < callLimitMs)
  t.equal(opened.streams, 2, 'the stream goes on')
  follower.dispose()
  for (const replica of replicas) replica.dispose()
})
