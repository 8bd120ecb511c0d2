/** Plays a day of faults on a simulated group, ends it with a final fault, and reads the configuration back. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as seededRandom from './seededRandom.js'
import * as simulatedGroup from './simulatedGroup.js'
import * as virtualTime from './virtualTime.js'

const replicaCount = 5
const spareCount = 1
const snapshotEvery = 6
const foundingLimitMs = 20_000
const minDayMs = 1000
const maxDayMs = 5000
const maxDowntimeMs = 1000
const putTimeoutMs = 4000
const maxSourceBytes = 3000
/** Processor time of a message between replicas. */
const messageMs = 0.2
const maxPutAttempts = 3
/** Average pauses between the changes of each operator. */
const operatorPausesMs = [20, 80]
/** Longest time from the sending of the last change to the final fault, if no acknowledgement comes first. */
const maxFaultDelayMs = 400
const minFaultDelayMs = 5
/** Time from the final fault to the start of the first process, and from that to the start of the last one. */
const finalDowntimeMs = 1000
const startSpreadMs = 300
const wipedDiskCount = 2
const stalledDiskCount = 2
const slowestSyncMs = 500
const readPauseMs = 50
const readTimeoutMs = 1000
const entryRetryMs = 50
/** Time without a confirmation after which an entry moves to another replica. */
const maxUnconfirmedMs = 2500
/** Processor time of an update on a stream. */
const updateMs = 0.2
/** Longest time from the start of the last process to the first answer to a read. */
const readBackLimitMs = 3000

/** The ways in which a day ends. */
export const finalFaults = ['power', 'kill', 'wipe', 'wipe and power'] as const

/** Conditions of a day. */
export interface DayOptions {
  readonly seed: number
  readonly finalFault: typeof finalFaults[number]
  /** Whether the final fault comes right after an acknowledgement, and takes disks that hold the change. */
  readonly isAimed: boolean
  readonly entryCount: number
  /** Whether processes are killed while they write, shortly before the final fault, and some disks stall. */
  readonly killsWriters: boolean
  /** Processor time that an entry's connection takes on a replica. */
  readonly connectionMs: number
}

/** What a day showed. */
export interface DayResult {
  readonly acknowledgedVersion: number
  /** Version that the first read returned; undefined if none was answered in time. */
  readonly readVersion: number | undefined
  /** Time from the start of the last process to the first answer. */
  readonly readBackMs: number
  readonly wipedDisks: number
  /** Reads that returned an older version than one acknowledged before they were sent, and processes that ended by themselves. */
  readonly problems: readonly string[]
}

/** Plays one day; replaces timers and `Math.random` meanwhile. */
export async function play (options: DayOptions): Promise<DayResult> {
  const time = new virtualTime.VirtualTime()
  const { random: originalRandom } = Math
  const random = seededRandom.create(options.seed)
  Math.random = random
  const day = new FaultyDay(options, time, random)
  try {
    return await day.run()
  } finally {
    day.dispose()
    await time.dispose()
    Math.random = originalRandom
  }
}

class FaultyDay {
  private readonly group: simulatedGroup.SimulatedGroup
  private readonly problems: string[] = []
  private lastVersion = 0
  private acknowledgedVersion = 0
  private lastSentAt = 0
  private isOver = false
  private hasOperators = true
  /** The machine that the spare one replaced. */
  private replaced: simulatedGroup.Machine | undefined

  constructor (private readonly options: DayOptions, private readonly time: virtualTime.VirtualTime, private readonly random: () => number) {
    this.group = new simulatedGroup.SimulatedGroup({ machineCount: replicaCount + spareCount, snapshotEvery, messageMs, random })
  }

  dispose (): void {
    this.isOver = true
    this.group.dispose()
  }

