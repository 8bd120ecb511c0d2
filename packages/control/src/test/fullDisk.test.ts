/** A replica whose disk is full stays up, gives its leadership back and takes neither votes nor entries until there is room. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'

/** Holds everything in memory; full at the test's word. */
class MemoryStorage implements replicaStorage.IReplicaStorage {
  private readonly fullEmitter = new event.Emitter<boolean>()
  readonly onFullChanged = this.fullEmitter.event
  isFull = false

  setFull (isFull: boolean): void {
    this.isFull = isFull
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

async function leader (): Promise<{ readonly storage: MemoryStorage, readonly member: replica.Replica }> {
  const storage = new MemoryStorage()
  const options = { address: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', failureDomain: 'a', electionTimeoutMs: 400, heartbeatMs: 100, snapshotEvery: 1000 }
  const member = new replica.Replica(options, storage, {} as unknown as replicaLinks.ReplicaLinks, new decisionLog.NullDecisionLog())
  await member.load()
  await member.found()
  const term = member.term + 1
  await member.becomeCandidate(term)
  await member.becomeLeader(term)
  return { storage, member }
}

async function faultKind (promise: Promise<unknown>): Promise<string> {
  return await promise.then(() => 'none', (err: unknown) => errors.faultOf(err).kind)
}

tap.t.test('a leader whose disk is full gives its leadership back', async (t) => {
  const { storage, member } = await leader()
  t.same([member.role, member.mayStand], ['leader', true])
  storage.setFull(true)
  t.same([member.role, member.mayStand], ['follower', false])
  storage.setFull(false)
  t.equal(member.mayStand, true)
  member.dispose()
})

tap.t.test('votes and entries are refused at once while the disk is full', async (t) => {
  const { storage, member } = await leader()
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
