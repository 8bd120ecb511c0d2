/** Tests that a proposal that fails neither ends the process nor keeps the leader from writing others. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as logEntry from '../common/logEntry.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'
import * as recordedDecisions from './recordedDecisions.js'
import * as virtualTime from './virtualTime.js'

/** Time within which a proposal must be committed. */
const commitTimeoutMs = 5000

/** Storage in memory that encodes entries like the storage on disk, and fails or stalls when the test says so. */
class FailingStorage implements replicaStorage.IReplicaStorage {
  readonly isDiskFull = false
  isFailing = false
  isStalled = false
  readonly records: Uint8Array[] = []

  onDiskFullChanged (): { dispose: () => void } {
    return { dispose: () => {} }
  }

  async load (): Promise<replicaStorage.StoredReplica> {
    return { meta: protobuf.create(inner.ReplicaMetaSchema, { replicaId: 'r-1', cluster: 'c' }), snapshot: undefined, entries: [] }
  }

  async append (entries: readonly logEntry.LogEntry[]): Promise<void> {
    if (this.isFailing) throw new errors.RackError({ kind: 'disk-failure', message: 'no write' })
    if (this.isStalled) await new Promise(() => {})
    this.records.push(logEntry.encodeBatch(entries))
  }

  async saveMeta (): Promise<void> {}
  async rewrite (): Promise<void> {}
  async saveSnapshot (): Promise<void> {}
  dispose (): void {}
}

/** A replica that is the only one of its cluster, and leads it. */
class LeaderFixture {
  readonly storage = new FailingStorage()
  readonly decisions = new recordedDecisions.RecordedDecisions()
  readonly member: replica.Replica

  constructor () {
    const options = { address: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', failureDomain: 'a', electionTimeoutMs: 400, heartbeatMs: 100, snapshotEvery: 1000 }
    this.member = new replica.Replica(options, this.storage, {} as unknown as replicaLinks.ReplicaLinks, this.decisions)
  }

  reasonsOf (event: string): readonly unknown[] {
    return this.decisions.decisions.filter((each) => each.event === event).map(({ why }) => why)
  }

  async start (): Promise<void> {
    await this.member.load()
    await this.member.foundCluster()
    const term = this.member.term + 1
    await this.member.becomeCandidate(term)
    await this.member.becomeLeader(term)
  }

  async claim (key: string): Promise<unknown> {
    return await this.member.leadership!.propose({ case: 'claims', value: protobuf.create(inner.ClaimKeysSchema, { keys: [key], owners: ['x'] }) })
  }
}

async function faultKind (promise: Promise<unknown>): Promise<string> {
  return await promise.then(() => 'none', (err: unknown) => errors.faultOf(err).kind)
}

// Guards against leaders that end one after the other, each with the change that is sent again.
tap.t.test('a command that cannot be encoded is refused, and those beside it are written', async (t) => {
  const fixture = new LeaderFixture()
  await fixture.start()
  const departures = protobuf.create(inner.DeparturesSchema, { announcements: [{ endpointId: 'e', slots: -1 }] })
  const [before, refused, after] = await Promise.allSettled([
    fixture.claim('before'),
    fixture.member.leadership!.propose({ case: 'departures', value: departures }),
    fixture.claim('after')
  ])
  t.match([before, after], [{ value: { granted: [true] } }, { value: { granted: [true] } }])
  t.equal(errors.faultOf((refused as PromiseRejectedResult).reason).kind, 'bad-request')
  t.match(await fixture.claim('later'), { granted: [true] })
  t.same(fixture.storage.records.flatMap(logEntry.decodeBatch).map(({ index }) => index), [1, 2, 3, 4], 'no gap in the log on disk')
  fixture.member.dispose()
})

tap.t.test('a leader that cannot write its log steps down with a reason', async (t) => {
  const fixture = new LeaderFixture()
  await fixture.start()
  await fixture.claim('before')
  fixture.storage.isFailing = true
  t.not(await faultKind(fixture.claim('lost')), 'none')
  t.equal(fixture.member.role, 'follower')
  t.match(fixture.reasonsOf('control-step-down'), [/no write/])
  fixture.member.dispose()
})

tap.t.test('a leader logs that its first entry is not committed in time, or not before its leadership ends', async (t) => {
  const time = new virtualTime.VirtualTime()
  const stalled = new LeaderFixture()
  stalled.storage.isStalled = true
  await stalled.start()
  const failing = new LeaderFixture()
  failing.storage.isFailing = true
  await failing.start()
  await time.runUntil(commitTimeoutMs - 1)
  t.same(stalled.reasonsOf('control-first-entry'), [])
  t.match(failing.reasonsOf('control-first-entry'), [/leadership was lost/])
  await time.runUntil(commitTimeoutMs + 1)
  t.match(stalled.reasonsOf('control-first-entry'), [/not committed by a quorum within 5000 ms/])
  stalled.member.dispose()
  failing.member.dispose()
  await time.dispose()
})

tap.t.test('a leader whose first entry is committed logs no failure', async (t) => {
  const fixture = new LeaderFixture()
  await fixture.start()
  await fixture.claim('later')
  fixture.member.dispose()
  t.same(fixture.reasonsOf('control-first-entry'), [])
})
