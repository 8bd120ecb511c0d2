/** Tests which configuration a replica returns to an operator while its own log lags behind. */
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as controlService from '../node/controlService.js'
import * as seededRandom from './seededRandom.js'
import * as simulatedGroup from './simulatedGroup.js'
import * as virtualTime from './virtualTime.js'

const replicaCount = 5
const foundingLimitMs = 20_000
/** Longest time for an answer at the simulated delays, without a disk of the replica that is asked. */
const answerLimitMs = 300
const stepMs = 100
const { document } = configDocument.emptyConfig

function source (version: number): string {
  return JSON.stringify({ version })
}

/** A group that has accepted version 1 on all replicas, in virtual time. */
class Group {
  readonly time = new virtualTime.VirtualTime()
  readonly group: simulatedGroup.SimulatedGroup

  constructor (machineCount = replicaCount) {
    this.group = new simulatedGroup.SimulatedGroup({ machineCount, snapshotEvery: 1000, messageMs: 0.1, random: seededRandom.create(1) })
  }

  async found (): Promise<void> {
    this.group.machines.slice(0, replicaCount).forEach((machine, i) => this.group.start(machine, i === 0))
    await this.time.runUntil(foundingLimitMs, () => this.group.completeVoterCount === replicaCount)
    await this.put(1)
    await this.time.runUntil(this.time.now + stepMs)
  }

  get leader (): simulatedGroup.ControlProcess {
    return this.group.leader!
  }

  get follower (): simulatedGroup.ControlProcess {
    return this.group.processes.find((process) => process !== this.leader)!
  }

  async put (version: number): Promise<void> {
    await this.settle(this.leader.service.put({ version, document, source: source(version) }), foundingLimitMs)
  }

  /** Advances the time until a promise settles; the result is undefined if that takes longer than `limitMs`. */
  async settle<T> (promise: Promise<T>, limitMs: number): Promise<T | undefined> {
    let isSettled = false
    const settle = (): void => { isSettled = true }
    promise.then(settle, settle)
    await this.time.runUntil(this.time.now + limitMs, () => isSettled)
    return isSettled ? await promise : undefined
  }

  async read (process: simulatedGroup.ControlProcess, limitMs: number): Promise<controlService.ReadRes | string | undefined> {
    return await this.settle(process.service.readConfig().catch((err: unknown) => errors.faultOf(err).kind), limitMs)
  }

  async dispose (): Promise<void> {
    this.group.dispose()
    await this.time.dispose()
  }
}

tap.t.test('a replica whose disk stalls returns the newest configuration of the leader', async (t) => {
  const fixture = new Group()
  await fixture.found()
  const { follower } = fixture
  follower.machine.disk.setStalled(true)
  await fixture.put(2)
  await fixture.put(3)
  t.match(await fixture.read(follower, answerLimitMs), { version: 3, source: source(3) })
  t.equal(follower.replica.state.config.version, 1, 'it still lags')
  await fixture.dispose()
})

tap.t.test('a new replica that has not received the log yet returns the newest configuration of the leader', async (t) => {
  const fixture = new Group(replicaCount + 1)
  await fixture.found()
  const spare = fixture.group.machines.at(-1)!
  fixture.group.start(spare)
  await fixture.time.runUntil(fixture.time.now + stepMs, () => spare.process!.isLoaded)
  spare.disk.setStalled(true)
  await fixture.put(2)
  t.match(await fixture.read(spare.process!, answerLimitMs), { version: 2, source: source(2) })
  await fixture.dispose()
})

tap.t.test('a lagging replica returns no configuration if the leader is of a build that does not forward reads', async (t) => {
  const fixture = new Group()
  await fixture.found()
  const { follower } = fixture
  fixture.group.forwardsReads = false
  follower.machine.disk.setStalled(true)
  await fixture.put(2)
  t.equal(await fixture.read(follower, foundingLimitMs), 'no-quorum')
  await fixture.dispose()
})

tap.t.test('a lagging replica returns no configuration while the leader reaches no quorum', async (t) => {
  const fixture = new Group()
  await fixture.found()
  const { follower, leader } = fixture
  follower.machine.disk.setStalled(true)
  await fixture.put(2)
  for (const { machine } of fixture.group.processes) if (machine !== leader.machine && machine !== follower.machine) machine.setCut(true)
  t.equal(await fixture.read(follower, foundingLimitMs), 'no-quorum')
  await fixture.dispose()
})
