/** Update streams between the processes of a cluster: members, endpoints, suspects and configuration versions. */
import type * as connect from '@connectrpc/connect'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as turnLimiter from '@rosemaryrack/base/common/turnLimiter.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'
import type * as announcement from '../common/announcement.js'
import * as coldEndpoints from '../common/coldEndpoints.js'
import type * as endpointLimit from '../common/endpointLimit.js'
import * as endpointTable from '../common/endpointTable.js'
import * as fleetCodec from '../common/fleetCodec.js'
import type * as memberTable from '../common/memberTable.js'
import type * as suspectTable from '../common/suspectTable.js'
import * as evacuationFeed from './evacuationFeed.js'
import * as forwardingFeed from './forwardingFeed.js'
import type * as meshTables from './meshTables.js'
import * as peerOutbox from './peerOutbox.js'
import * as streamWatchdog from './streamWatchdog.js'
import * as updateFactory from './updateFactory.js'

const random = { next: Math.random }
const minRetryMs = 50
const maxRetryMs = 2000
const fetchTimeoutMs = 3000
const sweepIntervalMs = 5000
const memberListIntervalMs = 10_000
/** Updates that are created, and subscriptions that are started, in one turn of the event loop. */
const maxUpdatesPerTurn = 16
/** Delay between a spoke's first configuration and its subscriptions to the other hubs, whose connections would slow down the first requests. */
const otherHubsDelayMs = 400

/** Description of this process that it sends to its peers. */
export interface MeshSelf {
  readonly instance: string
  readonly address: string
  readonly failureDomain: string
  readonly incarnation: number
  readonly role: meshTables.MeshRole
}

/** What an entry instance tells others about the forwarding of requests. */
export interface ForwardingState {
  /** Where it accepts requests from others; undefined if it accepts none. */
  readonly forwardAddress: string | undefined
  /** Whether it reaches no targets. */
  readonly cutOff: boolean
}

/** Work that a process has done for its subscribers. */
export interface ServingLoad {
  readonly openStreams: number
  readonly sentUpdates: number
  /** Endpoints and renewals that were encoded for updates. */
  readonly encodedEndpoints: number
}

type MeshLink = peerLink.PeerLink<typeof inner.EntryPeer>

