/** A simulated group in virtual time, with an operator who changes and reads the configuration all the time. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as seededRandom from './seededRandom.js'
import * as simulatedGroup from './simulatedGroup.js'
import * as virtualTime from './virtualTime.js'

const replicaCount = 5
const foundingLimitMs = 20_000
const messageMs = 0.2
const defaultSnapshotEvery = 1000
const putTimeoutMs = 8000
const resendPauseMs = 100
const readIntervalMs = 50
const readTimeoutMs = 1000
const downtimeMs = 1000
const bytesPerKiB = 1024

/** Conditions of a run. */
export interface OperatedGroupOptions {
  readonly seed: number
  readonly snapshotEvery?: number
  readonly maxMessageBytes?: number
  readonly bytesPerMs?: number
}

/** A change that was acknowledged, or a read that succeeded. */
export interface Success {
  readonly version: number
  readonly startedAt: number
  readonly at: number
}

/** Runs a test with a founded group; replaces timers and `Math.random` meanwhile. */
export async function run (options: OperatedGroupOptions, test: (group: OperatedGroup) => Promise<void>): Promise<void> {
  const time = new virtualTime.VirtualTime()
  const { random: originalRandom } = Math
  const random = seededRandom.create(options.seed)
  Math.random = random
  const operated = new OperatedGroup(options, time, random)
  try {
    await operated.found()
    await test(operated)
  } finally {
    operated.dispose()
    await time.dispose()
    Math.random = originalRandom
  }
}

/** Five replicas and their operator. */
export class OperatedGroup {
  readonly group: simulatedGroup.SimulatedGroup
  readonly acknowledged: Success[] = []
  readonly reads: Success[] = []
  /** Reads that returned an older version than one that was acknowledged before they began. */
  readonly staleReads: string[] = []
  private lastVersion = 0
  private isOver = false
  private isChanging = false

  constructor (options: OperatedGroupOptions, readonly time: virtualTime.VirtualTime, private readonly random: () => number) {
    this.group = new simulatedGroup.SimulatedGroup({ machineCount: replicaCount, snapshotEvery: defaultSnapshotEvery, messageMs, random, ...options })
  }

  dispose (): void {
    this.isOver = true
    this.group.dispose()
  }

  get acknowledgedVersion (): number {
    return this.acknowledged.at(-1)?.version ?? 0
  }

  get leaderMachine (): simulatedGroup.Machine {
    return this.group.leader!.machine
  }

  /** The machines whose replicas don't lead. */
  get followerMachines (): readonly simulatedGroup.Machine[] {
    return this.group.machines.filter((machine) => machine !== this.group.leader?.machine)
  }

  /** Starts all replicas and waits until they are voters. */
  async found (): Promise<void> {
    this.group.machines.forEach((machine, i) => this.group.start(machine, i === 0))
    await this.time.runUntil(foundingLimitMs, () => this.group.completeVoterCount === replicaCount)
    if (this.group.completeVoterCount !== replicaCount) throw new Error(`not founded within ${foundingLimitMs} ms`)
  }

  /** Advances the time by `ms`, or until a condition holds; returns whether it held. */
  async advance (ms: number, isDone: () => boolean = () => false): Promise<boolean> {
    await this.time.runUntil(this.time.now + ms, isDone)
    return isDone()
  }

  /** Changes the configuration `count` times, each after the acknowledgement of the one before; fails when that takes too long. */
  async change (count: number, sourceKiB: number, limitMs: number, to?: simulatedGroup.Machine): Promise<void> {
    const before = this.acknowledged.length
    const send = async (): Promise<void> => {
      for (let i = 0; i < count; i++) await this.put(sourceKiB, to)
    }
    send()
    const isDone = await this.advance(limitMs, () => this.acknowledged.length - before >= count)
    if (!isDone) throw new Error(`${this.acknowledged.length - before} of ${count} changes were acknowledged within ${limitMs} ms`)
  }

  /** Keeps changing the configuration, with a pause after each acknowledgement, until `stopChanging`. */
  async keepChanging (sourceKiB: number, pauseMs: number): Promise<void> {
    this.isChanging = true
    while (this.isChanging && !this.isOver) {
      await this.put(sourceKiB)
      await async.sleep(pauseMs)
    }
  }

  stopChanging (): void {
    this.isChanging = false
  }

  /** Keeps reading at one replica after the other. */
  async keepReading (): Promise<void> {
    for (let number = 0; !this.isOver; number++) {
      this.read(this.group.machines[number % replicaCount]!)
      await async.sleep(readIntervalMs)
    }
  }

  /** Kills all processes, removes the data of some disks, and starts the processes again. */
  async restartAll (lostDisks: readonly simulatedGroup.Machine[]): Promise<void> {
    for (const machine of this.group.machines) this.group.kill(machine)
    for (const { disk } of lostDisks) disk.wipe()
    await this.advance(downtimeMs)
    for (const machine of this.group.machines) this.group.start(machine)
  }

  /** Returns the longest time between two successes, or from one to an end of the period. */
  longestPauseMs (successes: readonly Success[], from: number, to: number): number {
    const times = [from, ...successes.map(({ at }) => at).filter((at) => at >= from && at <= to), to]
    return Math.max(...times.slice(1).map((at, i) => at - times[i]!))
  }

  /** Sends a new version until it is acknowledged. */
  private async put (sourceKiB: number, to?: simulatedGroup.Machine): Promise<void> {
    const version = ++this.lastVersion
    const change = { version, document: configDocument.emptyConfig.document, source: `${version} ${'x'.repeat(sourceKiB * bytesPerKiB)}` }
    const startedAt = performance.now()
    while (!this.isOver) {
      try {
        await this.send(to ?? this.pickMachine(), putTimeoutMs, async ({ service }) => await service.put(change))
        this.acknowledged.push({ version, startedAt, at: performance.now() })
        return
      } catch {
        await async.sleep(resendPauseMs)
      }
    }
  }

  private async read (machine: simulatedGroup.Machine): Promise<void> {
    const acknowledged = this.acknowledgedVersion
    const startedAt = performance.now()
    try {
      const { version, source } = await this.send(machine, readTimeoutMs, async ({ service }) => await service.readConfig())
      const isStale = version < acknowledged || (version > 0 && !source.startsWith(`${version} `))
      if (isStale) this.staleReads.push(`version ${version} after ${acknowledged} was acknowledged`)
      this.reads.push({ version, startedAt, at: performance.now() })
    } catch {
      // The reads that succeed are counted.
    }
  }

  private async send<T> (machine: simulatedGroup.Machine, timeoutMs: number, call: (process: simulatedGroup.ControlProcess) => Promise<T>): Promise<T> {
    return await async.withTimeout(this.group.deliver(undefined, machine, call), timeoutMs, () => new Error('no response'))
  }

  private pickMachine (): simulatedGroup.Machine {
    return this.group.machines[Math.floor(this.random() * replicaCount)]!
  }
}
