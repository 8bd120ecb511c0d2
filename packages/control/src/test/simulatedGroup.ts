/** Control replicas on simulated disks and links, whose processes can be killed and whose machines can lose power. */
import * as protobuf from '@bufbuild/protobuf'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as configFeed from '../node/configFeed.js'
import * as controlService from '../node/controlService.js'
import * as diskTiming from '../node/diskTiming.js'
import * as election from '../node/election.js'
import * as evacuationService from '../node/evacuationService.js'
import * as joiner from '../node/joiner.js'
import * as replica from '../node/replica.js'
import type * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import * as replicaStorage from '../node/replicaStorage.js'
import * as recordedDecisions from './recordedDecisions.js'
import * as simulatedDisk from './simulatedDisk.js'

const tolerateLostDisks = 2
const maxReplicas = 9
const seedCount = 3
const minOneWayDelayMs = 0.3
const maxOneWayDelayMs = 3
const voterCheckIntervalMs = 500
const monitorIntervalMs = 1000
const electionTimeoutMs = 400
/** Limit of the inner listener. */
const defaultMaxMessageBytes = 32 * 1024 * 1024

/** Sizes and times of the simulated group. */
export interface GroupOptions {
  readonly machineCount: number
  readonly snapshotEvery: number
  /** Processor time of a message. */
  readonly messageMs: number
  /** Largest message that a replica accepts, by default that of the inner listener. */
  readonly maxMessageBytes?: number
  /** Rate at which a connection carries messages, and a process handles them; unlimited by default. */
  readonly bytesPerMs?: number
  readonly random: () => number
}

/** An election that a replica won. */
export interface WonElection {
  readonly address: string
  readonly term: number
  readonly at: number
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
  readonly evacuations: evacuationService.EvacuationService
  readonly feed: configFeed.ConfigFeed
  readonly storage: replicaStorage.ReplicaStorage
  readonly disk: diskTiming.DiskTiming
  readonly decisions: recordedDecisions.RecordedDecisions

