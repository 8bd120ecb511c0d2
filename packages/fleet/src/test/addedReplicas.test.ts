/** Tests that claims and streams reach control replicas that were not known at the start. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as configFollower from '../node/configFollower.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
/** Nothing listens there. */
const lostAddress = '127.118.0.6:17456'
const address = '127.118.0.6:17457'
const limitMs = 2000

async function listenAsReplica (): Promise<innerListener.InnerListener> {
  const listener = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      follow: async function * (_req, context) {
        yield { confirmed: true }
        await async.sleep(limitMs, context.signal)
      },
      claim: () => ({ granted: true })
    })
  })
  await listener.listen(address)
  return listener
}

tap.t.test('claims and streams go to a replica that took the place of the only seed', async (t) => {
  const replica = await listenAsReplica()
  const follower = new configFollower.ConfigFollower('entry', [{ address: lostAddress }], identity, new decisionLog.NullDecisionLog())
  follower.start()
  await t.rejects(follower.claim('key', 'owner'))
  follower.addReplica(address)
  follower.addReplica(address)
  t.equal(await follower.claim('key', 'owner'), true)
  t.equal(await follower.waitForConfirmation(limitMs), true)
  follower.dispose()
  replica.dispose()
})

tap.t.test('a replica that has left is not called any more, a seed is', async (t) => {
  const replica = await listenAsReplica()
  const follower = new configFollower.ConfigFollower('entry', [{ address: lostAddress }], identity, new decisionLog.NullDecisionLog())
  follower.addReplica(address)
  t.equal(await follower.claim('key', 'owner'), true)
  follower.removeReplica(address)
  await t.rejects(follower.claim('key', 'owner'))
  follower.dispose()
  const seeded = new configFollower.ConfigFollower('entry', [{ address }], identity, new decisionLog.NullDecisionLog())
  seeded.removeReplica(address)
  t.equal(await seeded.claim('key', 'owner'), true)
  seeded.dispose()
  replica.dispose()
})
