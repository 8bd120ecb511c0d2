/** Tests replicas of this build beside those of earlier ones, as during an upgrade of one process after the other or a rollback. */
import * as protobuf from '@bufbuild/protobuf'
import * as connect from '@connectrpc/connect'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as rpcErrors from '@rosemaryrack/protocol/common/rpcErrors.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as logEntry from '../common/logEntry.js'
import * as replicatedState from '../common/replicatedState.js'
import * as controlService from '../node/controlService.js'
import * as election from '../node/election.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'
import * as earlierReplica from './earlierReplica.js'
import * as seededRandom from './seededRandom.js'
import * as virtualTime from './virtualTime.js'

const ownId = 'own'
const earlierIds = ['earlier-1', 'earlier-2']
const snapshotIndex = 20
const snapshotTerm = 3
const oneWayDelayMs = 1
const fastSyncMs = 5
/** Longer than the response timeout of an earlier leader. */
const slowSyncMs = 700
const limitMs = 30_000
/** More than one message contains. */
const largeSource = 'x'.repeat(3 * 1024 * 1024)
const mediumSource = 'x'.repeat(200 * 1024)
const changeCount = 30

function addressOf (id: string): string {
  return `${id}:1`
}

function createSnapshot (source = ''): inner.Snapshot {
  const state = new replicatedState.ReplicatedState()
  if (source !== '') state.apply({ index: 1, term: 1, command: createPut(1, source) })
  const replicas = [ownId, ...earlierIds].map((id) => ({ id, address: addressOf(id), operatorAddress: '', failureDomain: 'a', voter: true }))
  return state.toSnapshot(snapshotIndex, snapshotTerm, protobuf.create(inner.MembershipSchema, { replicas }))
}

function createPut (version: number, source: string): logEntry.Command {
  return { case: 'put', value: protobuf.create(inner.PutConfigSchema, { version: BigInt(version), documentJson: JSON.stringify(configDocument.emptyConfig.document), source }) }
}

/** Storage that knows up to which entry its writes have ended. */
class TrackedStorage implements replicaStorage.IReplicaStorage {
  readonly isDiskFull = false
  durableIndex = snapshotIndex
  meta: inner.ReplicaMeta = protobuf.create(inner.ReplicaMetaSchema, { replicaId: ownId, cluster: 'c', founded: true, term: snapshotTerm })

  constructor (private readonly syncMs: number, private readonly snapshot: inner.Snapshot) {}

  onDiskFullChanged (): { dispose: () => void } {
    return { dispose: () => {} }
  }

  async load (): Promise<replicaStorage.StoredReplica> {
    return { meta: this.meta, snapshot: this.snapshot, entries: [] }
  }

  async saveMeta (meta: inner.ReplicaMeta): Promise<void> {
    await async.sleep(this.syncMs)
    this.meta = meta
  }

  async append (entries: readonly logEntry.LogEntry[]): Promise<void> {
    await async.sleep(this.syncMs)
    this.durableIndex = entries.at(-1)?.index ?? this.durableIndex
  }

  async rewrite (entries: readonly logEntry.LogEntry[]): Promise<void> {
    await async.sleep(this.syncMs)
    this.durableIndex = entries.at(-1)?.index ?? snapshotIndex
  }

  async saveSnapshot (snapshot: inner.Snapshot, entriesAfter: readonly logEntry.LogEntry[]): Promise<void> {
    await async.sleep(this.syncMs)
    this.durableIndex = entriesAfter.at(-1)?.index ?? Number(snapshot.index)
  }

  dispose (): void {}
}

interface FixtureOptions {
  readonly syncMs?: number
  readonly ownSnapshot?: inner.Snapshot
  readonly earlierSyncMs?: number
  /** Snapshots of the earlier replicas. */
  readonly earlierSnapshots?: ReadonlyArray<inner.Snapshot | undefined>
}