  async run (): Promise<DayResult> {
    this.group.machines.slice(0, replicaCount).forEach((machine, i) => this.startLater(machine, this.random() * startSpreadMs, i === 0))
    await this.time.runUntil(foundingLimitMs, () => this.group.completeVoterCount === replicaCount)
    if (this.group.completeVoterCount !== replicaCount) throw new Error(`seed ${this.options.seed}: not founded within ${foundingLimitMs} ms`)
    const endsAt = this.time.now + this.between(minDayMs, maxDayMs)
    for (const pauseMs of operatorPausesMs) this.keepPutting(pauseMs)
    this.keepReading()
    this.keepDisturbing(endsAt)
    await this.time.runUntil(endsAt)
    await this.waitForFinalMoment()
    const acknowledgedVersion = this.acknowledgedVersion
    const wipedDisks = this.inflictFinalFault()
    const lastStartAt = this.time.now + finalDowntimeMs + startSpreadMs
    const answer = await this.readBack(lastStartAt)
    this.problems.push(...this.group.failures.map((err) => `a process ended: ${err.message}`))
    return { acknowledgedVersion, readVersion: answer?.version, readBackMs: (answer?.at ?? Infinity) - lastStartAt, wipedDisks, problems: this.problems }
  }

  // ---- Operators ----

  private async keepPutting (pauseMs: number): Promise<void> {
    while (!this.isOver) {
      await async.sleep(this.random() * 2 * pauseMs)
      if (this.hasOperators && !this.isOver) this.put(++this.lastVersion)
    }
  }

