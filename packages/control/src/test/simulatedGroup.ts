/** Control replicas on simulated disks and links, whose processes can be killed and whose machines can lose power. */
import * as protobuf from '@bufbuild/protobuf'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as configFeed from '../node/configFeed.js'
import * as controlService from '../node/controlService.js'
import * as election from '../node/election.js'
import * as joiner from '../node/joiner.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import * as replicaStorage from '../node/replicaStorage.js'
import * as simulatedDisk from './simulatedDisk.js'

const tolerateLostDisks = 2
const maxReplicas = 9
const seedCount = 3
const minOneWayDelayMs = 0.3
const maxOneWayDelayMs = 3
const voterCheckIntervalMs = 500

/** Sizes and times of the simulated group. */
export interface GroupOptions {
  readonly machineCount: number
  readonly snapshotEvery: number
  /** Processor time of a message. */
  readonly messageMs: number
  readonly random: () => number
}

/** One process of a replica, from its start to its end. */
export class ControlProcess {
  private readonly ended = new AbortController()
  private readonly loaded = new async.Deferred<void>()
  private readonly stops: Array<() => void> = []
  private busyUntil = 0
  isLoaded = false
  readonly whenEnded = new async.Deferred<never>()
  readonly replica: replica.Replica
  readonly service: controlService.ControlService
  readonly feed: configFeed.ConfigFeed

  /** @param onFailure called when the process ends by itself. */
  constructor (private readonly group: SimulatedGroup, readonly machine: Machine, private readonly onFailure: (err: Error) => void) {
    this.whenEnded.promise.catch(() => {})
    const decisions = new decisionLog.NullDecisionLog()
    const storage = new replicaStorage.ReplicaStorage(simulatedDisk.dataFolder, 'c', onFailure, machine.disk.openFor(this.ended.signal))
    const options = { address: machine.address, operatorAddress: '', failureDomain: 'a', electionTimeoutMs: 400, heartbeatMs: 100, snapshotEvery: group.options.snapshotEvery }
    this.replica = new replica.Replica(options, storage, group.linksOf(this), decisions)
    this.service = new controlService.ControlService(this.replica, { groupAddresses: [], maxReplicas, tolerateLostDisks }, decisions)
    this.feed = new configFeed.ConfigFeed(this.replica, async () => await this.service.confirmReadIndex())
  }

  get hasEnded (): boolean {
    return this.ended.signal.aborted
  }

  /** Loads the disk and starts the tasks, like the control role. */
  async start (founds: boolean): Promise<void> {
    try {
      await this.replica.load()
    } catch (err) {
      this.onFailure(err as Error)
      return
    }
    if (founds) await this.service.foundCluster()
    if (this.hasEnded) return
    this.isLoaded = true
    this.loaded.resolve()
    const electionTask = new election.Election(this.replica)
    const joinTask = new joiner.Joiner(this.replica, this.group.seedAddresses, true)
    this.stops.push(() => electionTask.dispose(), () => joinTask.dispose())
    electionTask.run()
    joinTask.run()
    this.keepRemovingUnreachableVoters()
  }

  /** Ends the process at once, as SIGKILL does. */
  kill (): void {
    if (this.hasEnded) return
    this.ended.abort()
    for (const stop of this.stops) stop()
    this.feed.dispose()
    this.replica.leadership?.dispose()
    this.whenEnded.reject(unreachable())
  }

  /** Handles a message after those that arrived before it; throws when the process ends meanwhile. */
  async handle<T> (processorMs: number, run: (process: this) => Promise<T>): Promise<T> {
    const work = async (): Promise<T> => {
      await this.loaded.promise
      await this.work(processorMs)
      return await run(this)
    }
    return await Promise.race([work(), this.whenEnded.promise])
  }

  /** Occupies the processor, after the work that is already queued. */
  async work (processorMs: number): Promise<void> {
    this.busyUntil = Math.max(performance.now(), this.busyUntil) + processorMs
    await async.sleep(this.busyUntil - performance.now())
  }

  private async keepRemovingUnreachableVoters (): Promise<void> {
    while (!this.hasEnded) {
      await async.sleep(voterCheckIntervalMs)
      if (!this.hasEnded) this.service.removeUnreachableVoter()
    }
  }
}

/** A machine with its disk and, while it runs, its process. */
export class Machine {
  readonly disk: simulatedDisk.SimulatedDisk
  process: ControlProcess | undefined
  /** Resolved when messages from and to the machine are delivered again; undefined while nothing holds them up. */
  private cut: async.Deferred<void> | undefined

  constructor (readonly address: string, random: () => number) {
    this.disk = new simulatedDisk.SimulatedDisk(random)
  }

  get isCut (): boolean {
    return this.cut !== undefined
  }

  /** Sets whether all messages from and to the machine are held up. */
  setCut (isCut: boolean): void {
    this.cut?.resolve()
    this.cut = isCut ? new async.Deferred() : undefined
  }

  async whenReachable (): Promise<void> {
    while (this.cut !== undefined) await this.cut.promise
  }
}

/** The machines, and the messages between their processes. */
export class SimulatedGroup {
  readonly machines: readonly Machine[]
  /** Errors with which processes ended by themselves. */
  readonly failures: Error[] = []

