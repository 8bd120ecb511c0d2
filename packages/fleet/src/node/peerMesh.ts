/** Streams between the processes of a fleet: members, endpoints, suspects and configuration versions. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as freezeDetector from '@rosemaryrack/base/common/freezeDetector.js'
import type * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as endpointTable from '../common/endpointTable.js'
import * as fleetCodec from '../common/fleetCodec.js'
import type * as memberTable from '../common/memberTable.js'
import type * as suspectTable from '../common/suspectTable.js'
import * as peerOutbox from './peerOutbox.js'
import * as streamWatchdog from './streamWatchdog.js'

const minRetryMs = 50
const maxRetryMs = 2000
const fetchTimeoutMs = 3000
const sweepMs = 5000
const membersEveryMs = 10_000
/** Time from a spoke's first configuration to its subscriptions to the other hubs, which compete with the first requests. */
const otherHubsAfterMs = 400

/** The configuration as a process holds it. */
export interface IMeshConfigs {
  readonly current: configDocument.VersionedConfig
  readonly currentJson: string
  /** Milliseconds since a quorum confirmed the current version; infinite before the first time. */
  readonly confirmedAgeMs: number
  readonly onChanged: event.Event<unknown>
  /** Resolves with true once the replica that is asked first confirms the configuration, with false when it can't in time. */
  isFirstConfirmed(): Promise<boolean>
  /** Takes what a peer told of its version. */
  hearPeer(version: number, confirmed: boolean, ageMs: number, fetch: () => Promise<inner.ConfigVersion>): void
}

/** The tables that the mesh keeps alike on all processes. */
export interface MeshTables {
  readonly members: memberTable.MemberTable
  readonly endpoints: endpointTable.EndpointTable
  readonly suspects: suspectTable.SuspectTable
  readonly configs: IMeshConfigs
}

/**
 * Place in the fleet: peers subscribe to each other; where there are hubs, these subscribe to everyone, and the others,
 * the spokes, only to hubs.
 */
export type MeshRole = 'peer' | 'hub' | 'spoke'

/** This instance as its peers see it. */
export interface MeshSelf {
  readonly instance: string
  readonly address: string
  readonly failureDomain: string
  readonly incarnation: number
  readonly role: MeshRole
}

type EntryLink = peerLink.PeerLink<typeof inner.EntryPeer>

