/** Entry instances that requests can be forwarded to while this instance is partitioned from the targets. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as memberTable from './memberTable.js'

/** Maximum number of peers that a hub names. */
const maxPeerCount = 12
/** Lists of hubs that are older than the newest one by this time are ignored; several times the interval at which hubs send them. */
const listLifetimeMs = 3500

/** An entry instance that accepts requests from other entry instances. */
export interface ForwardingPeer {
  readonly instance: string
  /** Address at which it accepts forwarded requests. */
  readonly forwardAddress: string
  readonly failureDomain: string
}

/** Source of the instances that requests can be forwarded to. */
export interface IForwardingPeers {
  /** Peers that reach targets, those of the own failure domain first. */
  peers(): readonly ForwardingPeer[]
}

/** Source of random numbers from 0 to 1. */
export interface IRandom {
  next(): number
}

interface PeerList {
  readonly peers: readonly ForwardingPeer[]
  readonly at: number
}

/** Peers from the own table of members, which holds entry instances in a full mesh, and from lists that hubs send. */
export class ForwardingPeers implements IForwardingPeers {
  private readonly listsByHub = new Map<string, PeerList>()

  constructor (
    private readonly members: Pick<memberTable.MemberTable, 'forwardingMembers'>,
    private readonly ownFailureDomain: string,
    private readonly random: IRandom,
    private readonly clock: clock.IClock
  ) {}

  /** Replaces the list that a hub sent before. */
  applyList (hub: string, peers: readonly ForwardingPeer[]): void {
    this.listsByHub.set(hub, { peers, at: this.clock.now() })
  }

  /** Peers of one failure domain are in random order, so that the instances of a partition spread their requests. */
  peers (): readonly ForwardingPeer[] {
    const byInstance = new Map<string, ForwardingPeer>()
    for (const peer of this.recentLists().flatMap(({ peers }) => peers)) byInstance.set(peer.instance, peer)
    for (const peer of this.members.forwardingMembers().flatMap(toPeer)) byInstance.set(peer.instance, peer)
    return sortByRank([...byInstance.values()], ({ failureDomain }) => (failureDomain === this.ownFailureDomain ? 0 : 1) + this.random.next())
  }

  /** The last lists stay valid when no newer one follows, since the hubs may be lost too. */
  private recentLists (): readonly PeerList[] {
    const lists = [...this.listsByHub.values()]
    const newestAt = lists.reduce((latest, { at }) => Math.max(latest, at), -Infinity)
    return lists.filter(({ at }) => newestAt - at < listLifetimeMs)
  }
}

/** Selects the peers that a hub names to one subscriber. */
export class PeerSelection {
  private selected: ReadonlySet<string> = new Set()

  constructor (private readonly failureDomain: string, private readonly random: IRandom) {}

  /** Returns random members, those of the subscriber's failure domain first; keeps earlier ones while they are eligible, since connections to them may be open. */
  select (eligible: readonly memberTable.Member[]): readonly memberTable.Member[] {
    const rank = ({ instance, failureDomain }: memberTable.Member): number =>
      (failureDomain === this.failureDomain ? 0 : 2) + (this.selected.has(instance) ? 0 : 1) + this.random.next()
    const selected = sortByRank(eligible, rank).slice(0, maxPeerCount)
    this.selected = new Set(selected.map(({ instance }) => instance))
    return selected
  }
}

function toPeer ({ instance, forwardAddress, failureDomain }: memberTable.Member): readonly ForwardingPeer[] {
  return forwardAddress === undefined ? [] : [{ instance, forwardAddress, failureDomain }]
}

function sortByRank<T> (items: readonly T[], rankOf: (item: T) => number): readonly T[] {
  return items.map((item) => ({ item, rank: rankOf(item) })).sort((a, b) => a.rank - b.rank).map(({ item }) => item)
}
