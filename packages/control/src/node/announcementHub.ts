/** Takes targets' announcements at a control replica and serves them to all entry instances. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as freezeDetector from '@rosemaryrack/base/common/freezeDetector.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as announcement from '@rosemaryrack/fleet/common/announcement.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as fleetCodec from '@rosemaryrack/fleet/common/fleetCodec.js'
import * as memberTable from '@rosemaryrack/fleet/common/memberTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as peerMesh from '@rosemaryrack/fleet/node/peerMesh.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as configFeed from './configFeed.js'
import type * as controlService from './controlService.js'
import * as endpointStore from './endpointStore.js'

/** Announcements that a target may miss in a row before its lease lapses: they may arrive seconds late. */
const missedAnnouncements = 4
const comeBackS = 1

/** What a hub is told about itself. */
export interface HubOptions {
  readonly self: peerMesh.MeshSelf
  /** Inner addresses of some other hubs. */
  readonly seeds: readonly string[]
  /** Interval at which targets announce themselves. */
  readonly announceEveryMs: number
  /** Where ready endpoints are remembered. */
  readonly dataFolder: string
}

/** The replica's configuration as subscribers see it. */
class HubConfigs implements peerMesh.IMeshConfigs, lifecycle.IDisposable {
  private readonly changedEmitter = new event.Emitter<configDocument.VersionedConfig>()
  readonly onChanged = this.changedEmitter.event
  private readonly subscription: lifecycle.IDisposable
  private toldVersion = 0

  constructor (private readonly service: controlService.ControlService, private readonly feed: configFeed.ConfigFeed) {
    this.subscription = service.replica.onApplied(() => this.tellChange())
  }

  get current (): configDocument.VersionedConfig {
    return this.service.replica.state.config
  }

  get currentJson (): string {
    return this.service.replica.state.configJson
  }

  get confirmedAgeMs (): number {
    return this.feed.confirmedAgeMs
  }

  /** A replica is told by its own log. */
  async isFirstConfirmed (): Promise<boolean> {
    return true
  }

  /** The log tells a replica, not its peers. */
  hearPeer (): void {}

  dispose (): void {
    this.subscription.dispose()
    this.changedEmitter.dispose()
  }

  private tellChange (): void {
    if (this.current.version === this.toldVersion) return
    this.toldVersion = this.current.version
    this.changedEmitter.fire(this.current)
  }
}

/** Endpoints that are ready are kept in memory; that one drains or left is committed before it is acknowledged. */
export class AnnouncementHub implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly clock = new clock.SystemClock()
  private readonly freeze = this.disposables.add(new freezeDetector.FreezeDetector())
  private readonly endpoints = this.disposables.add(new endpointTable.EndpointTable(this.clock))
  private readonly mesh: peerMesh.PeerMesh
  private readonly store: endpointStore.EndpointStore

  constructor (
    private readonly options: HubOptions,
    identity: innerListener.LinkIdentity,
    private readonly service: controlService.ControlService,
    private readonly feed: configFeed.ConfigFeed,
    private readonly decisions: decisionLog.IDecisionLog
  ) {
    const { replica } = service
    const members = this.disposables.add(new memberTable.MemberTable(this.clock, options.self.instance, true))
    const suspects = this.disposables.add(new suspectTable.SuspectTable(this.clock))
    const configs = this.disposables.add(new HubConfigs(service, feed))
    const tables = { members, endpoints: this.endpoints, suspects, configs }
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(options.self, options.seeds, identity, tables, this.freeze, decisions))
    this.disposables.add(feed.keepConfirming())
    this.disposables.add(replica.onApplied(() => this.subscribeToMembers()))
    this.store = this.disposables.add(new endpointStore.EndpointStore(options.dataFolder, this.endpoints, decisions))
    this.disposables.add(replica.state.onDeparted((wire) => this.endpoints.applyDeparture(fleetCodec.decodeAnnouncement(wire))))
  }

  /** Lease of an announcement, in milliseconds. */
  get leaseMs (): number {
    return this.options.announceEveryMs * missedAnnouncements
  }

  registerRpc (router: connect.ConnectRouter): void {
    this.mesh.registerRpc(router)
  }

  start (): void {
    this.subscribeToMembers()
    this.mesh.start()
    this.restoreEndpoints()
  }

  /** The group as the log names it is known also while every seed is away. */
  private subscribeToMembers (): void {
    this.mesh.addSeeds(this.service.replica.log.membership.replicas.map(({ address }) => address))
  }

  private async restoreEndpoints (): Promise<void> {
    await this.feed.onceConfirmed
    await this.store.restore()
  }

  /** Takes further hubs to subscribe to. */
  addSeeds (addresses: readonly string[]): void {
    this.mesh.addSeeds(addresses)
  }

  /** Takes an announcement; a late one changes nothing. Rejects when a departure can't be committed. */
  async announce (announced: announcement.Announcement): Promise<void> {
    if (this.freeze.check()) throw notTaken('this replica stood still; announce again')
    if (announced.state === 'draining' || announced.state === 'left') {
      await this.commitDeparture(announced)
      return
    }
    const outcome = this.endpoints.apply(announced, 0)
    if (outcome === 'renewed') this.mesh.noteRenewal(announced.endpoint, announced.leaseMs)
    else if (outcome === 'changed') this.log(announced, 'announced by the target')
    else this.log(announced, 'ignored: older than what is known')
  }

  /** Takes that an endpoint left; without its incarnation the one that is known is meant. */
  async leave (endpointId: string, incarnation: number | undefined): Promise<void> {
    const known = this.endpoints.get(endpointId)
    if (known === undefined) throw notTaken(`endpoint ${endpointId} is not known here yet`)
    if (incarnation !== undefined && incarnation < known.incarnation) return
    await this.announce({ ...known, incarnation: incarnation ?? known.incarnation, sequence: known.sequence + 1, state: 'left' })
  }

  dispose (): void {
    this.disposables.dispose()
  }

  /** Repeated announcements of the same departure are committed once. */
  private async commitDeparture (announced: announcement.Announcement): Promise<void> {
    const known = this.endpoints.get(announced.endpoint)
    const committed = known !== undefined && known.incarnation >= announced.incarnation &&
      (known.state === 'left' || known.state === announced.state)
    if (committed) return
    await this.service.depart(protobuf.create(inner.DeparturesSchema, { announcements: [fleetCodec.encodeAnnouncement(announced)] }))
    this.endpoints.applyDeparture(announced)
    this.log(announced, 'committed')
  }

  private log (announced: announcement.Announcement, why: string): void {
    this.decisions.record({
      event: 'announce',
      choice: announced.endpoint,
      service: announced.service,
      address: announced.address,
      state: announced.state,
      incarnation: announced.incarnation,
      sequence: announced.sequence,
      why
    })
  }
}

function notTaken (message: string): errors.RackError {
  return new errors.RackError({ kind: 'not-run', message, retryAfterS: comeBackS })
}