  /** @param onFailure called when the process ends by itself. */
  constructor (private readonly group: SimulatedGroup, readonly machine: Machine, private readonly onFailure: (err: Error) => void) {
    this.whenEnded.promise.catch(() => {})
    const decisions = group.createDecisions(machine)
    this.decisions = decisions
    this.disk = new diskTiming.DiskTiming(decisions, electionTimeoutMs)
    this.storage = new replicaStorage.ReplicaStorage(simulatedDisk.dataFolder, 'c', onFailure, machine.disk.openFor(this.ended.signal), this.disk)
    const options = { address: machine.address, operatorAddress: '', failureDomain: 'a', electionTimeoutMs, heartbeatMs: 100, snapshotEvery: group.options.snapshotEvery }
    this.replica = new replica.Replica(options, this.storage, group.linksOf(this), decisions)
    this.service = new controlService.ControlService(this.replica, { groupAddresses: [], seedAddresses: group.seedAddresses, maxReplicas, tolerateLostDisks }, decisions)
    this.evacuations = new evacuationService.EvacuationService(this.service, undefined, decisions, { mayInputBeStale: () => false }, { mark: () => ({ monotonicMs: performance.now(), timeOfDayMs: 0, uptimeMs: 0 }) })
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
    this.keepMonitoring()
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

  private async keepMonitoring (): Promise<void> {
    while (!this.hasEnded) {
      await async.sleep(monitorIntervalMs)
      if (this.hasEnded) return
      this.replica.monitor.check()
      this.disk.check()
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
  /** Whether replicas answer `ReadConfig`, which earlier builds don't know. */
  forwardsReads = true
  /** Errors with which processes ended by themselves. */
  readonly failures: Error[] = []
  readonly wonElections: WonElection[] = []

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

  /** Returns a decision log that records won elections. */
  createDecisions (machine: Machine): recordedDecisions.RecordedDecisions {
    return new recordedDecisions.RecordedDecisions(({ event, term }) => {
      if (event === 'control-leader') this.wonElections.push({ address: machine.address, term: Number(term), at: performance.now() })
    })
  }

  /** Returns the links of one process to the others: one for each address and purpose. */
  linksOf (sender: ControlProcess): replicaLinks.ReplicaLinks {
    const links = new Map<string, replicaLinks.ReplicaLink>()
    const linkTo = (address: string, purpose = ''): replicaLinks.ReplicaLink => {
      const key = `${address} ${purpose}`
      const link = links.get(key) ?? this.createLink(sender, address)
      links.set(key, link)
      return link
    }
    return { linkTo, dispose: () => {} } as unknown as replicaLinks.ReplicaLinks
  }

  /** Delivers a message to a machine and returns the response; an operator has no process. */
  async deliver<T> (sender: ControlProcess | undefined, to: Machine, run: (process: ControlProcess) => Promise<T>, transfer: ITransfer = immediateTransfer): Promise<T> {
    await transfer.send()
    await this.travel(sender, to)
    const receiver = to.process
    if (receiver === undefined) throw unreachable()
    const response = await receiver.handle(this.options.messageMs + transfer.handlingMs, run)
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

  private createLink (sender: ControlProcess, address: string): replicaLinks.ReplicaLink {
    const { maxMessageBytes = defaultMaxMessageBytes, bytesPerMs = Infinity } = this.options
    const to = this.machines.find((machine) => machine.address === address)!
    const connection = new Connection(bytesPerMs)
    const send = async <Req extends protobuf.Message, Res extends protobuf.Message>(schema: protobuf.DescMessage, req: Req, signal: AbortSignal | undefined, responseSchema: protobuf.DescMessage, run: (process: ControlProcess) => Promise<Res>): Promise<Res> => {
      const bytes = protobuf.toBinary(schema, req).length
      const receive = async (process: ControlProcess): Promise<Res> => {
        if (bytes > maxMessageBytes) throw new errors.RackError({ kind: 'too-large', message: `the message has ${bytes} bytes, the limit is ${maxMessageBytes}` })
        return await run(process)
      }
      const response = await this.deliver(sender, to, receive, connection.transfer(bytes, signal))
      await connection.transfer(protobuf.toBinary(responseSchema, response).length, signal).send()
      return response
    }
    const client = {
      vote: async (req: inner.VoteReq, { signal }: CallOptions = {}) => await send(inner.VoteReqSchema, req, signal, inner.VoteResSchema, async ({ replica }) => await replica.handleVote(req)),
      append: (reqs: AsyncIterable<inner.AppendReq>, { signal }: CallOptions = {}) => respondToAppends(reqs, async (req) =>
        await send(inner.AppendReqSchema, req, signal, inner.AppendResSchema, async ({ replica }) => await replica.handleAppend(req))),
      installSnapshot: async (req: inner.InstallSnapshotReq, { signal }: CallOptions = {}) =>
        await send(inner.InstallSnapshotReqSchema, req, signal, inner.InstallSnapshotResSchema, async ({ replica }) => await replica.handleInstallSnapshot(req)),
      replicatePart: async (req: inner.ReplicationPart, { signal }: CallOptions = {}) =>
        await send(inner.ReplicationPartSchema, req, signal, inner.ReplicationPartResSchema, async ({ replica }) => await handlePart(replica, req)),
      join: async (req: inner.JoinReq, { signal }: CallOptions = {}) => await send(inner.JoinReqSchema, req, signal, inner.JoinResSchema, async ({ service }) => service.join(req.replica!)),
      put: async (req: inner.PutConfig, { signal }: CallOptions = {}) => await send(inner.PutConfigSchema, req, signal, inner.PutResSchema, async ({ service, replica: { leadership } }) => {
        if (leadership === undefined) throw notLeader()
        return protobuf.create(inner.PutResSchema, { heldVersion: BigInt(await service.putAsLeader(leadership, req)) })
      }),
      depart: async (req: inner.Departures, { signal }: CallOptions = {}) => await send(inner.DeparturesSchema, req, signal, inner.DepartResSchema, async ({ service, replica: { leadership } }) => {
        if (leadership === undefined) throw notLeader()
        await service.departAsLeader(leadership, req)
        return protobuf.create(inner.DepartResSchema)
      }),
      readIndex: async (_req: unknown, { signal }: CallOptions = {}) => await send(inner.ReadIndexReqSchema, protobuf.create(inner.ReadIndexReqSchema), signal, inner.ReadIndexResSchema, async ({ replica: { leadership } }) => {
        if (leadership === undefined) throw notLeader()
        return protobuf.create(inner.ReadIndexResSchema, { index: BigInt(await leadership.readIndex()) })
      }),
      readConfig: async (_req: unknown, { signal }: CallOptions = {}) => await send(inner.ReadConfigReqSchema, protobuf.create(inner.ReadConfigReqSchema), signal, inner.ReadConfigResSchema, async ({ service, replica: { leadership } }) => {
        if (!this.forwardsReads) throw unimplemented()
        if (leadership === undefined) throw notLeader()
        return await service.readConfigAsLeader(leadership)
      })
    } as unknown as replicaLinks.ReplicaClient
    const call = async <T>(run: (each: replicaLinks.ReplicaClient, options: object) => Promise<T>, timeoutMs: number, onTimeout: peerLink.TimeoutAction = 'reset'): Promise<T> => {
      const ended = new AbortController()
      const closeIfReset = (): errors.RackError => {
        if (onTimeout === 'reset') connection.reset()
        return unreachable()
      }
      try {
        return await async.withTimeout(Promise.race([run(client, { signal: ended.signal }), connection.whenReset]), timeoutMs, closeIfReset)
      } finally {
        ended.abort()
      }
    }
    return { address, client, call, reset: () => connection.reset() } as unknown as replicaLinks.ReplicaLink
  }
}

interface CallOptions {
  readonly signal?: AbortSignal
}

/** The way of one message over a connection. */
interface ITransfer {
  /** Processor time that its bytes take at the receiver. */
  readonly handlingMs: number
  /** Resolves once all its bytes are sent; throws if the connection or the call ends before. */
  send(): Promise<void>
}

const immediateTransfer: ITransfer = { handlingMs: 0, send: async () => {} }

function createResetSignal (): async.Deferred<never> {
  const signal = new async.Deferred<never>()
  // A connection may be reset while no response is awaited.
  signal.promise.catch(() => {})
  return signal
}

/** A connection, which carries the bytes of one message after the other. */
class Connection {
  private freeAt = 0
  private closed = new AbortController()
  private resetSignal = createResetSignal()

  constructor (private readonly bytesPerMs: number) {}

  /** Rejects when the connection is reset. */
  get whenReset (): Promise<never> {
    return this.resetSignal.promise
  }

  transfer (bytes: number, signal: AbortSignal | undefined): ITransfer {
    const durationMs = bytes / this.bytesPerMs
    return { handlingMs: durationMs, send: async () => { if (durationMs > 0) await this.send(durationMs, signal) } }
  }

  /** Ends the messages that are being sent, and the calls whose responses are awaited. */
  reset (): void {
    this.closed.abort()
    this.closed = new AbortController()
    this.resetSignal.reject(unreachable())
    this.resetSignal = createResetSignal()
    this.freeAt = 0
  }

  private async send (durationMs: number, signal: AbortSignal | undefined): Promise<void> {
    const { closed } = this
    this.freeAt = Math.max(performance.now(), this.freeAt) + durationMs
    await async.sleep(this.freeAt - performance.now())
    if (closed.signal.aborted || signal?.aborted === true) throw unreachable()
  }
}

/** Handles a part of a message, if the replica supports that. */
async function handlePart (receiver: replica.Replica, req: inner.ReplicationPart): Promise<inner.ReplicationPartRes> {
  const { handlePart: handle } = receiver as { handlePart?: (part: inner.ReplicationPart) => Promise<inner.ReplicationPartRes> }
  if (handle === undefined) throw unimplemented()
  return await handle.call(receiver, req)
}

async function * respondToAppends (reqs: AsyncIterable<inner.AppendReq>, send: (req: inner.AppendReq) => Promise<inner.AppendRes>): AsyncGenerator<inner.AppendRes> {
  for await (const req of reqs) yield await send(req)
}

function unreachable (): errors.RackError {
  return new errors.RackError({ kind: 'unreachable', message: 'no response' })
}

/** Fault with which a link reports a method that the receiver doesn't know. */
function unimplemented (): errors.RackError {
  return new errors.RackError({ kind: 'unsupported', message: '[unimplemented] HTTP 404' })
}

function notLeader (): errors.RackError {
  return new errors.RackError({ kind: 'not-leader', message: 'this replica is not the leader; nothing was written' })
}