  constructor (readonly options: GroupOptions) {
    this.machines = Array.from({ length: options.machineCount }, (_value, i) => new Machine(`10.0.0.${i + 1}:7200`, options.random))
  }

  get seedMachines (): readonly Machine[] {
    return this.machines.slice(0, seedCount)
  }

  get seedAddresses (): readonly string[] {
    return this.seedMachines.map(({ address }) => address)
  }

  /** The processes that have loaded their disks. */
  get processes (): readonly ControlProcess[] {
    return this.machines.flatMap(({ process }) => process?.isLoaded === true ? process : [])
  }

  get leader (): ControlProcess | undefined {
    return this.processes.filter(({ replica: { leadership } }) => leadership !== undefined).sort((a, b) => b.replica.term - a.replica.term)[0]
  }

  /** Number of voters of the newest membership whose processes run; 0 when another voter doesn't, or there is no leader. */
  get completeVoterCount (): number {
    const { leader } = this
    if (leader === undefined || leader.replica.log.membershipIndex > leader.replica.commitIndex) return 0
    const ids = new Set(this.processes.filter(({ replica }) => replica.isVoter).map(({ replica }) => replica.replicaId))
    const voters = leader.replica.log.membership.replicas.filter(({ voter }) => voter)
    return voters.every(({ id }) => ids.has(id)) ? voters.length : 0
  }

  /** Starts the process of a machine. */
  start (machine: Machine, founds = false): void {
    const started = new ControlProcess(this, machine, (err) => {
      if (started.hasEnded) return
      this.failures.push(err)
      this.kill(machine)
    })
    machine.process = started
    started.start(founds)
  }

  kill (machine: Machine): void {
    machine.process?.kill()
    machine.process = undefined
  }

  losePower (machine: Machine): void {
    this.kill(machine)
    machine.disk.losePower()
  }

  dispose (): void {
    for (const machine of this.machines) this.kill(machine)
  }

  /** Returns the links of one process to the others. */
  linksOf (sender: ControlProcess): replicaLinks.ReplicaLinks {
    return { linkTo: (address: string) => this.linkTo(sender, address) } as unknown as replicaLinks.ReplicaLinks
  }

  /** Delivers a message to a machine and returns the response; an operator has no process. */
  async deliver<T> (sender: ControlProcess | undefined, to: Machine, run: (process: ControlProcess) => Promise<T>): Promise<T> {
    await this.travel(sender, to)
    const receiver = to.process
    if (receiver === undefined) throw unreachable()
    const response = await receiver.handle(this.options.messageMs, run)
    await this.travel(receiver, sender?.machine)
    return response
  }

  /** Waits until a message has arrived; stays pending if its sender ends meanwhile. */
  private async travel (from: ControlProcess | undefined, to: Machine | undefined): Promise<void> {
    await async.sleep(minOneWayDelayMs + this.options.random() * (maxOneWayDelayMs - minOneWayDelayMs))
    await from?.machine.whenReachable()
    await to?.whenReachable()
    if (from?.hasEnded === true) await new Promise(() => {})
  }

  private linkTo (sender: ControlProcess, address: string): replicaLinks.ReplicaLink {
    const to = this.machines.find((machine) => machine.address === address)!
    const send = async <T>(run: (process: ControlProcess) => Promise<T>): Promise<T> => await this.deliver(sender, to, run)
    const client = {
      vote: async (req: inner.VoteReq) => await send(async ({ replica }) => await replica.handleVote(req)),
      append: (reqs: AsyncIterable<inner.AppendReq>) => respondToAppends(reqs, async (req) => await send(async ({ replica }) => await replica.handleAppend(req))),
      installSnapshot: async (req: inner.InstallSnapshotReq) => await send(async ({ replica }) => await replica.handleInstallSnapshot(req)),
      join: async (req: inner.JoinReq) => await send(async ({ service }) => service.join(req.replica!)),
      put: async (req: inner.PutConfig) => await send(async ({ service, replica: { leadership } }) => {
        if (leadership === undefined) throw notLeader()
        return protobuf.create(inner.PutResSchema, { heldVersion: await service.putAsLeader(leadership, req) })
      }),
      readIndex: async () => await send(async ({ replica: { leadership } }) => {
        if (leadership === undefined) throw notLeader()
        return protobuf.create(inner.ReadIndexResSchema, { index: BigInt(await leadership.readIndex()) })
      })
    } as unknown as replicaLinks.ReplicaClient
    const call = async <T>(run: (each: replicaLinks.ReplicaClient, options: object) => Promise<T>, timeoutMs: number): Promise<T> =>
      await async.withTimeout(run(client, {}), timeoutMs, unreachable)
    return { address, client, call, reset: () => {} } as unknown as replicaLinks.ReplicaLink
  }
}

async function * respondToAppends (reqs: AsyncIterable<inner.AppendReq>, send: (req: inner.AppendReq) => Promise<inner.AppendRes>): AsyncGenerator<inner.AppendRes> {
  for await (const req of reqs) yield await send(req)
}

function unreachable (): errors.RackError {
  return new errors.RackError({ kind: 'unreachable', message: 'no response' })
}

function notLeader (): errors.RackError {
  return new errors.RackError({ kind: 'not-leader', message: 'this replica is not the leader; nothing was written' })
}
