/** Tests a replica with an entry or a snapshot that its build can't apply, such as a document with fields of a newer build. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as logEntry from '../common/logEntry.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'
import * as virtualTime from './virtualTime.js'

const term = 4
const leaderId = 'r-2'
const readableJson = '{"lanes":{}}'
const unreadableJson = '{"lanes":{},"fieldOfNewerBuild":1}'
const applyTimeoutMs = 400
const membership = protobuf.create(inner.MembershipSchema, {
  replicas: ['r-1', leaderId].map((id) => ({ id, address: `${id}:1`, operatorAddress: '', failureDomain: 'a', voter: true }))
})

/** Storage in memory that counts the snapshots that it is given. */
class MemoryStorage implements replicaStorage.IReplicaStorage {
  readonly isDiskFull = false
  readonly onDiskFullChanged = new event.Emitter<boolean>().event
  snapshotCount = 0

  async load (): Promise<replicaStorage.StoredReplica> {
    const meta = protobuf.create(inner.ReplicaMetaSchema, { replicaId: 'r-1', cluster: 'c', term, founded: true })
    return { meta, snapshot: undefined, entries: [{ index: 1, term, command: { case: 'membership', value: membership } }] }
  }

  async saveMeta (): Promise<void> {}
  async append (): Promise<void> {}
  async rewrite (): Promise<void> {}
  async saveSnapshot (): Promise<void> { this.snapshotCount++ }
  dispose (): void {}
}

/** A replica that receives entries from a leader. */
class Follower {
  readonly storage = new MemoryStorage()
  readonly decisions: decisionLog.Decision[] = []
  readonly replica: replica.Replica

  constructor () {
    const options = { address: 'r-1:1', operatorAddress: '', failureDomain: 'a', electionTimeoutMs: applyTimeoutMs, heartbeatMs: 100, snapshotEvery: 1000 }
    const log = { record: (decision: decisionLog.Decision) => this.decisions.push(decision) } as unknown as decisionLog.IDecisionLog
    this.replica = new replica.Replica(options, this.storage, {} as unknown as replicaLinks.ReplicaLinks, log)
  }

  get loggedFailures (): number {
    return this.decisions.filter(({ event: name }) => name === 'apply-failed').length
  }

  /** Appends a document and commits it. */
  async receive (index: number, documentJson: string): Promise<inner.AppendRes> {
    const command = { case: 'put', value: protobuf.create(inner.PutConfigSchema, { version: BigInt(index), documentJson }) } as const
    return await this.replica.handleAppend(protobuf.create(inner.AppendReqSchema, {
      toReplicaId: 'r-1', term, leaderId, prevIndex: BigInt(index - 1), prevTerm: term, commitIndex: BigInt(index), entries: [logEntry.encodeEntry({ index, term, command })]
    }))
  }

  async install (index: number, documentJson: string): Promise<void> {
    const snapshot = protobuf.create(inner.SnapshotSchema, { index: BigInt(index), term, membership, version: BigInt(index), documentJson })
    await this.replica.handleInstallSnapshot(protobuf.create(inner.InstallSnapshotReqSchema, { toReplicaId: 'r-1', term, leaderId, snapshot }))
  }
}

async function faultKind (promise: Promise<unknown>): Promise<string> {
  return await promise.then(() => 'none', (err: unknown) => errors.faultOf(err).kind)
}

tap.t.test('an entry that can\'t be applied is stored, but neither it nor a later one counts as applied', async (t) => {
  const time = new virtualTime.VirtualTime()
  const follower = new Follower()
  const { replica: member } = follower
  await member.load()
  await follower.receive(2, readableJson)
  t.equal((await follower.receive(3, unreadableJson)).success, true)
  t.equal((await follower.receive(4, readableJson)).success, true)
  t.same([member.commitIndex, member.state.config.version, member.log.last.index], [2, 2, 4])
  const wait = faultKind(member.waitUntilApplied(3))
  await time.runUntil(applyTimeoutMs)
  t.equal(await wait, 'no-quorum', 'no read at this index is confirmed')
  t.equal(follower.loggedFailures, 1, 'logged once')
  t.equal(member.canStartElection, false, 'it could not serve as leader')
  member.dispose()
  await time.dispose()
})

tap.t.test('a snapshot after the entry lets the replica go on', async (t) => {
  const follower = new Follower()
  const { replica: member } = follower
  await member.load()
  await follower.receive(2, unreadableJson)
  await follower.install(2, readableJson)
  await follower.receive(3, readableJson)
  t.same([member.commitIndex, member.state.config.version, member.canStartElection], [3, 3, true])
  t.match(follower.decisions.at(-1), { event: 'apply-resumed' })
  member.dispose()
})

tap.t.test('a snapshot that can\'t be read leaves log and state as they are', async (t) => {
  const follower = new Follower()
  const { replica: member } = follower
  await member.load()
  await follower.receive(2, readableJson)
  t.equal(await faultKind(follower.install(9, unreadableJson)), 'corrupt-record')
  t.equal(await faultKind(follower.install(9, unreadableJson)), 'corrupt-record')
  t.same([member.commitIndex, member.state.config.version, member.log.last.index, follower.storage.snapshotCount], [2, 2, 2, 0])
  t.equal(follower.loggedFailures, 1, 'logged once')
  member.dispose()
})

tap.t.test('a leader that can\'t apply an entry steps down', async (t) => {
  const follower = new Follower()
  const { replica: member } = follower
  await member.load()
  await follower.receive(2, readableJson)
  const own = protobuf.create(inner.MembershipSchema, { replicas: membership.replicas.slice(0, 1) })
  await member.handleAppend(protobuf.create(inner.AppendReqSchema, {
    toReplicaId: 'r-1', term, leaderId, prevIndex: 2n, prevTerm: term, commitIndex: 3n, entries: [logEntry.encodeEntry({ index: 3, term, command: { case: 'membership', value: own } })]
  }))
  member.stepDown(term, 'for the test')
  await member.becomeCandidate(term + 1)
  await member.becomeLeader(term + 1)
  t.equal(member.role, 'leader')
  const put = protobuf.create(inner.PutConfigSchema, { version: 9n, documentJson: unreadableJson })
  t.equal(await faultKind(member.leadership!.propose({ case: 'put', value: put })), 'unknown')
  t.same([member.role, member.canStartElection, member.state.config.version], ['follower', false, 2])
  member.dispose()
})
