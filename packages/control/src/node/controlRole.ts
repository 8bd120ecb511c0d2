/** The control role of a process: connects the replica with its tasks, handlers and routes. */
import type * as connect from '@connectrpc/connect'
import * as async from '@rosemaryrack/base/common/async.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as settings from '@rosemaryrack/config/common/settings.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as loopDelay from '@rosemaryrack/telemetry/node/loopDelay.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as announcementHub from './announcementHub.js'
import * as configFeed from './configFeed.js'
import * as controlMetrics from './controlMetrics.js'
import * as controlRoutes from './controlRoutes.js'
import * as controlRpc from './controlRpc.js'
import * as controlService from './controlService.js'
import * as diskTiming from './diskTiming.js'
import * as election from './election.js'
import * as evacuationService from './evacuationService.js'
import * as evacuationRoutes from './evacuationRoutes.js'
import * as fileSystem from './fileSystem.js'
import * as hubMetrics from './hubMetrics.js'
import * as joiner from './joiner.js'
import * as permitService from './permitService.js'
import * as quotaService from './quotaService.js'
import * as replica from './replica.js'
import * as replicaLinks from './replicaLinks.js'
import * as replicaStorage from './replicaStorage.js'

/** Largest group found through seeds: seven replicas, plus two that replace unreachable ones not yet removed. */
const maxDiscoveredReplicas = 9
const voterCheckIntervalMs = 500
const monitorIntervalMs = 1000
/** Delay of the event loop that is logged, as a share of the election timeout, within which heartbeats must be answered. */
const loggedDelayShare = 0.5

