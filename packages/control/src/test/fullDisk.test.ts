/** Tests that a replica with a full disk keeps running, steps down, and refuses votes and entries until there is space. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'

/** Storage in memory that the test can set to full. */
class MemoryStorage implements replicaStorage.IReplicaStorage {
  private readonly fullEmitter = new event.Emitter<boolean>()
  readonly onDiskFullChanged = this.fullEmitter.event
  isDiskFull = false

  setFull (isFull: boolean): void {
    this.isDiskFull = isFull
    this.fullEmitter.fire(isFull)
  }

  async load (): Promise<replicaStorage.StoredReplica> {
    return { meta: protobuf.create(inner.ReplicaMetaSchema, { replicaId: 'r-1', cluster: 'c' }), snapshot: undefined, entries: [] }
  }

  async saveMeta (): Promise<void> {}
  async append (): Promise<void> {}
  async rewrite (): Promise<void> {}
  async saveSnapshot (): Promise<void> {}
  dispose (): void {}
}

/** Creates a replica that has founded a cluster and leads it. */
async function startLeader (): Promise<{ readonly storage: MemoryStorage, readonly member: replica.Replica }> {
  const storage = new MemoryStorage()
  const options = { address: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', failureDomain: 'a', electionTimeoutMs: 400, heartbeatMs: 100, snapshotEvery: 1000 }
  const member = new replica.Replica(options, storage, {} as unknown as replicaLinks.ReplicaLinks, new decisionLog.NullDecisionLog())
  await member.load()
  await member.foundCluster()
  const term = member.term + 1
  await member.becomeCandidate(term)
  await member.becomeLeader(term)
  return { storage, member }
}

async function faultKind (promise: Promise<unknown>): Promise<string> {
  return await promise.then(() => 'none', (err: unknown) => errors.faultOf(err).kind)
}

tap.t.test('a leader whose disk is full steps down', async (t) => {
  const { storage, member } = await startLeader()
  t.same([member.role, member.canStartElection], ['leader', true])
  storage.setFull(true)
  t.same([member.role, member.canStartElection], ['follower', false])
  storage.setFull(false)
  t.equal(member.canStartElection, true)
  member.dispose()
})

tap.t.test('refuses votes and entries at once while the disk is full', async (t) => {
  const { storage, member } = await startLeader()
  storage.setFull(true)
  const toReplicaId = member.replicaId
  const vote = protobuf.create(inner.VoteReqSchema, { toReplicaId, term: 9, candidateId: 'r-2' })
  const append = protobuf.create(inner.AppendReqSchema, { toReplicaId, term: 9, leaderId: 'r-2' })
  const install = protobuf.create(inner.InstallSnapshotReqSchema, { toReplicaId, term: 9, leaderId: 'r-2' })
  for (const refused of [member.handleVote(vote), member.handleAppend(append), member.handleInstallSnapshot(install)]) {
    t.equal(await faultKind(refused), 'disk-failure')
  }
  storage.setFull(false)
  t.equal((await member.handleAppend(append)).term, 9)
  member.dispose()
})
