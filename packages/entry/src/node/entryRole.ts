/** The entry role of a process: connects the fleet's tables, the lanes and the listeners. */
import type * as connect from '@connectrpc/connect'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as settings from '@rosemaryrack/config/common/settings.js'
import * as coldEndpoints from '@rosemaryrack/fleet/common/coldEndpoints.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as evacuationTable from '@rosemaryrack/fleet/common/evacuationTable.js'
import * as forwardingPeers from '@rosemaryrack/fleet/common/forwardingPeers.js'
import * as memberTable from '@rosemaryrack/fleet/common/memberTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import * as announcementRoutes from '@rosemaryrack/fleet/node/announcementRoutes.js'
import * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as peerMesh from '@rosemaryrack/fleet/node/peerMesh.js'
import * as systemTimeline from '@rosemaryrack/base/node/systemTimeline.js'
import * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as adaptivePolicy from '@rosemaryrack/routing/common/adaptivePolicy.js'
import * as crashDetection from '@rosemaryrack/routing/common/crashDetection.js'
import * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import * as targetContacts from '@rosemaryrack/routing/common/targetContacts.js'
import * as targetReachability from '@rosemaryrack/routing/common/targetReachability.js'
import * as workspaceFlows from '@rosemaryrack/routing/common/workspaceFlows.js'
import * as workspaceQuotas from '@rosemaryrack/routing/common/workspaceQuotas.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as keyLease from '../common/keyLease.js'
import * as leaseRenewal from '../common/leaseRenewal.js'
import * as bodyTransfers from './bodyTransfers.js'
import * as callerBody from './callerBody.js'
import * as callerListener from './callerListener.js'
import type * as callerTask from './callerTask.js'
import * as entryRoutes from './entryRoutes.js'
import * as forwardListener from './forwardListener.js'
import * as hedgingMetrics from './hedgingMetrics.js'
import * as idempotencyClaims from './idempotencyClaims.js'
import * as laneRegistry from './laneRegistry.js'
import * as peerForwarder from './peerForwarder.js'
import * as permitClient from './permitClient.js'
import * as quotaClient from './quotaClient.js'
import * as quotaGate from './quotaGate.js'
import * as readiness from './readiness.js'
import * as startup from './startup.js'
import * as targetChecker from './targetChecker.js'
import * as targetConnections from './targetConnections.js'
import * as unframedResponses from './unframedResponses.js'
import * as unreadResponses from './unreadResponses.js'
import * as workspaceAuth from './workspaceAuth.js'

const msPerSecond = 1000
const maxLoggedValueLength = 100
const random = { next: Math.random }