  /** Sends a change, and again if it isn't acknowledged. */
  private async put (version: number): Promise<void> {
    const source = `${version} ${'x'.repeat(Math.floor(this.random() * maxSourceBytes))}`
    const change = { version, document: configDocument.emptyConfig.document, source }
    for (let attempt = 0; attempt < maxPutAttempts && this.hasOperators; attempt++) {
      this.lastSentAt = performance.now()
      try {
        await this.send(putTimeoutMs, async ({ service }) => await service.put(change))
        if (this.hasOperators) this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version)
        return
      } catch {
        await async.sleep(this.random() * 100)
      }
    }
  }

  private async keepReading (): Promise<void> {
    while (!this.isOver) {
      await async.sleep(this.random() * 2 * readPauseMs)
      this.read().catch(() => {})
    }
  }

  /** Reads the configuration at any replica; an older answer than acknowledged before is a problem. */
  private async read (): Promise<number> {
    const acknowledged = this.acknowledgedVersion
    const { version, source } = await this.send(readTimeoutMs, async ({ service }) => await service.readConfig())
    if (version < acknowledged) this.problems.push(`a read returned version ${version} after ${acknowledged} was acknowledged`)
    if (version > 0 && !source.startsWith(`${version} `)) this.problems.push(`version ${version} holds another document`)
    return version
  }

  private async send<T> (timeoutMs: number, run: (process: simulatedGroup.ControlProcess) => Promise<T>): Promise<T> {
    const machine = this.pick(this.group.machines)
    return await async.withTimeout(this.group.deliver(undefined, machine, run), timeoutMs, () => new Error('no answer'))
  }

  // ---- Faults ----

  private async keepDisturbing (endsAt: number): Promise<void> {
    while (performance.now() < endsAt) {
      await async.sleep(this.between(20, 500))
      if (performance.now() < endsAt) this.disturb()
    }
  }

  private disturb (): void {
    const running = this.group.machines.filter(({ process }) => process !== undefined)
    const machine = this.random() < 0.4 ? this.group.leader?.machine ?? this.pick(running) : this.pick(running)
    const durationMs = this.between(50, 2000)
    if (machine === undefined) return
    this.pick([
      () => this.killFor(machine),
      () => this.killFor(machine),
      () => running.forEach((each) => this.killFor(each)),
      () => this.losePowerFor(machine),
      () => running.forEach((each) => this.losePowerFor(each)),
      () => this.during(durationMs, (isOn) => machine.setCut(isOn)),
      () => this.during(durationMs, (isOn) => { machine.disk.isFull = isOn }),
      () => this.during(durationMs, (isOn) => machine.disk.setStalled(isOn)),
      () => this.stallDisks(stalledDiskCount, durationMs),
      () => this.during(durationMs, (isOn) => running.forEach(({ disk }) => { disk.syncMs = isOn ? this.between(20, 200) : 1 })),
      () => this.wipe(machine),
      () => this.replace(machine)
    ])()
  }

  /** Stalls the disks of random machines; returns these machines. */
  private stallDisks (count: number, durationMs: number): readonly simulatedGroup.Machine[] {
    const stalled = this.shuffle(this.group.machines.filter(({ process }) => process !== undefined)).slice(0, count)
    this.during(durationMs, (isOn) => stalled.forEach(({ disk }) => disk.setStalled(isOn)))
    return stalled
  }

  private killFor (machine: simulatedGroup.Machine): void {
    this.group.kill(machine)
    this.startLater(machine, this.random() * maxDowntimeMs)
  }

  private losePowerFor (machine: simulatedGroup.Machine): void {
    this.group.losePower(machine)
    this.startLater(machine, this.random() * maxDowntimeMs)
  }

  private during (durationMs: number, set: (isOn: boolean) => void): void {
    set(true)
    setTimeout(() => set(false), durationMs)
  }

  /** Wipes a disk, if all voters run: no more disks are lost at a time than tolerated. */
  private wipe (machine: simulatedGroup.Machine): void {
    if (this.group.completeVoterCount < replicaCount) return
    this.group.kill(machine)
    machine.disk.wipe()
    this.startLater(machine, this.random() * maxDowntimeMs)
  }

  /** Ends a machine for good and starts the spare one, if all voters run. */
  private replace (machine: simulatedGroup.Machine): void {
    const spare = this.group.machines.at(-1)!
    if (this.group.completeVoterCount < replicaCount || spare.process !== undefined || this.replaced !== undefined) return
    this.replaced = machine
    this.group.kill(machine)
    this.group.start(spare)
  }

  private startLater (machine: simulatedGroup.Machine, delayMs: number, founds = false): void {
    setTimeout(() => {
      if (!this.isOver && this.isInUse(machine) && machine.process === undefined) this.group.start(machine, founds)
    }, delayMs)
  }

  private isInUse (machine: simulatedGroup.Machine): boolean {
    return machine !== this.replaced && (machine !== this.group.machines.at(-1) || this.replaced !== undefined)
  }

  // ---- The end ----

  /** Waits until a while after a change was sent; if the fault is aimed, until a change is acknowledged. */
  private async waitForFinalMoment (): Promise<void> {
    if (this.options.killsWriters) await this.killWriters()
    const before = this.acknowledgedVersion
    const limitAt = this.time.now + (this.options.isAimed ? putTimeoutMs : this.between(minFaultDelayMs, maxFaultDelayMs))
    await this.time.runUntil(limitAt, () => this.options.isAimed && this.acknowledgedVersion > before)
  }

  /** Kills some processes while disks are slow and two of them stall, so that an acknowledgement needs the disks of those killed. */
  private async killWriters (): Promise<void> {
    await this.time.runUntil(this.time.now + putTimeoutMs, () => this.group.completeVoterCount >= replicaCount)
    const stalled = this.stallDisks(stalledDiskCount, maxDayMs)
    const others = this.group.machines.filter((machine) => machine.process !== undefined && !stalled.includes(machine))
    for (const { disk } of others) disk.syncMs = this.between(20, 200)
    const { leader } = this.group
    if (leader !== undefined && this.random() < 0.5) leader.machine.disk.syncMs = slowestSyncMs
    await this.time.runUntil(this.time.now + this.between(50, 500))
    for (const machine of this.shuffle(others).slice(0, Math.floor(this.between(0, others.length + 1)))) this.killFor(machine)
    const isBack = (): boolean => others.every(({ process }) => process?.isLoaded === true)
    await this.time.runUntil(this.time.now + maxDowntimeMs, isBack)
  }

  /** Returns the number of wiped disks. */
  private inflictFinalFault (): number {
    const { finalFault } = this.options
    const used = this.group.machines.filter((machine) => this.isInUse(machine))
    this.hasOperators = false
    const isWiping = finalFault === 'wipe' || finalFault === 'wipe and power'
    // While a lost disk has not been replaced yet, one disk fewer may be lost.
    const wipedCount = isWiping ? wipedDiskCount - (this.group.completeVoterCount >= replicaCount ? 0 : 1) : 0
    const wiped = this.chooseWiped(used).slice(0, wipedCount)
    for (const machine of used) {
      if (finalFault === 'power' || finalFault === 'wipe and power') this.group.losePower(machine)
      else if (finalFault === 'kill' || wiped.includes(machine)) this.group.kill(machine)
    }
    for (const machine of wiped) machine.disk.wipe()
    for (const machine of used) {
      machine.setCut(false)
      machine.disk.setStalled(false)
      machine.disk.isFull = false
      machine.disk.syncMs = this.between(1, 10)
    }
    used.forEach((machine, i) => this.startLater(machine, finalDowntimeMs + (i === 0 ? startSpreadMs : this.random() * startSpreadMs)))
    return wipedCount
  }

  /** Returns the machines in the order in which their disks are lost: those that applied most first, if the fault is aimed. */
  private chooseWiped (used: readonly simulatedGroup.Machine[]): readonly simulatedGroup.Machine[] {
    const keyed = used.map((machine) => ({ machine, key: this.random() + (this.options.isAimed ? machine.process?.replica.commitIndex ?? 0 : 0) }))
    return keyed.sort((a, b) => b.key - a.key).map(({ machine }) => machine)
  }

  /** Connects all entries and reads until the limit; returns the first answer and when it came. */
  private async readBack (lastStartAt: number): Promise<{ readonly version: number, readonly at: number } | undefined> {
    let answer: { readonly version: number, readonly at: number } | undefined
    const read = async (): Promise<void> => {
      const version = await this.read()
      answer ??= { version, at: performance.now() }
    }
    const keepReading = async (): Promise<void> => {
      while (!this.isOver) {
        read().catch(() => {})
        await async.sleep(readPauseMs)
      }
    }
    await this.time.runUntil(lastStartAt - startSpreadMs)
    for (let i = 0; i < this.options.entryCount; i++) this.followAsEntry()
    keepReading()
    await this.time.runUntil(lastStartAt + readBackLimitMs)
    return answer
  }

  /** Follows the configuration like an entry instance, at one replica after the other. */
  private async followAsEntry (): Promise<void> {
    while (!this.isOver) {
      const { process } = this.pick(this.group.seedMachines)
      await async.sleep(entryRetryMs)
      if (process === undefined || process.hasEnded) continue
      const ended = process.whenEnded.promise.catch(() => {})
      await Promise.race([ended, process.handle(this.options.connectionMs, async ({ feed }) => {
        const stop = new AbortController()
        const req = protobuf.create(inner.FollowReqSchema, { instance: 'entry' })
        let confirmedAt = performance.now()
        for await (const res of feed.follow(req, stop.signal)) {
          await process.work(updateMs)
          if (res.confirmed) confirmedAt = performance.now()
          if (performance.now() - confirmedAt > maxUnconfirmedMs) return
        }
      }).catch(() => {})])
    }
  }

  private between (low: number, high: number): number {
    return low + this.random() * (high - low)
  }

  private shuffle<T> (list: readonly T[]): readonly T[] {
    return list.map((item) => ({ item, key: this.random() })).sort((a, b) => a.key - b.key).map(({ item }) => item)
  }

  private pick<T> (list: readonly T[]): T {
    return list[Math.floor(this.random() * list.length)]!
  }
}