/** Subscribes to each member and serves their subscriptions. */
export class PeerMesh implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly stopped = new AbortController()
  private readonly outboxes = new Set<peerOutbox.PeerOutbox>()
  private readonly subscriptions = new Map<string, AbortController>()
  private readonly watchdogs = new Set<streamWatchdog.StreamWatchdog>()
  private hasStarted = false

  constructor (
    private readonly self: MeshSelf,
    private readonly seeds: readonly string[],
    private readonly identity: innerListener.LinkIdentity,
    private readonly tables: MeshTables,
    private readonly freeze: freezeDetector.FreezeDetector,
    private readonly decisions: decisionLog.IDecisionLog
  ) {
    const { members, endpoints, suspects, configs } = tables
    // A spoke learns of endpoints from its hubs, so it has no news for them.
    if (self.role !== 'spoke') this.disposables.add(endpoints.onChanged((endpoint) => this.forEachOutbox((outbox) => outbox.addEndpoint(endpoint.endpoint))))
    if (self.role === 'hub') this.disposables.add(configs.onChanged(() => this.forEachOutbox((outbox) => outbox.noteConfig())))
    this.disposables.add(suspects.onChanged((suspect) => this.forEachOutbox((outbox) => outbox.addSuspect(suspect.fingerprint))))
    this.disposables.add(members.onJoined((member) => this.memberJoined(member)))
    this.disposables.add(members.onLeft((member) => this.memberLeft(member)))
    this.disposables.add(freeze.onThaw((gapMs) => this.resubscribe(gapMs)))
    this.disposables.addInterval(() => this.sweep(), sweepMs)
  }

  /** Subscribes to the seeds; a spoke to one hub first, which knows all endpoints unless its disk was lost. */
  async start (): Promise<void> {
    const [first] = this.seeds
    if (this.self.role === 'spoke' && first !== undefined) {
      this.subscribeTo(first)
      if (await this.tables.configs.isFirstConfirmed()) await async.sleep(otherHubsAfterMs, this.stopped.signal)
    }
    if (this.stopped.signal.aborted) return
    this.hasStarted = true
    for (const address of [...this.seeds, ...this.hubAddresses]) this.subscribeTo(address)
  }

  /** Takes further addresses to subscribe to. */
  addSeeds (addresses: readonly string[]): void {
    for (const address of addresses) this.subscribeTo(address)
  }

  dispose (): void {
    this.stopped.abort()
    for (const subscription of this.subscriptions.values()) subscription.abort()
    this.disposables.dispose()
  }

  /** Tells peers of a renewal that this instance took from the target itself. */
  noteRenewal (endpointId: string, leaseMs: number): void {
    this.forEachOutbox((outbox) => outbox.addRenewal(endpointId, leaseMs))
  }

  /** Tells hubs that an endpoint says that it leaves, as this instance heard from the endpoint itself. */
  noteLeaving (endpointId: string): void {
    this.forEachOutbox((outbox) => outbox.addEndpoint(endpointId))
  }

  /**
   * Resolves once the news of this moment has been written to the streams of the peers that take it: an update is
   * made in the first turn of the event loop, and HTTP/2 writes it in the next. No answer of a peer is awaited.
   */
  async newsWritten (): Promise<void> {
    if (this.outboxes.size === 0) return
    await async.nextTurn()
    await async.nextTurn()
  }

  registerRpc (router: connect.ConnectRouter): void {
    const { configs } = this.tables
    router.service(inner.EntryPeer, {
      subscribe: (req, context) => this.serve(req, context.signal),
      fetchConfig: () => ({ version: configs.current.version, documentJson: configs.currentJson })
    })
  }

  private forEachOutbox (add: (outbox: peerOutbox.PeerOutbox) => void): void {
    for (const outbox of this.outboxes) add(outbox)
  }

  private get hubAddresses (): readonly string[] {
    return this.tables.members.all().filter(({ hub }) => hub).map(({ address }) => address)
  }

  private memberJoined (member: memberTable.Member): void {
    this.decisions.record({ event: 'member', choice: member.instance, address: member.address, why: 'joined' })
    if (this.self.role !== 'spoke' || (member.hub && this.hasStarted)) this.subscribeTo(member.address)
  }

  private memberLeft (member: memberTable.Member): void {
    this.decisions.record({ event: 'member', choice: member.instance, address: member.address, why: 'silent for too long' })
    if (this.seeds.includes(member.address)) return
    this.subscriptions.get(member.address)?.abort()
    this.subscriptions.delete(member.address)
  }

  private sweep (): void {
    this.tables.members.sweep(this.tables.configs.confirmedAgeMs)
    this.tables.endpoints.sweep()
    this.tables.suspects.sweep()
  }

  /** What waits in the connections' buffers is older than it looks, so all streams begin anew. */
  private resubscribe (gapMs: number): void {
    this.decisions.record({ event: 'thaw', gapMs: Math.round(gapMs), why: 'the process stood still; peer streams begin anew' })
    this.tables.endpoints.noteThaw()
    for (const watchdog of this.watchdogs) watchdog.abort()
  }

  // ---- Serving ----

  /** Streams to one peer: all that is known at first, then changes and heartbeats. */
  private async * serve (req: inner.SubscribeReq, signal: AbortSignal): AsyncGenerator<inner.PeerUpdate> {
    const startedAt = performance.now()
    const outbox = new peerOutbox.PeerOutbox(this.paceFor(req.from))
    this.outboxes.add(outbox)
    if (req.from !== undefined) this.tables.members.hear(fleetCodec.decodeMember(req.from), 0)
    try {
      yield this.fullUpdate(startedAt)
      let membersSentAt = startedAt
      while (!signal.aborted && !this.stopped.signal.aborted) {
        const batch = await outbox.next(signal)
        const withMembers = performance.now() - membersSentAt >= membersEveryMs
        if (withMembers) membersSentAt = performance.now()
        yield this.deltaUpdate(batch, startedAt, withMembers)
      }
    } finally {
      this.outboxes.delete(outbox)
    }
  }

  private paceFor (peer: inner.Member | undefined): peerOutbox.OutboxPace {
    if (this.self.role === 'spoke') return peerOutbox.lifePace
    return this.self.role === 'hub' && peer?.hub !== true ? peerOutbox.spokePace : peerOutbox.peerPace
  }

  private fullUpdate (startedAt: number): inner.PeerUpdate {
    const now = performance.now()
    const update = this.baseUpdate(startedAt, true)
    update.announcements = this.tables.endpoints.all().map((endpoint) => fleetCodec.encodeEndpoint(endpoint, now))
    update.suspects = this.tables.suspects.all().map((suspect) => encodeSuspect(suspect, now))
    return update
  }

  private deltaUpdate (batch: peerOutbox.OutboxBatch, startedAt: number, withMembers: boolean): inner.PeerUpdate {
    const now = performance.now()
    const update = this.baseUpdate(startedAt, withMembers)
    for (const id of batch.endpoints) {
      const endpoint = this.tables.endpoints.get(id)
      if (endpoint !== undefined) update.announcements.push(fleetCodec.encodeEndpoint(endpoint, now))
    }
    for (const id of batch.renewals) {
      const endpoint = this.tables.endpoints.get(id)
      if (endpoint !== undefined && !batch.endpoints.has(id)) update.renewals.push(fleetCodec.encodeRenewal(endpoint, now))
    }
    for (const fingerprint of batch.suspects) {
      const suspect = this.tables.suspects.get(fingerprint)
      if (suspect !== undefined) update.suspects.push(encodeSuspect(suspect, now))
    }
    return update
  }

  /** A confirmation from before the stream began may miss what was accepted before its subscriber started. */
  private baseUpdate (startedAt: number, withMembers: boolean): inner.PeerUpdate {
    const now = performance.now()
    const { configs, members } = this.tables
    const confirmedAgeMs = configs.confirmedAgeMs
    const confirmed = now - confirmedAgeMs >= startedAt
    return protobuf.create(inner.PeerUpdateSchema, {
      self: this.selfMember(),
      members: withMembers ? this.toldMembers().map((member) => fleetCodec.encodeMember(member, now)) : [],
      liveEntries: this.self.role === 'hub' ? members.liveCount : 0,
      configVersion: configs.current.version,
      confirmed,
      confirmedAgeMs: confirmed ? Math.round(confirmedAgeMs) : 0
    })
  }

  /** Of entry instances that use hubs only their number is told, whatever it is. */
  private toldMembers (): readonly memberTable.Member[] {
    const all = this.tables.members.all()
    return this.self.role === 'peer' ? all : all.filter(({ hub }) => hub)
  }

  private selfMember (): inner.Member {
    const { role, incarnation, ...named } = this.self
    return protobuf.create(inner.MemberSchema, { ...named, incarnation: BigInt(incarnation), hub: role === 'hub' })
  }

  // ---- Subscribing ----

  private subscribeTo (address: string): void {
    if (address === this.self.address || this.subscriptions.has(address)) return
    const stop = new AbortController()
    this.subscriptions.set(address, stop)
    this.keepSubscribed(address, stop.signal)
  }

  /** Task of one peer: subscribes, and again whenever the stream ends or falls silent. */
  private async keepSubscribed (address: string, stop: AbortSignal): Promise<void> {
    const link = new peerLink.PeerLink(inner.EntryPeer, address, this.identity)
    let retryMs = minRetryMs
    while (!stop.aborted) {
      const updates = await this.subscribeOnce(link, stop)
      retryMs = updates > 0 ? minRetryMs : Math.min(maxRetryMs, retryMs * 2)
      await async.sleep(retryMs, stop)
    }
    link.dispose()
  }

  /** Takes updates until the stream ends; returns how many there were. */
  private async subscribeOnce (link: EntryLink, stop: AbortSignal): Promise<number> {
    const watchdog = new streamWatchdog.StreamWatchdog(stop, () => link.reset())
    this.watchdogs.add(watchdog)
    let updates = 0
    try {
      const stream = link.client.subscribe({ from: this.selfMember() }, { signal: watchdog.signal })
      for await (const update of stream) {
        if (this.freeze.check()) {
          link.reset()
          break
        }
        watchdog.heard()
        updates++
        this.takeUpdate(update, link)
      }
    } catch {
      // The peer is gone or silent; the task subscribes again.
    } finally {
      watchdog.dispose()
      this.watchdogs.delete(watchdog)
    }
    return updates
  }

  private takeAnnouncement (wire: inner.Announcement): void {
    const announced = fleetCodec.decodeAnnouncement(wire)
    if (wire.committed) this.tables.endpoints.applyDeparture(announced)
    else this.tables.endpoints.apply(announced, wire.ageMs)
    if (wire.leaving) this.tables.endpoints.noteLeaving(announced.endpoint, announced.incarnation)
  }

  private takeUpdate (update: inner.PeerUpdate, link: EntryLink): void {
    const { members, endpoints, suspects, configs } = this.tables
    if (update.self !== undefined) members.hear(fleetCodec.decodeMember(update.self), 0)
    if (update.liveEntries > 0 && update.self !== undefined) members.noteEntryCount(update.self.instance, update.liveEntries)
    for (const member of update.members) members.hear(fleetCodec.decodeMember(member), member.ageMs)
    for (const wire of update.announcements) this.takeAnnouncement(wire)
    for (const wire of update.renewals) endpoints.renew(fleetCodec.decodeRenewal(wire), wire.ageMs)
    for (const wire of update.suspects) suspects.merge(decodeSuspect(wire))
    configs.hearPeer(update.configVersion, update.confirmed, update.confirmedAgeMs, async () =>
      await link.call(async (client, options) => await client.fetchConfig({}, options), fetchTimeoutMs))
  }
}

function encodeSuspect (suspect: suspectTable.Suspect, now: number): inner.Suspect {
  return protobuf.create(inner.SuspectSchema, {
    fingerprint: suspect.fingerprint,
    deaths: [...suspect.deaths],
    clearedDeaths: [...suspect.clearedDeaths],
    ageMs: fleetCodec.ageMs(suspect.since, now)
  })
}

function decodeSuspect (wire: inner.Suspect): suspectTable.Suspect {
  return {
    fingerprint: wire.fingerprint,
    deaths: wire.deaths,
    clearedDeaths: wire.clearedDeaths,
    since: performance.now() - wire.ageMs
  }
}
