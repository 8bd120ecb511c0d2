/** Tests which endpoints an entry instance sends to a hub at first, since many instances would send the same ones. */
import * as connect from '@connectrpc/connect'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as endpointTable from '../common/endpointTable.js'
import * as memberTable from '../common/memberTable.js'
import * as suspectTable from '../common/suspectTable.js'
import * as configFollower from '../node/configFollower.js'
import * as peerMesh from '../node/peerMesh.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
const address = '127.118.0.10:17480'

/** The mesh of a process, with three endpoints in its table unless it knows none. */
class MeshFixture implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  readonly mesh: peerMesh.PeerMesh

  constructor (role: 'hub' | 'spoke', knownEndpoints: readonly string[]) {
    const systemClock = new clock.SystemClock()
    const endpoints = this.disposables.add(new endpointTable.EndpointTable(systemClock))
    knownEndpoints.forEach((endpoint, i) => {
      endpoints.apply({ endpoint, service: 's', address: `10.0.0.${i}:80`, failureDomain: 'a', slots: 1, connectionLimit: 1, state: 'ready', load: 0, incarnation: 1, sequence: 1, leaseMs: 60_000 }, 0)
    })
    endpoints.markLeaving('leaving', 1)
    endpoints.recordNamedLimit('limited', 1, 5, systemClock.now())
    const tables = {
      endpoints,
      members: this.disposables.add(new memberTable.MemberTable(systemClock, role, role === 'hub')),
      suspects: this.disposables.add(new suspectTable.SuspectTable(systemClock)),
      configs: this.disposables.add(new configFollower.ConfigFollower(role, [], identity, new decisionLog.NullDecisionLog()))
    }
    const self = { instance: role, address: '127.0.0.1:1', failureDomain: 'a', incarnation: 1, role } as const
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(self, [], identity, tables, this.disposables.add(new pauseDetector.PauseDetector()), new decisionLog.NullDecisionLog()))
  }

  dispose (): void {
    this.disposables.dispose()
  }
}

/** Returns the ids of the endpoints in the first update to a subscriber. */
async function firstEndpoints ({ mesh }: MeshFixture, knowsEndpoints: boolean): Promise<readonly string[]> {
  const client = connect.createClient(inner.EntryPeer, connect.createRouterTransport((router) => mesh.registerRpc(router)))
  const stop = new AbortController()
  const updates = client.subscribe({ knowsEndpoints }, { signal: stop.signal })[Symbol.asyncIterator]()
  const { value: first } = await updates.next() as IteratorYieldResult<inner.PeerUpdate>
  stop.abort()
  return first.announcements.map(({ endpointId }) => endpointId)
}

tap.t.test('hundreds of entry instances do not send a hub the endpoints that it knows, only what their responses stated', async (t) => {
  const spoke = new MeshFixture('spoke', ['ready', 'leaving', 'limited'])
  t.teardown(() => spoke.dispose())
  t.same(await firstEndpoints(spoke, true), ['leaving', 'limited'])
  t.same(await firstEndpoints(spoke, false), ['ready', 'leaving', 'limited'], 'to a hub that knows none, or an earlier build')
  const hub = new MeshFixture('hub', ['ready', 'leaving', 'limited'])
  t.teardown(() => hub.dispose())
  t.same(await firstEndpoints(hub, true), ['ready', 'leaving', 'limited'], 'a hub sends all')
})

tap.t.test('a hub states whether it knows endpoints when it subscribes', async (t) => {
  const stated: boolean[] = []
  const subscribed = new async.Signal()
  const peer = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.EntryPeer, {
      subscribe: async function * (req, context) {
        stated.push(req.knowsEndpoints)
        subscribed.notify()
        yield {}
        await async.sleep(10_000, context.signal)
      }
    })
  })
  t.teardown(() => peer.dispose())
  await peer.listen(address)
  for (const endpoints of [[], ['ready']]) {
    const hub = new MeshFixture('hub', endpoints)
    t.teardown(() => hub.dispose())
    const isSubscribed = subscribed.wait(10_000)
    hub.mesh.addSeeds([address])
    await isSubscribed
  }
  t.same(stated, [false, true])
})
