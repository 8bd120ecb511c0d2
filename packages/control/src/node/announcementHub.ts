/** Receives the announcements of targets at a control replica and distributes them to all entry instances. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as documentEncoding from '@rosemaryrack/config/common/documentEncoding.js'
import type * as announcement from '@rosemaryrack/fleet/common/announcement.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as evacuationTable from '@rosemaryrack/fleet/common/evacuationTable.js'
import * as fleetCodec from '@rosemaryrack/fleet/common/fleetCodec.js'
import * as memberTable from '@rosemaryrack/fleet/common/memberTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as meshTables from '@rosemaryrack/fleet/node/meshTables.js'
import * as peerMesh from '@rosemaryrack/fleet/node/peerMesh.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as configFeed from './configFeed.js'
import type * as controlService from './controlService.js'
import * as endpointStore from './endpointStore.js'

/** Length of a lease in announce intervals; announcements may arrive seconds late. */
const leaseAnnounceIntervals = 4
const retryDelayS = 1

/** Settings of a hub. */
export interface HubOptions {
  readonly self: peerMesh.MeshSelf
  /** Inner addresses of some other hubs. */
  readonly seeds: readonly string[]
  /** Interval at which targets announce themselves. */
  readonly announceEveryMs: number
  /** Folder that holds the saved ready endpoints. */
  readonly dataFolder: string
}

/** Offers the replica's configuration to the subscribers of the peer mesh. */
class ReplicaConfigSource implements meshTables.IMeshConfigs, lifecycle.IDisposable {
  private readonly changedEmitter = new event.Emitter<configDocument.VersionedConfig>()
  readonly onChanged = this.changedEmitter.event
  private readonly subscription: lifecycle.IDisposable
  private firedVersion = 0

  constructor (private readonly service: controlService.ControlService, private readonly feed: configFeed.ConfigFeed) {
    this.subscription = service.replica.onApplied(() => this.fireIfChanged())
  }

  get current (): configDocument.VersionedConfig {
    return this.service.replica.state.config
  }

  get currentEncoded (): documentEncoding.EncodedDocument {
    return this.service.replica.state.encodedConfig
  }

  get confirmedAgeMs (): number {
    return this.feed.confirmedAgeMs
  }

  /** Always true: a replica reads the configuration from its own log. */
  async waitForFirstStream (): Promise<boolean> {
    return true
  }

  /** Ignores versions reported by peers: a replica reads the configuration from its own log. */
  handlePeerVersion (): void {}

  dispose (): void {
    this.subscription.dispose()
    this.changedEmitter.dispose()
  }

  private fireIfChanged (): void {
    if (this.current.version === this.firedVersion) return
    this.firedVersion = this.current.version
    this.changedEmitter.fire(this.current)
  }
}

/** Keeps ready endpoints in memory; commits to the log that an endpoint is draining or has left before acknowledging the announcement. */
export class AnnouncementHub implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly clock = new clock.SystemClock()
  private readonly pauses = this.disposables.add(new pauseDetector.PauseDetector())
  private readonly endpoints = this.disposables.add(new endpointTable.EndpointTable(this.clock))
  /** What this hub tells its subscribers; it may learn of an evacuation from another hub before its own log has the order. */
  private readonly evacuations = this.disposables.add(new evacuationTable.EvacuationTable(this.clock))
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
    const configs = this.disposables.add(new ReplicaConfigSource(service, feed))
    const tables = { members, endpoints: this.endpoints, suspects, configs, evacuations: this.evacuations }
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(options.self, options.seeds, identity, tables, this.pauses, decisions))
    this.disposables.add(feed.keepConfirming())
    this.disposables.add(replica.onApplied(() => this.subscribeToMembers()))
    this.store = this.disposables.add(new endpointStore.EndpointStore(options.dataFolder, this.endpoints, decisions))
    this.disposables.add(replica.state.evacuations.onChanged(() => this.evacuations.apply(replica.state.evacuations.toMessage())))
    this.disposables.add(replica.state.onDeparted((wire) => this.endpoints.applyDeparture(fleetCodec.decodeAnnouncement(wire))))
  }

  /** Lease of an announcement, in milliseconds. */
  get leaseMs (): number {
    return this.options.announceEveryMs * leaseAnnounceIntervals
  }

  /** Work for subscribers so far. */
  get load (): peerMesh.ServingLoad {
    return this.mesh.load
  }

  /** Registers the handlers for subscribers. */
  registerRpc (router: connect.ConnectRouter): void {
    this.mesh.registerRpc(router)
  }

  /** Connects to the other hubs and restores the saved endpoints. */
  start (): void {
    this.subscribeToMembers()
    this.mesh.start()
    this.restoreEndpoints()
  }

  /** Subscribes to all members listed in the log, so that they are known even if every configured seed is unreachable. */
  private subscribeToMembers (): void {
    this.mesh.addSeeds(this.service.replica.log.membership.replicas.map(({ address }) => address))
  }

  private async restoreEndpoints (): Promise<void> {
    await this.feed.whenConfirmed
    await this.store.restore()
  }

  /** Adds further hubs to subscribe to. */
  addSeeds (addresses: readonly string[]): void {
    this.mesh.addSeeds(addresses)
  }

  /** Applies an announcement; ignores an outdated one. Rejects when a departure can't be committed. */
  async announce (announced: announcement.Announcement): Promise<void> {
    if (this.pauses.mayInputBeStale()) throw notRunError('this replica has just resumed from a process pause; announce again')
    if (announced.state === 'draining' || announced.state === 'left') {
      await this.commitDeparture(announced)
      return
    }
    const outcome = this.endpoints.apply(announced, 0)
    if (outcome === 'renewed') this.mesh.publishRenewal(announced.endpoint, announced.leaseMs)
    else if (outcome === 'changed') this.recordAnnouncement(announced, 'announced by the target')
    else this.recordAnnouncement(announced, 'ignored: older than the known announcement')
  }

  /** Records that an endpoint has left; if `incarnation` is undefined, the last known one is used. */
  async leave (endpointId: string, incarnation: number | undefined): Promise<void> {
    const known = this.endpoints.get(endpointId)
    if (known === undefined) throw notRunError(`endpoint ${endpointId} is not known to this replica yet; retry later`)
    if (incarnation !== undefined && incarnation < known.incarnation) return
    await this.announce({ ...known, incarnation: incarnation ?? known.incarnation, sequence: known.sequence + 1, state: 'left' })
  }

  dispose (): void {
    this.disposables.dispose()
  }

  /** Commits a departure unless the endpoint is already in that state or has left. */
  private async commitDeparture (announced: announcement.Announcement): Promise<void> {
    const known = this.endpoints.get(announced.endpoint)
    const isCommitted = known !== undefined && known.incarnation >= announced.incarnation &&
      (known.state === 'left' || known.state === announced.state)
    if (isCommitted) return
    await this.service.depart(protobuf.create(inner.DeparturesSchema, { announcements: [fleetCodec.encodeAnnouncement(announced)] }))
    this.endpoints.applyDeparture(announced)
    this.recordAnnouncement(announced, 'committed')
  }

  private recordAnnouncement (announced: announcement.Announcement, why: string): void {
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

function notRunError (message: string): errors.RackError {
  return new errors.RackError({ kind: 'not-run', message, retryAfterS: retryDelayS })
}
