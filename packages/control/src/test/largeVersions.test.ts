/** Tests versions beyond 32 bits: as milliseconds since 1970, for example, in the log, in snapshots and in all messages. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as seededRandom from './seededRandom.js'
import * as simulatedGroup from './simulatedGroup.js'
import * as virtualTime from './virtualTime.js'

const machineCount = 5
const timeoutMs = 10_000
const versions = [12, 2 ** 32 - 1, 2 ** 32, 1_796_330_662_247, Number.MAX_SAFE_INTEGER - 1, Number.MAX_SAFE_INTEGER]
const { document } = configDocument.emptyConfig

function changeTo (version: number): { readonly version: number, readonly document: configDocument.ConfigDocument, readonly source: string } {
  return { version, document, source: `source of ${version}` }
}

/** A founded group in virtual time. */
class GroupFixture {
  private readonly time = new virtualTime.VirtualTime()
  private readonly originalRandom = Math.random
  readonly group: simulatedGroup.SimulatedGroup

  constructor () {
    const random = seededRandom.create(1)
    Math.random = random
    this.group = new simulatedGroup.SimulatedGroup({ machineCount, snapshotEvery: 4, messageMs: 0.1, random })
  }

  async start (founds = false): Promise<void> {
    this.group.machines.forEach((machine, i) => this.group.start(machine, founds && i === 0))
    await this.time.runUntil(this.time.now + timeoutMs, () => this.group.completeVoterCount === machineCount &&
      this.group.processes.every(({ replica }) => replica.leaderId !== ''))
  }

  /** Runs a task to its end; throws its error. */
  async run<T> (task: () => Promise<T>): Promise<T> {
    let isDone = false
    const result = task().finally(() => { isDone = true })
    result.catch(() => {})
    await this.time.runUntil(this.time.now + timeoutMs, () => isDone)
    return await result
  }

  async send<T> (index: number, run: (process: simulatedGroup.ControlProcess) => Promise<T>): Promise<T> {
    const sent = this.group.deliver(undefined, this.group.machines[index]!, run)
    return await this.run(async () => await async.withTimeout(sent, timeoutMs / 2, () => new Error('no response')))
  }

  async dispose (): Promise<void> {
    this.group.dispose()
    await this.time.dispose()
    Math.random = this.originalRandom
  }
}

async function faultKind (promise: Promise<unknown>): Promise<string> {
  return await promise.then(() => 'none', (err: unknown) => errors.faultOf(err).kind)
}

// Guards against a change that is never acknowledged, because its version exceeds a field of the inner protocol.
tap.t.test('each version up to the highest safe integer is acknowledged, read back, and kept over a loss of power', async (t) => {
  const fixture = new GroupFixture()
  await fixture.start(true)
  for (const [i, version] of versions.entries()) {
    t.equal(await fixture.send(i % machineCount, async ({ service }) => await service.put(changeTo(version))), version, `${version} is acknowledged`)
    const read = await fixture.send((i + 1) % machineCount, async ({ service }) => await service.readConfig())
    t.match(read, { version, source: `source of ${version}` }, `${version} is read back`)
    if (i % 2 === 0) continue
    for (const machine of fixture.group.machines) fixture.group.losePower(machine)
    await fixture.start()
    t.match(await fixture.send(i % machineCount, async ({ service }) => await service.readConfig()), { version }, `${version} is kept`)
  }
  t.same(fixture.group.failures, [])
  await fixture.dispose()
})

tap.t.test('a stream to an entry instance carries large versions', async (t) => {
  const fixture = new GroupFixture()
  await fixture.start(true)
  const version = 1_796_330_662_247
  await fixture.send(0, async ({ service }) => await service.put(changeTo(version)))
  const stop = new AbortController()
  const stream = fixture.group.processes[1]!.feed.follow(protobuf.create(inner.FollowReqSchema, { instance: 'entry' }), stop.signal)
  const update = await fixture.run(async () => await stream.next())
  stop.abort()
  t.match(update.value, { config: { version: BigInt(version) }, confirmedVersion: BigInt(version), confirmed: true })
  await fixture.dispose()
})

tap.t.test('a version or a patch that cannot be represented is refused, and the leader goes on', async (t) => {
  const fixture = new GroupFixture()
  await fixture.start(true)
  const { leader } = fixture.group
  const { service } = leader!
  const put = protobuf.create(inner.PutConfigSchema, { version: 2n ** 53n, documentJson: JSON.stringify(document) })
  t.equal(await faultKind(fixture.run(async () => await service.putAsLeader(service.replica.leadership!, put))), 'bad-request')
  t.equal(await faultKind(fixture.run(async () => await service.put(changeTo(2 ** 53)))), 'bad-request')
  await fixture.run(async () => await service.put(changeTo(Number.MAX_SAFE_INTEGER)))
  const patch = { patchId: 'p', amends: Number.MAX_SAFE_INTEGER, mergePatchJson: '{}', operator: 'op' }
  t.equal(await faultKind(fixture.run(async () => await service.patch(patch))), 'bad-request')
  t.match(await fixture.run(async () => await service.readConfig()), { version: Number.MAX_SAFE_INTEGER })
  t.same([fixture.group.leader, fixture.group.failures], [leader, []])
  await fixture.dispose()
})

tap.t.test('a change is not acknowledged if the leader stored its version cut to 32 bits', async (t) => {
  const fixture = new GroupFixture()
  await fixture.start(true)
  const { leader } = fixture.group
  const { service } = leader!
  const putAsLeader = service.putAsLeader.bind(service)
  service.putAsLeader = async (ownLeadership, put) => await putAsLeader(ownLeadership, { ...put, version: BigInt.asUintN(32, put.version) })
  const follower = fixture.group.machines.findIndex(({ process }) => process !== leader)
  t.equal(await faultKind(fixture.send(follower, async ({ service }) => await service.put(changeTo(1_796_330_662_247)))), 'unknown')
  t.equal(await fixture.send(follower, async ({ service }) => await service.put(changeTo(4_000_000_000))), 4_000_000_000)
  await fixture.dispose()
})