/** An entry instance within this process. */
export class EntryRole implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly clock = new clock.SystemClock()
  private readonly pauses = this.disposables.add(new pauseDetector.PauseDetector())
  private readonly evacuations = this.disposables.add(new evacuationTable.EvacuationTable(this.clock))
  private readonly endpoints = this.disposables.add(new endpointTable.EndpointTable(this.clock, this.evacuations, {
    rateOf: (service) => configDocument.findByName(this.configs.current.document.services, service)?.cold?.perSecond
  }))

  private readonly suspects = this.disposables.add(new suspectTable.SuspectTable(this.clock))
  private readonly contacts = this.disposables.add(new targetContacts.TargetContacts(this.clock))
  private readonly connections: targetConnections.TargetConnections
  private readonly reachability: targetReachability.TargetReachability
  private readonly crashDetector: crashDetection.CrashDetector
  private readonly notices: endpointNotices.EndpointNotices
  private readonly members: memberTable.MemberTable
  /** Entry instances that requests can be forwarded to while this one is cut off. */
  readonly forwardingPeers: forwardingPeers.ForwardingPeers
  private readonly configs: configFollower.ConfigFollower
  private readonly mesh: peerMesh.PeerMesh
  private readonly lanes: laneRegistry.LaneRegistry
  private readonly callers: callerListener.CallerListener
  private readonly forwarder: peerForwarder.PeerForwarder
  /** Undefined where this instance takes no requests from peers. */
  private readonly forwards: forwardListener.ForwardListener | undefined
  private readonly startup: startup.Startup
  private readonly lease: keyLease.KeyLease
  private readonly leaseRenewal: leaseRenewal.LeaseRenewal
  private readonly quotas: workspaceQuotas.WorkspaceQuotas
  private readonly quotaGate: quotaGate.QuotaGate
  private readonly unreadResponses: unreadResponses.UnreadResponses
  private readonly invalidLimits = new Map<string, string>()
  private isStopping = false

  constructor (
    private readonly cfg: settings.Settings,
    private readonly entry: settings.EntrySettings,
    private readonly decisions: decisionLog.IDecisionLog,
    private readonly metrics: metrics.Metrics
  ) {
    this.connections = this.disposables.add(new targetConnections.TargetConnections(this.contacts, { sourceHost: entry.targetSourceHost }, entry.callers, (limit) => metrics.count('rosemaryrack_caller_limits_total', { limit })))
    const identity = innerListener.createLinkIdentity(cfg.cluster, cfg.inner)
    const seeds = rotateRandomly(settings.seedInnerAddresses(cfg, entry.seeds))
    const { members, configs } = this.createFleetTables(cfg, identity, seeds)
    this.members = members
    this.configs = configs
    this.startup = new startup.Startup(configs, this.clock)
    const time = new systemTimeline.SystemTimeline()
    this.lease = new keyLease.KeyLease(entry.revokeWithinMs, configs, time)
    this.leaseRenewal = this.disposables.add(new leaseRenewal.LeaseRenewal({ lease: this.lease, source: configs, isNeeded: () => this.needsLease, time, clock: this.clock, random, decisions }))
    const self = {
      instance: cfg.instance,
      address: settings.ownInnerAddress(cfg),
      failureDomain: cfg.failureDomain,
      incarnation: Date.now(),
      // A spoke subscribes only to hubs, a peer to all entry instances.
      role: entry.seeds.length > 0 ? 'spoke' : 'peer'
    } as const
    this.forwardingPeers = new forwardingPeers.ForwardingPeers(members, cfg.failureDomain, random, this.clock)
    const tables = { members, endpoints: this.endpoints, suspects: this.suspects, configs, evacuations: this.evacuations, forwardingPeers: this.forwardingPeers }
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(self, [...entry.peers, ...seeds], identity, tables, this.pauses, decisions))
    this.notices = this.disposables.add(new endpointNotices.EndpointNotices({
      onLeaving: (endpoint) => this.noteLeaving(endpoint),
      onCold: (endpoint, leftMs) => this.noteCold(endpoint, leftMs),
      onLimit: (endpoint, limit, requestedAt) => this.noteLimit(endpoint, limit, requestedAt)
    }, this.endpoints, this.clock, decisions))
    this.reachability = this.createReachability()
    this.crashDetector = this.disposables.add(new crashDetection.CrashDetector(this.endpoints, this.suspects, this.clock, this.reachability))
    const source = new quotaClient.QuotaClient(self, configs, decisions, metrics)
    this.quotas = new workspaceQuotas.WorkspaceQuotas(source, () => members.liveEntryCount, random, this.clock)
    this.quotaGate = this.disposables.add(new quotaGate.QuotaGate(this.quotas, configs, this.reachability, metrics))
    this.unreadResponses = new unreadResponses.UnreadResponses(entry.callers.stalledResponseMs, this.clock, (service) => this.lanes.dispatcherOf(service).waiting > 0)
    const flows = new workspaceFlows.WorkspaceFlows(this.quotas)
    this.disposables.add(configs.onChanged(({ document }) => flows.applyDocument(document)))
    this.lanes = this.disposables.add(new laneRegistry.LaneRegistry(configs, this.endpoints, {
      ownFailureDomain: cfg.failureDomain,
      liveEntries: () => members.liveEntryCount,
      newPolicy: () => new adaptivePolicy.AdaptivePolicy(random),
      random,
      notices: this.notices,
      isConnected: ({ address }) => this.connections.hasIdle(address),
      repeats: entry.repeats === undefined ? undefined : { ...entry.repeats, windowMs: entry.repeats.windowS * msPerSecond },
      hedging: entry.hedging === undefined ? undefined : { ...entry.hedging, windowMs: entry.hedging.windowS * msPerSecond },
      startingUntil: this.startup.holdEndsAt,
      probesPerEndpointAndSecond: entry.probing?.perEndpointAndSecond ?? 0,
      reachability: this.reachability,
      flows,
      makeRoom: (service) => this.unreadResponses.makeRoom(service),
      permitSource: new permitClient.PermitClient(cfg.instance, configs, decisions, metrics)
    }, this.clock))
    this.forwarder = this.disposables.add(new peerForwarder.PeerForwarder({
      instance: cfg.instance,
      failureDomain: cfg.failureDomain,
      identity,
      peers: this.forwardingPeers,
      configVersion: this.configVersion,
      decisions,
      metrics,
      clock: this.clock,
      random
    }))
    const callerDeps = this.createCallerDeps()
    this.callers = new callerListener.CallerListener(entry.graceS, entry.callers, configs, callerDeps)
    this.forwards = entry.forwarding === undefined ? undefined : this.createForwardListener(entry.forwarding, identity, callerDeps)
    this.publishForwarding()
    this.disposables.add(this.reachability.onChanged(() => this.publishForwarding()))
    this.disposables.add(this.evacuations.onChanged((change) => this.logEvacuations(change)))
    this.disposables.add(this.suspects.onChanged((suspect) => this.logSuspect(suspect)))
  }

  registerRpc (router: connect.ConnectRouter): void {
    this.mesh.registerRpc(router)
  }

  addRoutes (routes: httpListener.IRoutes): void {
    const { endpoints, members, configs, lanes, decisions } = this
    entryRoutes.addEntryRoutes(routes, { endpoints, members, configs, lanes, decisions })
  }

  /** Joins the fleet, then listens for targets and callers. */
  async start (): Promise<void> {
    this.configs.start()
    this.leaseRenewal.start()
    this.mesh.start()
    if (this.entry.announcements !== undefined) await this.listenForTargets(this.entry.announcements)
    if (this.entry.forwarding !== undefined) await this.forwards?.listen(this.entry.forwarding.listen)
    await this.callers.listen(this.entry.callers.listen)
    this.addGauges()
  }

  private async listenForTargets ({ listen, token }: NonNullable<settings.EntrySettings['announcements']>): Promise<void> {
    const listener = this.disposables.add(new httpListener.HttpListener(token))
    announcementRoutes.addAnnouncementRoutes(listener, this.endpoints, this.mesh, this.pauses, this.decisions)
    await listener.listen(listen)
  }

  get readiness (): readiness.Readiness {
    return readiness.evaluateReadiness({
      confirmedAgeMs: this.configs.confirmedAgeMs,
      confirmWithinMs: this.entry.confirmWithinMs,
      members: this.members,
      isStopping: this.isStopping,
      missingVersion: this.configs.missingVersion
    })
  }

  /** Adds the seeds of changed settings; every other change needs a restart. */
  reload (cfg: settings.Settings): void {
    const seeds = settings.seedInnerAddresses(this.cfg, cfg.entry?.seeds ?? [])
    this.mesh.addSeeds(seeds)
    for (const seed of seeds) this.configs.addReplica(seed)
  }

  /** Shuts down gracefully: reports not ready, then accepts no new connections, then completes all responses. */
  async stop (): Promise<void> {
    const startedAt = performance.now()
    this.isStopping = true
    this.publishForwarding()
    this.decisions.record({ event: 'stop', why: `waiting ${this.entry.drainNoticeMs} ms for the platform's load balancer, then for ${this.inFlightCount} requests in flight` })
    await async.sleep(this.entry.drainNoticeMs)
    await Promise.all([this.callers.stop(startedAt), this.forwards?.stop(startedAt)])
  }

  dispose (): void {
    this.disposables.dispose()
  }

  private createFleetTables (cfg: settings.Settings, identity: innerListener.LinkIdentity, seeds: readonly string[]): { readonly members: memberTable.MemberTable, readonly configs: configFollower.ConfigFollower } {
    const members = this.disposables.add(new memberTable.MemberTable(this.clock, cfg.instance))
    const configs = this.disposables.add(new configFollower.ConfigFollower(cfg.instance, [...this.entry.control, ...seeds.map((address) => ({ address }))], identity, this.decisions, this.evacuations))
    // The seeds may all have been replaced by others.
    this.disposables.add(members.onJoined(({ hub, address }) => { if (hub) configs.addReplica(address) }))
    this.disposables.add(members.onLeft(({ hub, address }) => { if (hub) configs.removeReplica(address) }))
    return { members, configs }
  }

  private createReachability (): targetReachability.TargetReachability {
    const healthPathOf = (service: string): string | undefined => this.lanes.healthPathOf(service)
    const checker = new targetChecker.TargetChecker({ connections: this.connections, notices: this.notices, names: this.entry.headers, healthPathOf })
    const reachability = this.disposables.add(new targetReachability.TargetReachability(this.contacts, this.endpoints, checker, random, this.clock, this.decisions))
    // Connections whose packets were lost for a while may be silent for much longer.
    this.disposables.add(reachability.onChanged((isCutOff) => { if (isCutOff) this.connections.retireEverything() }))
    return reachability
  }

  private publishForwarding (): void {
    const forwardAddress = this.isStopping ? undefined : this.entry.forwarding?.listen
    this.mesh.publishForwarding({ forwardAddress, cutOff: this.reachability.isCutOff })
  }

  private readonly configVersion = (): number => this.configs.current.version

  /** With a limit on removed keys the lease is renewed from the start, so that it is held once the first configuration arrives. */
  private get needsLease (): boolean {
    return this.entry.revokeWithinMs !== undefined || this.configs.current.document.workspaces !== undefined
  }

  /** Number of requests of callers and peers whose response is not complete. */
  private get inFlightCount (): number {
    return this.callers.inFlightCount + (this.forwards?.inFlightCount ?? 0)
  }

  private createForwardListener ({ maxConcurrent }: NonNullable<settings.EntrySettings['forwarding']>, identity: innerListener.LinkIdentity, deps: callerTask.CallerDeps): forwardListener.ForwardListener {
    return new forwardListener.ForwardListener({ graceS: this.entry.graceS, maxConcurrent, identity, configVersion: this.configVersion }, deps)
  }

  private createCallerDeps (): callerTask.CallerDeps {
    return {
      reachability: this.reachability,
      forwarder: this.forwarder,
      lanes: this.lanes,
      connections: this.connections,
      notices: this.notices,
      endpoints: this.endpoints,
      suspects: this.suspects,
      crashDetector: this.crashDetector,
      claims: this.disposables.add(new idempotencyClaims.IdempotencyClaims(this.configs, this.clock, this.decisions, this.entry.callers.claims, () => this.metrics.count('rosemaryrack_caller_limits_total', { limit: 'claims' }))),
      waitForSuspectWrites: async () => await this.mesh.waitForWrites(),
      decisions: this.decisions,
      metrics: this.metrics,
      bodyTransfers: new bodyTransfers.BodyTransfers(this.decisions, this.metrics, this.clock),
      unframedResponses: new unframedResponses.UnframedResponses(this.decisions, this.metrics, this.clock),
      clock: this.clock,
      random,
      headers: this.entry.headers,
      fractionalRetryAfter: this.entry.fractionalRetryAfter,
      probing: this.entry.probing,
      startup: this.startup,
      auth: this.disposables.add(new workspaceAuth.WorkspaceAuth({ configs: this.configs, freshness: this.lease, headers: this.entry.headers, metrics: this.metrics })),
      quotas: this.quotaGate,
      unreadResponses: this.unreadResponses,
      isStopping: () => this.isStopping
    }
  }

  private noteLeaving ({ endpoint, incarnation }: endpointTable.Endpoint): void {
    if (!this.endpoints.markLeaving(endpoint, incarnation)) return
    this.decisions.record({ event: 'leaving', choice: endpoint, incarnation, why: 'the endpoint announced it in a response' })
    this.mesh.publishEndpoint(endpoint)
  }

  private noteCold ({ endpoint, incarnation }: endpointTable.Endpoint, leftMs: number): void {
    if (!this.endpoints.recordCold(endpoint, incarnation, leftMs)) return
    this.decisions.record({ event: 'cold', choice: endpoint, incarnation, forMs: Math.round(leftMs), why: 'the endpoint stated it in the response to a health check' })
    this.mesh.publishEndpoint(endpoint)
  }

  private noteLimit ({ endpoint, incarnation }: endpointTable.Endpoint, limit: endpointNotices.LimitStatement, requestedAt: number): void {
    if (limit.kind === 'invalid') {
      this.logInvalidLimit(endpoint, limit.value)
      return
    }
    const named = limit.kind === 'named' ? limit.perSecond : undefined
    if (!this.endpoints.recordNamedLimit(endpoint, incarnation, named, requestedAt)) return
    this.decisions.record({ event: 'limit', choice: endpoint, perSecond: named, why: named === undefined ? 'a response of the endpoint no longer names a limit' : 'the endpoint named it in a response' })
    this.mesh.publishEndpoint(endpoint)
  }

  /** Logs a value once for each endpoint, since each of its responses may repeat it. */
  private logInvalidLimit (endpoint: string, value: string): void {
    if (this.invalidLimits.get(endpoint) === value) return
    this.invalidLimits.set(endpoint, value)
    this.decisions.record({ event: 'limit-ignored', choice: endpoint, value: value.slice(0, maxLoggedValueLength), why: 'the value in a response is not one decimal number of requests per second; the limit stays as it was' })
  }

  private logSuspect (suspect: suspectTable.Suspect): void {
    this.decisions.record({
      event: 'suspect',
      choice: this.suspects.getStatus(suspect.fingerprint),
      fingerprint: suspect.fingerprint,
      deaths: suspect.deaths.join(' '),
      cleared: suspect.clearedDeaths.join(' '),
      why: 'the request was in flight when these endpoints crashed'
    })
  }

  private logEvacuations ({ revision, started, withdrawn }: evacuationTable.EvacuationChange): void {
    this.decisions.record({ event: 'evacuation', choice: this.evacuations.all.join(' '), revision, started: started.join(' '), withdrawn: withdrawn.join(' '), why: 'endpoints of these failure domains get no requests' })
  }

  private addGauges (): void {
    this.metrics.registerGauge('rosemaryrack_evacuated_failure_domains', {}, () => this.evacuations.all.length)
    this.metrics.registerGauge('rosemaryrack_evacuation_revision', {}, () => this.evacuations.revision)
    this.metrics.registerGauge('rosemaryrack_config_version', {}, () => this.configs.current.version)
    this.metrics.registerGauge('rosemaryrack_key_confirmation_age_seconds', {}, () => this.needsLease ? this.lease.ageMs / msPerSecond : 0)
    this.metrics.registerGauge('rosemaryrack_endpoints_live', {}, () => this.endpoints.liveCount)
    this.metrics.registerGauge('rosemaryrack_endpoints_limited', {}, () => this.endpoints.all().filter(endpointTable.isLimited).length)
    this.metrics.registerGauge('rosemaryrack_endpoints_cold', {}, () => this.endpoints.all().filter((endpoint) => coldEndpoints.coldLeftMs(endpoint, this.clock.now()) > 0).length)
    this.metrics.registerGauge('rosemaryrack_entries_live', {}, () => this.members.liveEntryCount)
    this.metrics.registerGauge('rosemaryrack_cut_off', {}, () => this.reachability.isCutOff ? 1 : 0)
    this.metrics.registerGauge('rosemaryrack_target_connections', {}, () => this.connections.count)
    this.metrics.registerGauge('rosemaryrack_caller_connections', {}, () => this.callers.connectionCount)
    this.metrics.registerGauge('rosemaryrack_caller_connections_paused', {}, () => this.callers.pausedConnectionCount)
    this.metrics.registerGauge('rosemaryrack_held_input_bytes', {}, () => this.callers.heldInputBytes)
    this.metrics.registerGauge('rosemaryrack_unsent_response_bytes', {}, () => this.callers.unsentBytes)
    this.metrics.registerGauge('rosemaryrack_target_connects', {}, () => this.connections.connectingCount)
    this.metrics.registerGauge('rosemaryrack_requests_in_flight', {}, () => this.inFlightCount)
    this.metrics.registerGauge('rosemaryrack_forwarded_in_flight', {}, () => this.forwards?.inFlightCount ?? 0)
    this.metrics.registerGauge('rosemaryrack_held_request_body_bytes', {}, () => callerBody.heldBytes())
    hedgingMetrics.registerHedgingMetrics(this.metrics, this.lanes.hedging)
    this.metrics.registerGauge('rosemaryrack_suspects', {}, () => this.suspects.size)
  }
}

/** Returns the list rotated to a random start, so that instances that start together contact different replicas first. */
function rotateRandomly (addresses: readonly string[]): readonly string[] {
  const start = Math.floor(random.next() * addresses.length)
  return [...addresses.slice(start), ...addresses.slice(0, start)]
}