/** One replica of this build and two earlier ones, in virtual time. */
class MixedGroup {
  private readonly time = new virtualTime.VirtualTime()
  private readonly originalRandom = Math.random
  private electionTask: election.Election | undefined
  readonly storage: TrackedStorage
  readonly earlier: readonly earlierReplica.EarlierReplica[]
  readonly member: replica.Replica
  readonly service: controlService.ControlService
  /** Replaces calls to the earlier replicas. */
  calls: Partial<Record<string, (req: never) => Promise<unknown>>> = {}

  constructor ({ syncMs = fastSyncMs, earlierSyncMs = fastSyncMs, ownSnapshot = createSnapshot(), earlierSnapshots = [createSnapshot(), createSnapshot()] }: FixtureOptions = {}) {
    Math.random = seededRandom.create(1)
    this.storage = new TrackedStorage(syncMs, ownSnapshot)
    this.earlier = earlierIds.map((id, i) => new earlierReplica.EarlierReplica(id, earlierSyncMs, earlierSnapshots[i]))
    const options = { address: addressOf(ownId), operatorAddress: '', failureDomain: 'a', electionTimeoutMs: 400, heartbeatMs: 100, snapshotEvery: 1000 }
    const decisions = new decisionLog.NullDecisionLog()
    const links = { linkTo: (address: string) => this.linkTo(address) } as unknown as replicaLinks.ReplicaLinks
    this.member = new replica.Replica(options, this.storage, links, decisions)
    this.service = new controlService.ControlService(this.member, { groupAddresses: [], seedAddresses: [], maxReplicas: 9, tolerateLostDisks: 1 }, decisions)
  }

  get now (): number {
    return this.time.now
  }

  async load (): Promise<void> {
    await this.member.load()
  }

  /** Starts the elections of the replica of this build; earlier ones only vote. */
  startElections (): void {
    this.electionTask = new election.Election(this.member)
    this.electionTask.run()
  }

  async advance (isDone: () => boolean = () => false, ms = limitMs): Promise<boolean> {
    await this.time.runUntil(this.time.now + ms, isDone)
    return isDone()
  }

  async run<T> (task: Promise<T>): Promise<T> {
    let isDone = false
    const ended = task.finally(() => { isDone = true })
    ended.catch(() => {})
    await this.advance(() => isDone)
    return await ended
  }

  async dispose (): Promise<void> {
    for (const each of this.earlier) each.dispose()
    this.electionTask?.dispose()
    this.member.dispose()
    await this.time.dispose()
    Math.random = this.originalRandom
  }

  private linkTo (address: string): replicaLinks.ReplicaLink {
    const to = this.earlier.find(({ id }) => addressOf(id) === address)!
    const known: Record<string, (req: never) => Promise<unknown>> = {
      vote: async (req: inner.VoteReq) => await to.vote(req),
      installSnapshot: async (req: inner.InstallSnapshotReq) => await to.installSnapshot(req),
      ...this.calls
    }
    const client = new Proxy({}, {
      get: (_client, name: string) => name === 'append'
        ? (reqs: AsyncIterable<inner.AppendReq>) => respondToAppends(reqs, to)
        : async (req: never) => await deliver(known[name] ?? unknownCall, req)
    }) as unknown as replicaLinks.ReplicaClient
    const call = async <T>(run: (each: replicaLinks.ReplicaClient, options: object) => Promise<T>, timeoutMs: number): Promise<T> => {
      try {
        return await async.withTimeout(run(client, {}), timeoutMs, noResponse)
      } catch (err) {
        throw new errors.RackError(rpcErrors.fromConnectError(err))
      }
    }
    return { address, client, call, reset: () => {} } as unknown as replicaLinks.ReplicaLink
  }
}

async function deliver<T> (handle: (req: never) => Promise<T>, req: never): Promise<T> {
  await async.sleep(oneWayDelayMs)
  const res = await handle(req)
  await async.sleep(oneWayDelayMs)
  return res
}

async function * respondToAppends (reqs: AsyncIterable<inner.AppendReq>, to: earlierReplica.EarlierReplica): AsyncGenerator<inner.AppendRes> {
  for await (const req of reqs) yield await deliver(async () => await to.append(req), req as never)
}

