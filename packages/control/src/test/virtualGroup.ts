/** A simulated group of control replicas in virtual time, with slow disks and different start times. */
import * as protobuf from '@bufbuild/protobuf'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as replicatedState from '../common/replicatedState.js'
import * as election from '../node/election.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'

const oneWayDelayMs = 1
/** Longest time that a busy, newly started process takes to read a message. */
const maxStartupDelayMs = 10
const snapshotIndex = 20
const snapshotTerm = 3

/** Conditions of one start of the group. */
export interface GroupOptions {
  /** Start time of each voter in milliseconds; undefined for a voter that doesn't start. */
  readonly startTimesMs: ReadonlyArray<number | undefined>
  readonly syncMs: number
  /** Voter that led before the start, if the voters have stored their vote for it. */
  readonly formerLeader: number | undefined
  readonly random: () => number
}

/** An election that a voter won. */
export interface WonElection {
  readonly voter: number
  readonly term: number
  readonly wonAtMs: number
}

/** Storage whose writes take the time of a disk sync. */
class SlowStorage implements replicaStorage.IReplicaStorage {
  readonly isDiskFull = false

  constructor (private readonly stored: replicaStorage.StoredReplica, private readonly syncMs: number) {}

  onDiskFullChanged (): { dispose: () => void } {
    return { dispose: () => {} }
  }

  async load (): Promise<replicaStorage.StoredReplica> {
    return this.stored
  }

  async saveMeta (): Promise<void> {
    await async.sleep(this.syncMs)
  }

  async append (): Promise<void> {
    await async.sleep(this.syncMs)
  }

  async rewrite (): Promise<void> {
    await async.sleep(this.syncMs)
  }

  async saveSnapshot (): Promise<void> {
    await async.sleep(this.syncMs)
  }

  dispose (): void {}
}

/** Starts the replicas at the given times and records which of them win elections. */
export class VirtualGroup {
  readonly wonElections: WonElection[] = []
  private readonly members = new Map<string, replica.Replica>()
  private readonly elections: election.Election[] = []

  constructor (private readonly options: GroupOptions) {
    options.startTimesMs.forEach((at, voter) => {
      if (at !== undefined) setTimeout(() => { this.start(voter) }, at)
    })
  }

  dispose (): void {
    for (const each of this.elections) each.dispose()
    for (const member of this.members.values()) member.dispose()
  }

  private get membership (): inner.Membership {
    return protobuf.create(inner.MembershipSchema, {
      replicas: this.options.startTimesMs.map((_at, voter) => ({ id: idOf(voter), address: addressOf(voter), operatorAddress: '', failureDomain: 'a', voter: true }))
    })
  }

  private async start (voter: number): Promise<void> {
    const { formerLeader, syncMs } = this.options
    const votedFor = formerLeader === undefined ? '' : idOf(formerLeader)
    const storage = new SlowStorage({
      meta: protobuf.create(inner.ReplicaMetaSchema, { replicaId: idOf(voter), cluster: 'c', founded: true, term: snapshotTerm, votedFor }),
      snapshot: new replicatedState.ReplicatedState().toSnapshot(snapshotIndex, snapshotTerm, this.membership),
      entries: []
    }, syncMs)
    const options = { address: addressOf(voter), operatorAddress: '', failureDomain: 'a', electionTimeoutMs: 400, heartbeatMs: 100, snapshotEvery: 1000 }
    const member = new replica.Replica(options, storage, this.links(), this.decisions(voter))
    await member.load()
    this.members.set(addressOf(voter), member)
    const electionTask = new election.Election(member)
    this.elections.push(electionTask)
    electionTask.run()
  }

  private decisions (voter: number): decisionLog.IDecisionLog {
    return {
      record: ({ event, term }: { readonly event: string, readonly term?: unknown }) => {
        if (event === 'control-leader') this.wonElections.push({ voter, term: Number(term), wonAtMs: performance.now() })
      }
    } as unknown as decisionLog.IDecisionLog
  }

  private links (): replicaLinks.ReplicaLinks {
    return { linkTo: (address: string) => this.linkTo(address) } as unknown as replicaLinks.ReplicaLinks
  }

  private linkTo (address: string): replicaLinks.ReplicaLink {
    const client = {
      vote: async (req: inner.VoteReq) => await this.deliver(address, async (member) => await member.handleVote(req)),
      append: (requests: AsyncIterable<inner.AppendReq>) => this.respondToAppends(address, requests)
    } as unknown as replicaLinks.ReplicaClient
    const call = async <T>(run: (each: replicaLinks.ReplicaClient, options: object) => Promise<T>, timeoutMs: number): Promise<T> =>
      await async.withTimeout(run(client, {}), timeoutMs, unreachable)
    return { address, client, call, reset: () => {} } as unknown as replicaLinks.ReplicaLink
  }

  private async * respondToAppends (address: string, requests: AsyncIterable<inner.AppendReq>): AsyncGenerator<inner.AppendRes> {
    for await (const req of requests) yield await this.deliver(address, async (member) => await member.handleAppend(req))
  }

  /** Delivers a message and returns the response; throws when the process at the address hasn't started. */
  private async deliver<T> (address: string, handle: (member: replica.Replica) => Promise<T>): Promise<T> {
    await async.sleep(oneWayDelayMs)
    const member = this.members.get(address)
    if (member === undefined) throw unreachable()
    await async.sleep(this.options.random() * maxStartupDelayMs)
    const response = await handle(member)
    await async.sleep(oneWayDelayMs)
    return response
  }
}

function unreachable (): errors.RackError {
  return new errors.RackError({ kind: 'unreachable', message: 'nothing listens at this address' })
}

function idOf (voter: number): string {
  return `r-${voter}`
}

function addressOf (voter: number): string {
  return `10.0.0.${voter + 1}:7200`
}