/** A control replica within this process. */
export class ControlRole implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly loaded = new async.Deferred<void>()
  private readonly replica: replica.Replica
  private readonly disk: diskTiming.DiskTiming
  readonly service: controlService.ControlService
  readonly evacuations: evacuationService.EvacuationService
  /** Receives announcements, if targets announce themselves to control replicas. */
  readonly hub: announcementHub.AnnouncementHub | undefined
  private readonly feed: configFeed.ConfigFeed
  private readonly ledgers: controlRpc.LedgerServices
  private readonly loopDelay: loopDelay.LoopDelay

  /** @param onDiskFailure called when the disk fails; the process must exit then. */
  constructor (
    private readonly cfg: settings.Settings,
    private readonly control: settings.ControlSettings,
    decisions: decisionLog.IDecisionLog,
    processMetrics: metrics.Metrics,
    onDiskFailure: (err: Error) => void
  ) {
    const identity = innerListener.createLinkIdentity(cfg.cluster, cfg.inner)
    const links = this.disposables.add(new replicaLinks.ReplicaLinks(identity, control.replicationPort))
    // A write that outlasts the election timeout delays votes and commits.
    this.disk = new diskTiming.DiskTiming(decisions, control.electionTimeoutMs)
    const storage = new replicaStorage.ReplicaStorage(control.dataFolder, cfg.cluster, onDiskFailure, fileSystem.machineFileSystem, this.disk)
    this.replica = this.disposables.add(new replica.Replica(this.replicaOptions(), storage, links, decisions))
    this.service = new controlService.ControlService(this.replica, this.serviceOptions(), decisions)
    this.evacuations = new evacuationService.EvacuationService(this.service, control.failureDomains, decisions, this.disposables.add(new pauseDetector.PauseDetector()))
    this.ledgers = { permits: new permitService.PermitService(this.service), quotas: new quotaService.QuotaService(this.service) }
    controlMetrics.registerControlMetrics(processMetrics, this.replica, storage, this.disk)
    this.feed = this.disposables.add(new configFeed.ConfigFeed(this.replica, async () => await this.service.confirmReadIndex()))
    if (control.announceEveryMs > 0) this.hub = this.disposables.add(new announcementHub.AnnouncementHub(this.hubOptions(), identity, this.service, this.feed, decisions))
    this.loopDelay = this.disposables.add(new loopDelay.LoopDelay(decisions, control.electionTimeoutMs * loggedDelayShare))
    hubMetrics.registerHubMetrics(processMetrics, this.loopDelay, this.feed, this.hub)
  }

  /** Registers the handlers of the inner protocol. */
  registerRpc (router: connect.ConnectRouter): void {
    controlRpc.registerControlRpc(router, this.service, this.feed, this.ledgers, this.loaded.promise)
    this.hub?.registerRpc(router)
  }

  /** Adds the operator routes. */
  addRoutes (routes: httpListener.IRoutes): void {
    controlRoutes.addControlRoutes(routes, this.service, this.disk)
    evacuationRoutes.addEvacuationRoutes(routes, this.evacuations)
  }

  /** Listens for the other replicas, if the settings name a port for them. */
  async listenForReplicas (): Promise<void> {
    const { control: { replicationPort }, cfg: { cluster, inner } } = this
    if (replicationPort === undefined) return
    const listener = this.disposables.add(new innerListener.InnerListener({ cluster, token: inner.token }, (router) => {
      controlRpc.registerControlRpc(router, this.service, this.feed, this.ledgers, this.loaded.promise)
    }))
    await listener.listen(`${inner.listen.slice(0, inner.listen.lastIndexOf(':'))}:${replicationPort}`)
  }

  /** Loads the data folder and starts the tasks; call once the inner address is bound. */
  async start (): Promise<void> {
    await this.replica.load()
    this.loaded.resolve()
    if (this.shouldFoundCluster) await this.service.foundCluster()
    const electionTask = this.disposables.add(new election.Election(this.replica))
    // Without a list of replicas in the settings, the group is discovered through seeds and has no fixed size.
    const isGroupDiscovered = this.control.replicas.length === 0
    const joinTask = this.disposables.add(new joiner.Joiner(this.replica, this.groupAddresses, isGroupDiscovered))
    if (isGroupDiscovered) this.disposables.addInterval(() => { this.service.removeUnreachableVoter() }, voterCheckIntervalMs)
    this.disposables.addInterval(() => this.checkState(), monitorIntervalMs)
    electionTask.run()
    joinTask.run()
    this.hub?.start()
  }

  /** Adds the seeds of changed settings; all other changes need a restart. */
  reload (cfg: settings.Settings): void {
    this.hub?.addSeeds(settings.seedInnerAddresses(this.cfg, cfg.control?.seeds ?? []))
  }

  /** True when this replica can serve: it votes and knows a leader. */
  get isReady (): boolean {
    return this.replica.founded && this.replica.isVoter && this.replica.leaderId !== ''
  }

  dispose (): void {
    this.disposables.dispose()
  }

  /** Logs changes that depend on time. */
  private checkState (): void {
    this.replica.monitor.check()
    this.disk.check()
    this.loopDelay.check()
  }

  /** Inner addresses of the replicas in the settings, or of the seeds if the settings list no replicas. */
  private get groupAddresses (): readonly string[] {
    const { replicas, seeds } = this.control
    return replicas.length > 0 ? replicas : settings.seedInnerAddresses(this.cfg, seeds)
  }

  private get ownAddress (): string {
    return settings.ownInnerAddress(this.cfg)
  }

  /** True for the first seed, which founds the cluster once; all others join. */
  private get shouldFoundCluster (): boolean {
    return this.control.bootstrap && !this.replica.founded && this.groupAddresses[0] === this.ownAddress
  }

  private serviceOptions (): controlService.ServiceOptions {
    const { replicas, tolerateLostDisks } = this.control
    // A group that the settings do not list is discovered through seeds, as in `start`.
    const isFixedSize = replicas.length > 0
    return { groupAddresses: isFixedSize ? replicas : [], seedAddresses: this.groupAddresses, maxReplicas: isFixedSize ? replicas.length : maxDiscoveredReplicas, tolerateLostDisks }
  }

  private hubOptions (): announcementHub.HubOptions {
    const { instance, failureDomain } = this.cfg
    const self = { instance, address: this.ownAddress, failureDomain, incarnation: Date.now(), role: 'hub' } as const
    return { self, seeds: this.groupAddresses, announceEveryMs: this.control.announceEveryMs, dataFolder: this.control.dataFolder }
  }

  private replicaOptions (): replica.ReplicaOptions {
    return {
      address: this.ownAddress,
      operatorAddress: this.cfg.operator.listen,
      failureDomain: this.cfg.failureDomain,
      electionTimeoutMs: this.control.electionTimeoutMs,
      heartbeatMs: this.control.heartbeatMs,
      snapshotEvery: this.control.snapshotEvery
    }
  }
}
