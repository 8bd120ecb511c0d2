/** A simulated group of five replicas that has accepted its first configuration, in virtual time. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as controlService from '../node/controlService.js'
import * as seededRandom from './seededRandom.js'
import * as simulatedGroup from './simulatedGroup.js'
import * as virtualTime from './virtualTime.js'

const replicaCount = 5
/** Long enough for anything that the group does at the simulated delays. */
export const limitMs = 20_000
const settleMs = 100
const loadLimitMs = 100
const { document } = configDocument.emptyConfig

/** Returns the text of a configuration. */
export function sourceOf (version: number): string {
  return JSON.stringify({ version })
}

/** A group that has accepted version 1 on all replicas, in virtual time. */
export class ConfiguredGroup {
  readonly time = new virtualTime.VirtualTime()
  readonly group: simulatedGroup.SimulatedGroup

  /** @param spareCount machines beside those of the group. */
  constructor (spareCount = 0) {
    this.group = new simulatedGroup.SimulatedGroup({ machineCount: replicaCount + spareCount, snapshotEvery: 1000, messageMs: 0.1, random: seededRandom.create(1) })
  }

  /** Founds the group and puts version 1. */
  async found (): Promise<void> {
    this.group.machines.slice(0, replicaCount).forEach((machine, i) => this.group.start(machine, i === 0))
    await this.time.runUntil(limitMs, () => this.group.completeVoterCount === replicaCount)
    await this.put(1)
    await this.time.runUntil(this.time.now + settleMs)
  }

  get leader (): simulatedGroup.ControlProcess {
    return this.group.leader!
  }

  get follower (): simulatedGroup.ControlProcess {
    return this.group.processes.find((process) => process !== this.leader)!
  }

  /** Starts the process of a spare machine, whose disk stalls once it is loaded, so that it doesn't receive the log. */
  async startStalledSpare (): Promise<simulatedGroup.ControlProcess> {
    const spare = this.group.machines.at(-1)!
    this.group.start(spare)
    await this.time.runUntil(this.time.now + loadLimitMs, () => spare.process!.isLoaded)
    spare.disk.setStalled(true)
    return spare.process!
  }

  /** Puts a version at a process; returns the version held afterwards, or the kind of the fault. */
  async put (version: number, process = this.leader): Promise<number | string | undefined> {
    return await this.settle(process.service.put({ version, document, source: sourceOf(version) }).catch((err: unknown) => errors.faultOf(err).kind))
  }

  /** Advances the time until a promise settles; the result is undefined if that takes longer. */
  async settle<T> (promise: Promise<T>, withinMs = limitMs): Promise<T | undefined> {
    let isSettled = false
    const settle = (): void => { isSettled = true }
    promise.then(settle, settle)
    await this.time.runUntil(this.time.now + withinMs, () => isSettled)
    return isSettled ? await promise : undefined
  }

  /** Reads the configuration at a process; returns it, or the kind of the fault. */
  async read (process: simulatedGroup.ControlProcess, withinMs = limitMs): Promise<controlService.ReadRes | string | undefined> {
    return await this.settle(process.service.readConfig().catch((err: unknown) => errors.faultOf(err).kind), withinMs)
  }

  /** Moves the time on. */
  async pass (ms: number): Promise<void> {
    await this.time.runUntil(this.time.now + ms)
  }

  async dispose (): Promise<void> {
    this.group.dispose()
    await this.time.dispose()
  }
}
