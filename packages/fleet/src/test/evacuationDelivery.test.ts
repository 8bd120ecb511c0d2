/** Tests that an instance has the evacuations before its first confirmation, over either kind of stream, and passes them on. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as endpointTable from '../common/endpointTable.js'
import * as evacuationTable from '../common/evacuationTable.js'
import * as memberTable from '../common/memberTable.js'
import * as suspectTable from '../common/suspectTable.js'
import * as configFollower from '../node/configFollower.js'
import type * as meshTables from '../node/meshTables.js'
import * as peerMesh from '../node/peerMesh.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
const systemClock = new clock.SystemClock()
const limitMs = 3000
/** Less than the interval of heartbeats. */
const atOnceMs = 500

/** A process of the mesh with its evacuations. */
class Member implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  readonly evacuations = this.disposables.add(new evacuationTable.EvacuationTable(systemClock))
  readonly endpoints = this.disposables.add(new endpointTable.EndpointTable(systemClock, this.evacuations))
  private readonly mesh: peerMesh.PeerMesh

  constructor (readonly address: string, role: meshTables.MeshRole, seeds: readonly string[]) {
    const tables = {
      members: this.disposables.add(new memberTable.MemberTable(systemClock, address, role === 'hub')),
      endpoints: this.endpoints,
      suspects: this.disposables.add(new suspectTable.SuspectTable(systemClock)),
      configs: this.disposables.add(new configFollower.ConfigFollower(address, [], identity, new decisionLog.NullDecisionLog())),
      evacuations: this.evacuations
    }
    const self = { instance: address, address, failureDomain: 'a', incarnation: 1, role }
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(self, seeds, identity, tables, this.disposables.add(new pauseDetector.PauseDetector()), new decisionLog.NullDecisionLog()))
    const listener = this.disposables.add(new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => this.mesh.registerRpc(router)))
    listener.listen(address).then(() => this.mesh.start())
  }

  /** Waits until a revision is known; returns whether it was in time. */
  async knows (revision: number, withinMs: number): Promise<boolean> {
    const deadline = performance.now() + withinMs
    while (this.evacuations.revision < revision && performance.now() < deadline) await async.sleep(5)
    return this.evacuations.revision >= revision
  }

  dispose (): void {
    this.disposables.dispose()
  }
}

tap.t.test('the stream of a control replica brings the evacuations before the first confirmation', async (t) => {
  const address = '127.118.7.1:17455'
  const replica = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      follow: async function * (_req, context) {
        yield { confirmed: true, confirmedVersion: 1n, config: { version: 1n, documentJson: '{"lanes":{}}' }, evacuations: { revision: 4n, failureDomains: ['a'] } }
        await async.sleep(limitMs, context.signal)
      }
    })
  })
  await replica.listen(address)
  const evacuations = new evacuationTable.EvacuationTable(systemClock)
  const follower = new configFollower.ConfigFollower('entry', [{ address }], identity, new decisionLog.NullDecisionLog(), evacuations)
  let revisionAtConfig = -1
  follower.onChanged(() => { revisionAtConfig = evacuations.revision })
  follower.start()
  t.ok(await follower.waitForConfirmation(limitMs))
  t.same([revisionAtConfig, evacuations.all], [4, ['a']])
  follower.dispose()
  replica.dispose()
})

for (const role of ['hub', 'peer'] as const) {
  tap.t.test(`a ${role} tells a new subscriber the evacuations, and each change at once`, async (t) => {
    const number = role === 'hub' ? 2 : 3
    const sender = new Member(`127.118.7.${number}:17456`, role, [])
    sender.evacuations.apply({ revision: 4n, failureDomains: ['a'] })
    const receiver = new Member(`127.118.7.${number}:17457`, role === 'hub' ? 'spoke' : 'peer', [sender.address])
    t.ok(await receiver.knows(4, limitMs))
    sender.evacuations.apply({ revision: 6n, failureDomains: [] })
    t.ok(await receiver.knows(6, atOnceMs))
    t.same(receiver.evacuations.all, [])
    receiver.dispose()
    sender.dispose()
  })
}