/** What a server responds to a path that it doesn't know. */
async function unknownCall (): Promise<never> {
  throw new connect.ConnectError('HTTP 404', connect.Code.Unimplemented)
}

function noResponse (): errors.RackError {
  return new errors.RackError({ kind: 'unreachable', message: 'no response in time' })
}

tap.t.test('a leader replicates changes to followers of an earlier build, also those that are too large for one message', async (t) => {
  const group = new MixedGroup()
  await group.load()
  group.startElections()
  t.ok(await group.advance(() => group.member.leadership !== undefined), 'elected by voters of an earlier build')
  const { leadership } = group.member
  const sources = [...Array.from({ length: changeCount }, (_each, i) => `${i} ${mediumSource}`), largeSource, 'last']
  for (const [i, source] of sources.entries()) await group.run(leadership!.propose(createPut(i + 1, source)))
  t.ok(await group.advance(() => group.earlier.every(({ commitIndex }) => commitIndex === group.member.commitIndex)), 'all followers know of the last commit')
  for (const each of group.earlier) t.same(each.sources.map((source) => source.length), sources.map((source) => source.length), `${each.id} holds all changes`)
  t.match(group.member.state.config, { version: sources.length })
  t.equal(group.member.leadership, leadership, 'the same leader throughout')
  await group.dispose()
})

tap.t.test('a leader sends a snapshot that is too large for one message to a follower of an earlier build, and then what was changed meanwhile', async (t) => {
  const large = createSnapshot(largeSource)
  const group = new MixedGroup({ ownSnapshot: large, earlierSnapshots: [large, undefined] })
  await group.load()
  group.startElections()
  t.ok(await group.advance(() => group.member.leadership !== undefined))
  await group.run(group.member.leadership!.propose(createPut(2, 'meanwhile')))
  const [, lagging] = group.earlier
  t.ok(await group.advance(() => lagging!.commitIndex === group.member.commitIndex), 'it has caught up')
  t.equal(lagging!.snapshot?.source, largeSource)
  t.same(lagging!.sources, ['meanwhile'])
  await group.dispose()
})

for (const syncMs of [fastSyncMs, slowSyncMs]) {
  tap.t.test(`a follower states to a leader of an earlier build only entries that it holds durably, and gets all: sync ${syncMs} ms`, async (t) => {
    const group = new MixedGroup({ syncMs })
    await group.load()
    const [leader] = group.earlier
    const violations: string[] = []
    let matchIndex = 0
    const receiver = {
      append: async (req: inner.AppendReq) => await deliver(async () => await group.member.handleAppend(req), req as never),
      installSnapshot: async (req: inner.InstallSnapshotReq) => await deliver(async () => await group.member.handleInstallSnapshot(req), req as never)
    }
    leader!.add(snapshotTerm + 1, { case: 'noop', value: true })
    leader!.keepSending(ownId, receiver, (index) => {
      if (index > group.storage.durableIndex) violations.push(`entry ${index} stated, ${group.storage.durableIndex} durable`)
      matchIndex = Math.max(matchIndex, index)
      leader!.commitIndex = matchIndex
    })
    for (let i = 1; i <= changeCount; i++) {
      leader!.add(snapshotTerm + 1, createPut(i, `${i} ${mediumSource}`))
      await group.advance(() => false, 50)
    }
    t.ok(await group.advance(() => group.member.commitIndex === leader!.lastIndex), 'all changes are applied')
    t.same(violations, [])
    t.match(group.member.state.config, { version: changeCount })
    t.equal(group.member.leaderId, leader!.id)
    await group.dispose()
  })
}

