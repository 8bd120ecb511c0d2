/** A group of control replicas in virtual time, with slow disks, and with processes that start apart from each other. */
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

const oneWayMs = 1
/** Longest time that a process that just started lets a message wait. */
const busyMs = 10
const lastIndex = 20
const lastTerm = 3

/** What one start is like. */
export interface GroupOptions {
  /** When each voter starts, in milliseconds; undefined for one that doesn't. */
  readonly startsAt: ReadonlyArray<number | undefined>
  readonly syncMs: number
  /** Voter that led before, if the others know. */
  readonly formerLeader: number | undefined
  readonly random: () => number
}

/** A leadership that began. */
export interface Won {
  readonly voter: number
  readonly term: number
  readonly at: number
}

class SlowStorage implements replicaStorage.IReplicaStorage {
  readonly isFull = false

  constructor (private readonly stored: replicaStorage.StoredReplica, private readonly syncMs: number) {}

  onFullChanged (): { dispose: () => void } {
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

/** Starts by its options; tells who won elections. */
export class VirtualGroup {
  readonly won: Won[] = []
  private readonly members = new Map<string, replica.Replica>()
  private readonly elections: election.Election[] = []

  constructor (private readonly options: GroupOptions) {
    options.startsAt.forEach((at, voter) => {
      if (at !== undefined) setTimeout(() => { this.start(voter) }, at)
    })
  }

  dispose (): void {
    for (const each of this.elections) each.dispose()
    for (const member of this.members.values()) member.dispose()
  }

  private get membership (): inner.Membership {
    return protobuf.create(inner.MembershipSchema, {
      replicas: this.options.startsAt.map((_at, voter) => ({ id: idOf(voter), address: addressOf(voter), operatorAddress: '', failureDomain: 'a', voter: true }))
    })
  }

  private async start (voter: number): Promise<void> {
    const { formerLeader, syncMs } = this.options
    const votedFor = formerLeader === undefined ? '' : idOf(formerLeader)
    const storage = new SlowStorage({
      meta: protobuf.create(inner.ReplicaMetaSchema, { replicaId: idOf(voter), cluster: 'c', founded: true, term: lastTerm, votedFor }),
      snapshot: new replicatedState.ReplicatedState().toSnapshot(lastIndex, lastTerm, this.membership),
      entries: []
    }, syncMs)
    const options = { address: addressOf(voter), operatorAddress: '', failureDomain: 'a', electionTimeoutMs: 400, heartbeatMs: 100, snapshotEvery: 1000 }
    const member = new replica.Replica(options, storage, this.links(), this.decisions(voter))
    await member.load()
    this.members.set(addressOf(voter), member)
    const watch = new election.Election(member)
    this.elections.push(watch)
    watch.run()
  }

  private decisions (voter: number): decisionLog.IDecisionLog {
    return {
      record: ({ event, term }: { readonly event: string, readonly term?: unknown }) => {
        if (event === 'control-leader') this.won.push({ voter, term: Number(term), at: performance.now() })
      }
    } as unknown as decisionLog.IDecisionLog
  }

  private links (): replicaLinks.ReplicaLinks {
    return { to: (address: string) => this.linkTo(address) } as unknown as replicaLinks.ReplicaLinks
  }

  private linkTo (address: string): replicaLinks.ReplicaLink {
    const client = {
      vote: async (req: inner.VoteReq) => await this.deliver(address, async (member) => await member.handleVote(req)),
      append: (requests: AsyncIterable<inner.AppendReq>) => this.appends(address, requests)
    } as unknown as replicaLinks.ReplicaClient
    const call = async <T>(run: (each: replicaLinks.ReplicaClient, options: object) => Promise<T>, timeoutMs: number): Promise<T> =>
      await async.within(run(client, {}), timeoutMs, unreachable)
    return { address, client, call, reset: () => {} } as unknown as replicaLinks.ReplicaLink
  }

  private async * appends (address: string, requests: AsyncIterable<inner.AppendReq>): AsyncGenerator<inner.AppendRes> {
    for await (const req of requests) yield await this.deliver(address, async (member) => await member.handleAppend(req))
  }

  /** A process that hasn't started refuses; one that just did is slow to read. */
  private async deliver<T> (address: string, handle: (member: replica.Replica) => Promise<T>): Promise<T> {
    await async.sleep(oneWayMs)
    const member = this.members.get(address)
    if (member === undefined) throw unreachable()
    await async.sleep(this.options.random() * busyMs)
    const answer = await handle(member)
    await async.sleep(oneWayMs)
    return answer
  }
}

function unreachable (): errors.RackError {
  return new errors.RackError({ kind: 'unreachable', message: 'nothing listens there' })
}

function idOf (voter: number): string {
  return `r-${voter}`
}

function addressOf (voter: number): string {
  return `10.0.0.${voter + 1}:7200`
}
