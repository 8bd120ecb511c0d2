/** Tests that a call to the leader that times out doesn't end others, over real connections. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as controlService from '../node/controlService.js'
import * as refusalCounter from '../node/refusalCounter.js'
import * as replica from '../node/replica.js'
import * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
const leaderAddress = '127.118.0.4:17454'
const electionTimeoutMs = 50
/** Longer than the timeouts of the other calls, and than the time in which a connection is verified. */
const putMs = 1200
const longMs = 10_000
const serviceOptions = { groupAddresses: [], seedAddresses: [], maxReplicas: 9, tolerateLostDisks: 2 }

/** Listens as a leader that writes slowly and confirms no read. */
async function listenAsLeader (): Promise<innerListener.InnerListener> {
  const listener = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      put: async (req, context) => {
        await async.sleep(putMs, context.signal)
        return { heldVersion: req.version }
      },
      readIndex: async (_req, context) => {
        await async.sleep(longMs, context.signal)
        return {}
      }
    })
  })
  await listener.listen(leaderAddress)
  return listener
}

/** A follower that knows the leader. */
function createFollower (links: replicaLinks.ReplicaLinks): controlService.ControlService {
  const follower = {
    leadership: undefined,
    leaderReplica: { id: 'r-2', address: leaderAddress },
    replicaId: 'r-1',
    self: { address: '10.0.0.1:7200' },
    electionTimeoutMs,
    state: { config: configDocument.emptyConfig },
    monitor: { refusals: new refusalCounter.RefusalCounter() },
    links
  } as unknown as replica.Replica
  return new controlService.ControlService(follower, serviceOptions, new decisionLog.NullDecisionLog())
}

const calls: ReadonlyArray<{ readonly name: string, readonly run: (service: controlService.ControlService) => Promise<unknown> }> = [
  { name: 'a confirmation of a read', run: async (service) => await service.confirmReadIndex() },
  { name: 'another call to the leader', run: async (service) => await service.callLeader(async (client, options) => await client.readIndex({}, options), electionTimeoutMs) }
]

for (const { name, run } of calls) {
  tap.t.test(`${name} that times out does not end a change that is being forwarded`, async (t) => {
    const leader = await listenAsLeader()
    const links = new replicaLinks.ReplicaLinks(identity)
    const service = createFollower(links)
    const put = service.put({ version: 2, document: configDocument.emptyConfig.document, source: '{}' }).catch((err: unknown) => errors.messageOf(err))
    await t.rejects(run(service))
    t.equal(await put, 2)
    links.dispose()
    leader.dispose()
  })
}

tap.t.test('a replica that has not loaded its stored state reports that it knows no leader', async (t) => {
  const storage = { onDiskFullChanged: () => ({ dispose: () => {} }) } as unknown as replicaStorage.IReplicaStorage
  const options = { address: '127.118.0.4:17455', operatorAddress: '', failureDomain: 'a', electionTimeoutMs, heartbeatMs: 10, snapshotEvery: 1000 }
  const links = new replicaLinks.ReplicaLinks(identity)
  const service = new controlService.ControlService(new replica.Replica(options, storage, links, new decisionLog.NullDecisionLog()), serviceOptions, new decisionLog.NullDecisionLog())
  const err: unknown = await service.confirmReadIndex().catch((reason: unknown) => reason)
  t.match(errors.faultOf(err), { kind: 'no-quorum', message: /^no leader is known/ })
  links.dispose()
})