/** Subscribes to the other members, as far as the role requires it, and serves their subscriptions. */
export class PeerMesh implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly stopped = new AbortController()
  private readonly outboxes = new Set<peerOutbox.PeerOutbox>()
  private readonly subscriptions = new Map<string, AbortController>()
  private readonly turns = new turnLimiter.TurnLimiter(maxUpdatesPerTurn)
  private readonly watchdogs = new Set<streamWatchdog.StreamWatchdog>()
  private readonly streams: failureLog.FailureLog
  private readonly updates: failureLog.FailureLog
  private hasStarted = false
  private readonly factory: updateFactory.UpdateFactory
  private forwarding: ForwardingState = { forwardAddress: undefined, cutOff: false }

  constructor (
    private readonly self: MeshSelf,
    private readonly seeds: readonly string[],
    private readonly identity: innerListener.LinkIdentity,
    private readonly tables: meshTables.MeshTables,
    private readonly pauses: pauseDetector.PauseDetector,
    private readonly decisions: decisionLog.IDecisionLog
  ) {
    const { members, endpoints, suspects, configs, evacuations } = tables
    this.streams = new failureLog.FailureLog(decisions, 'peer-stream')
    this.updates = new failureLog.FailureLog(decisions, 'peer-update')
    this.factory = new updateFactory.UpdateFactory(self.role, tables, () => this.encodeSelf())
    // A spoke receives its endpoints from the hubs, so it has no changes to send to them.
    if (self.role !== 'spoke') this.disposables.add(endpoints.onChanged((endpoint) => this.addToOutboxes(endpoint)))
    if (self.role !== 'spoke' && evacuations !== undefined) this.disposables.add(evacuations.onChanged(() => this.forEachOutbox((outbox) => outbox.scheduleImmediately())))
    if (self.role === 'hub') this.disposables.add(configs.onChanged(() => this.forEachOutbox((outbox) => outbox.scheduleImmediately())))
    this.disposables.add(suspects.onChanged((suspect) => this.forEachOutbox((outbox) => outbox.addSuspect(suspect.fingerprint))))
    this.disposables.add(members.onJoined((member) => this.handleMemberJoined(member)))
    this.disposables.add(members.onLeft((member) => this.handleMemberLeft(member)))
    this.disposables.add(pauses.onResumed((gapMs) => this.resubscribe(gapMs)))
    this.disposables.addInterval(() => this.sweep(), sweepIntervalMs)
  }

  /** Subscribes to the seeds. A spoke subscribes to one hub first, since one hub normally knows all endpoints (unless it lost its disk). */
  async start (): Promise<void> {
    const [first] = this.seeds
    if (this.self.role === 'spoke' && first !== undefined) {
      this.subscribeTo(first)
      if (await this.tables.configs.waitForFirstStream()) await async.sleep(otherHubsDelayMs, this.stopped.signal)
    }
    if (this.stopped.signal.aborted) return
    this.hasStarted = true
    for (const address of [...this.seeds, ...this.hubAddresses]) this.subscribeTo(address)
  }

  get load (): ServingLoad {
    return { openStreams: this.outboxes.size, sentUpdates: this.factory.createdCount, encodedEndpoints: this.factory.encodedEndpointCount }
  }

  /** Subscribes to further addresses. */
  addSeeds (addresses: readonly string[]): void {
    for (const address of addresses) this.subscribeTo(address)
  }

  dispose (): void {
    this.stopped.abort()
    for (const subscription of this.subscriptions.values()) subscription.abort()
    this.disposables.dispose()
  }

  /** Queues a lease renewal that this process received from the target itself for all subscribed peers. */
  publishRenewal (endpointId: string, leaseMs: number): void {
    this.forEachOutbox((outbox) => outbox.addRenewal(endpointId, leaseMs))
  }

  /** Queues the endpoint for all subscribed peers after a response to this process stated that it is leaving or cold, or changed its limit. */
  publishEndpoint (endpointId: string): void {
    const endpoint = this.tables.endpoints.get(endpointId)
    if (endpoint !== undefined) this.addToOutboxes(endpoint)
  }

  /** Tells all subscribed peers at once. */
  publishForwarding (state: ForwardingState): void {
    this.forwarding = state
    this.forEachOutbox((outbox) => outbox.scheduleImmediately())
  }

  /**
   * Resolves once all updates that are due now have been written to the streams of the subscribed peers: updates are
   * created in the first turns of the event loop, and HTTP/2 writes them in the next. Does not wait for peers to acknowledge.
   */
  async waitForWrites (): Promise<void> {
    if (this.outboxes.size === 0) return
    await async.nextTurn()
    await this.turns.enter()
    await async.nextTurn()
  }

  registerRpc (router: connect.ConnectRouter): void {
    const { configs } = this.tables
    router.service(inner.EntryPeer, {
      subscribe: (req, context) => this.serveSubscription(req, context.signal),
      fetchConfig: () => ({ version: configVersion.encode(configs.current.version), ...configs.currentEncoded })
    })
  }

  private addToOutboxes (endpoint: endpointTable.Endpoint): void {
    const isUrgent = endpointTable.isLimited(endpoint) || coldEndpoints.coldLeftMs(endpoint, performance.now()) > 0
    this.forEachOutbox((outbox) => outbox.addEndpoint(endpoint.endpoint, isUrgent))
  }

  private forEachOutbox (action: (outbox: peerOutbox.PeerOutbox) => void): void {
    for (const outbox of this.outboxes) action(outbox)
  }

  private get hubAddresses (): readonly string[] {
    return this.tables.members.all().filter(({ hub }) => hub).map(({ address }) => address)
  }

  private handleMemberJoined (member: memberTable.Member): void {
    this.decisions.record({ event: 'member', choice: member.instance, address: member.address, why: 'joined' })
    if (this.self.role !== 'spoke' || (member.hub && this.hasStarted)) this.subscribeTo(member.address)
  }

  private handleMemberLeft (member: memberTable.Member): void {
    this.decisions.record({ event: 'member', choice: member.instance, address: member.address, why: 'not seen for too long' })
    if (this.seeds.includes(member.address)) return
    this.subscriptions.get(member.address)?.abort()
    this.subscriptions.delete(member.address)
  }

  private sweep (): void {
    this.tables.members.sweep(this.tables.configs.confirmedAgeMs)
    this.tables.endpoints.sweep()
    this.tables.suspects.sweep()
  }

  /** Restarts all streams after a process pause, since data buffered in the connections is older than its reception time suggests. */
  private resubscribe (gapMs: number): void {
    this.decisions.record({ event: 'thaw', gapMs: Math.round(gapMs), why: 'the process was paused; peer streams are restarted' })
    this.tables.endpoints.noteProcessPause()
    for (const watchdog of this.watchdogs) watchdog.abort()
  }

  // ---- Serving subscriptions ----

  /** Streams updates to one peer: the full state first, then changes and heartbeats. */
  private async * serveSubscription (req: inner.SubscribeReq, signal: AbortSignal): AsyncGenerator<inner.PeerUpdate> {
    const startedAt = performance.now()
    const outbox = new peerOutbox.PeerOutbox(this.timingFor(req.from), this.turns)
    this.outboxes.add(outbox)
    if (req.from !== undefined) this.tables.members.apply(fleetCodec.decodeMember(req.from), 0)
    const feed = this.createForwardingFeed(req.from, outbox)
    const evacuations = new evacuationFeed.EvacuationFeed(this.self.role === 'spoke' ? undefined : this.tables.evacuations)
    try {
      await this.turns.enter()
      yield evacuations.addTo(addForwardingPeers(this.factory.createFull(startedAt, req.knowsEndpoints), feed))
      let membersSentAt = startedAt
      while (!signal.aborted && !this.stopped.signal.aborted) {
        const batch = await outbox.nextBatch(signal)
        const includeMembers = performance.now() - membersSentAt >= memberListIntervalMs
        if (includeMembers) membersSentAt = performance.now()
        yield evacuations.addTo(addForwardingPeers(this.factory.createDelta(batch, startedAt, includeMembers), feed))
      }
    } finally {
      feed?.dispose()
      this.outboxes.delete(outbox)
    }
  }

  private createForwardingFeed (subscriber: inner.Member | undefined, outbox: peerOutbox.PeerOutbox): forwardingFeed.ForwardingFeed | undefined {
    if (this.self.role !== 'hub' || subscriber === undefined || subscriber.hub) return undefined
    return new forwardingFeed.ForwardingFeed(subscriber, this.tables.members, outbox, random)
  }

  private timingFor (peer: inner.Member | undefined): peerOutbox.OutboxTiming {
    if (this.self.role === 'spoke') return peerOutbox.spokeToHubTiming
    return this.self.role === 'hub' && peer?.hub !== true ? peerOutbox.hubToSpokeTiming : peerOutbox.peerTiming
  }

  private encodeSelf (): inner.Member {
    const { role, ...rest } = this.self
    return fleetCodec.encodeMember({ ...rest, ...this.forwarding, hub: role === 'hub', lastSeenAt: 0 }, 0)
  }

  // ---- Own subscriptions ----

  private subscribeTo (address: string): void {
    if (address === this.self.address || this.subscriptions.has(address)) return
    const stop = new AbortController()
    this.subscriptions.set(address, stop)
    this.keepSubscribed(address, stop.signal)
  }

  /** Keeps a subscription to one peer: subscribes again whenever the stream ends or times out. */
  private async keepSubscribed (address: string, stop: AbortSignal): Promise<void> {
    const link = new peerLink.PeerLink(inner.EntryPeer, address, this.identity)
    let retryMs = minRetryMs
    while (!stop.aborted) {
      await this.turns.enter()
      if (stop.aborted) break
      const updateCount = await this.subscribeOnce(link, stop)
      retryMs = updateCount > 0 ? minRetryMs : Math.min(maxRetryMs, retryMs * 2)
      await async.sleep(retryMs, stop)
    }
    link.dispose()
  }

  /** Applies updates until the stream ends; returns their number. */
  private async subscribeOnce (link: MeshLink, stop: AbortSignal): Promise<number> {
    const watchdog = new streamWatchdog.StreamWatchdog(stop, () => link.reset(), { receivedBytes: () => link.receivedBytes })
    this.watchdogs.add(watchdog)
    let updateCount = 0
    try {
      const stream = link.client.subscribe({ from: this.encodeSelf(), knowsEndpoints: this.self.role === 'hub' && this.tables.endpoints.size > 0 }, { signal: watchdog.signal })
      for await (const update of stream) {
        if (this.pauses.mayInputBeStale()) {
          link.reset()
          break
        }
        watchdog.noteActivity()
        this.streams.noteSuccess(link.address)
        updateCount++
        this.applyUpdate(update, link)
      }
      // An own end is no failure of the peer.
      if (!watchdog.signal.aborted && !this.pauses.mayInputBeStale()) this.streams.noteFailure(link.address, 'the peer ended the stream')
    } catch (err) {
      const isOwnEnd = watchdog.signal.aborted && watchdog.timeoutMessage === undefined
      if (!isOwnEnd) this.streams.noteFailure(link.address, watchdog.timeoutMessage ?? err)
    } finally {
      watchdog.dispose()
      this.watchdogs.delete(watchdog)
    }
    return updateCount
  }

  private applyAnnouncement (wire: inner.Announcement): void {
    const announced = fleetCodec.decodeAnnouncement(wire)
    if (wire.committed) this.tables.endpoints.applyDeparture(announced)
    else this.tables.endpoints.apply(announced, wire.ageMs)
    this.tables.endpoints.applyPeerCold(announced.endpoint, announced.incarnation, wire.coldLeftMs)
    if (wire.leaving) this.tables.endpoints.markLeaving(announced.endpoint, announced.incarnation)
    const limit = fleetCodec.decodeLimit(wire)
    if (limit !== undefined) this.applyLimit(announced, limit)
  }

  private applyLimit ({ endpoint, incarnation }: announcement.Announcement, limit: endpointLimit.ReportedLimit): void {
    if (!this.tables.endpoints.applyPeerLimit(endpoint, incarnation, limit)) return
    const { perSecond, revision } = limit
    this.decisions.record({ event: 'limit', choice: endpoint, perSecond, revision, why: perSecond === undefined ? 'a peer reports that the endpoint no longer names one' : 'received from a peer' })
  }

  private applyUpdate (update: inner.PeerUpdate, link: MeshLink): void {
    try {
      this.applyTables(update)
      this.updates.noteSuccess(link.address)
    } catch (err) {
      // The rest of the update is lost, but the stream and the configuration go on.
      this.updates.noteFailure(link.address, err)
    }
    this.tables.configs.handlePeerVersion(configVersion.decode(update.configVersion), update.confirmed, update.confirmedAgeMs, async () =>
      await link.call(async (client, options) => await client.fetchConfig({}, options), fetchTimeoutMs, 'keep'), link.address)
  }

  private applyTables (update: inner.PeerUpdate): void {
    const { members, endpoints, suspects, evacuations } = this.tables
    // Before the confirmation of the configuration, after which an instance serves requests.
    if (update.evacuations !== undefined) evacuations?.apply(update.evacuations)
    if (update.self !== undefined) members.apply(fleetCodec.decodeMember(update.self), 0)
    if (update.forwardingPeers !== undefined && update.self !== undefined) {
      this.tables.forwardingPeers?.applyList(update.self.instance, fleetCodec.decodeForwardingPeers(update.forwardingPeers))
    }
    if (update.liveEntries > 0 && update.self !== undefined) members.setEntryCount(update.self.instance, update.liveEntries)
    for (const member of update.members) members.apply(fleetCodec.decodeMember(member), member.ageMs)
    for (const wire of update.announcements) this.applyAnnouncement(wire)
    for (const wire of update.renewals) endpoints.renew(fleetCodec.decodeRenewal(wire), wire.ageMs)
    for (const wire of update.suspects) suspects.merge(decodeSuspect(wire))
  }
}

function addForwardingPeers (update: inner.PeerUpdate, feed: forwardingFeed.ForwardingFeed | undefined): inner.PeerUpdate {
  const list = feed?.takeList(performance.now())
  if (list !== undefined) update.forwardingPeers = list
  return update
}

function decodeSuspect (wire: inner.Suspect): suspectTable.Suspect {
  return {
    fingerprint: wire.fingerprint,
    deaths: wire.deaths,
    clearedDeaths: wire.clearedDeaths,
    lastReportedAt: performance.now() - wire.ageMs
  }
}