tap.t.test('a follower installs a snapshot that a leader of an earlier build sends in one message', async (t) => {
  const group = new MixedGroup()
  await group.load()
  const snapshot = protobuf.create(inner.SnapshotSchema, { ...createSnapshot(largeSource), index: BigInt(snapshotIndex + 5) })
  const sender = { term: snapshotTerm + 1, leaderId: earlierIds[0]!, toReplicaId: ownId }
  await group.run(group.member.handleInstallSnapshot(protobuf.create(inner.InstallSnapshotReqSchema, { ...sender, snapshot })))
  t.match([group.member.commitIndex, group.member.state.config.version, group.storage.durableIndex], [snapshotIndex + 5, 1, snapshotIndex + 5])
  await group.dispose()
})

tap.t.test('a candidate of an earlier build gets a vote once it is stored, in the first response', async (t) => {
  const group = new MixedGroup({ syncMs: 300 })
  await group.load()
  await group.advance(() => false, 1000)
  const position = { lastIndex: BigInt(snapshotIndex), lastTerm: snapshotTerm, toReplicaId: ownId, candidateId: earlierIds[0]!, term: snapshotTerm + 1 }
  const preVote = await group.run(group.member.handleVote(protobuf.create(inner.VoteReqSchema, { ...position, preVote: true })))
  t.equal(preVote.granted, true)
  const vote = await group.run(group.member.handleVote(protobuf.create(inner.VoteReqSchema, position)))
  t.match(vote, { granted: true, pending: false, term: snapshotTerm + 1 })
  t.match(group.storage.meta, { votedFor: earlierIds[0]!, term: snapshotTerm + 1 })
  await group.dispose()
})

tap.t.test('a follower reads and changes the configuration through a leader of an earlier build', async (t) => {
  const group = new MixedGroup()
  group.calls = {
    readIndex: async () => protobuf.create(inner.ReadIndexResSchema, { index: BigInt(snapshotIndex) }),
    put: async (req: inner.PutConfig) => protobuf.create(inner.PutResSchema, { heldVersion: req.version })
  }
  await group.load()
  await group.run(group.member.handleAppend(protobuf.create(inner.AppendReqSchema, { term: snapshotTerm + 1, leaderId: earlierIds[0]!, toReplicaId: ownId, prevIndex: BigInt(snapshotIndex), prevTerm: snapshotTerm })))
  t.match(await group.run(group.service.readConfig()), { version: 0 })
  t.equal(await group.run(group.service.put({ version: 7, document: configDocument.emptyConfig.document, source: '' })), 7)
  await group.dispose()
})

tap.t.test('a message without entries states no entry to a leader of an earlier build before the disk has it', async (t) => {
  const group = new MixedGroup({ syncMs: slowSyncMs })
  await group.load()
  const sender = { term: snapshotTerm, leaderId: earlierIds[0]!, toReplicaId: ownId }
  const entry = protobuf.create(inner.LogEntrySchema, { index: BigInt(snapshotIndex + 1), term: snapshotTerm, command: { case: 'noop', value: true } })
  const stated: Array<readonly [bigint, number]> = []
  const append = async (fields: protobuf.MessageInitShape<typeof inner.AppendReqSchema>): Promise<void> => {
    const { lastIndex } = await group.member.handleAppend(protobuf.create(inner.AppendReqSchema, { ...sender, prevTerm: snapshotTerm, ...fields }))
    stated.push([lastIndex, group.storage.durableIndex])
  }
  const withEntry = append({ prevIndex: BigInt(snapshotIndex), entries: [entry] })
  await group.advance(() => false, slowSyncMs / 2)
  const withoutEntries = append({ prevIndex: BigInt(snapshotIndex + 1) })
  await group.run(Promise.all([withEntry, withoutEntries]))
  t.same(stated.filter(([lastIndex, durableIndex]) => lastIndex > durableIndex), [])
  t.equal(stated.length, 2)
  await group.dispose()
})

tap.t.test('a candidate is elected by voters of an earlier build whose disks take longer than an election timeout', async (t) => {
  const group = new MixedGroup({ earlierSyncMs: slowSyncMs })
  await group.load()
  group.startElections()
  t.ok(await group.advance(() => group.member.leadership !== undefined))
  await group.dispose()
})
