/**
 * Runs one request at the endpoints, or through a peer while this instance cannot reach targets. A request that is under way when the
 * instance is cut off moves to a peer if it may be run again.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as namedWorkspace from '@rosemaryrack/config/common/namedWorkspace.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'
import type * as budget from '@rosemaryrack/routing/common/budget.js'
import * as call from '@rosemaryrack/routing/common/call.js'
import type * as callSpec from '@rosemaryrack/routing/common/callSpec.js'
import type * as callProgress from '@rosemaryrack/routing/common/callProgress.js'
import type * as crashDetection from '@rosemaryrack/routing/common/crashDetection.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as laneMatcher from '@rosemaryrack/routing/common/laneMatcher.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import type * as targetReachability from '@rosemaryrack/routing/common/targetReachability.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as labelledLog from '@rosemaryrack/telemetry/common/labelledLog.js'
import type * as claimId from '../common/claimId.js'
import * as forwardHeaders from '../common/forwardHeaders.js'
import type * as callerBody from './callerBody.js'
import * as httpAttempt from './httpAttempt.js'
import * as httpProber from './httpProber.js'
import type * as laneRegistry from './laneRegistry.js'
import type * as peerCall from './peerCall.js'
import type * as peerForwarder from './peerForwarder.js'
import type * as quotaGate from './quotaGate.js'
import type * as requestCount from './requestCount.js'
import type * as requestIdentity from './requestIdentity.js'
import type * as targetConnections from './targetConnections.js'

const cutOffRetryAfterS = 1
const notStarted: callProgress.CallProgress = { mayHaveRun: false, awaitsResponse: false, sentAttempts: 0, firstStartedAt: Infinity }

/** Services that runs use. */
export interface RunDeps {
  readonly lanes: laneRegistry.LaneRegistry
  readonly connections: targetConnections.TargetConnections
  readonly notices: endpointNotices.IEndpointNotices
  readonly suspects: suspectTable.SuspectTable
  readonly crashDetector: crashDetection.CrashDetector
  readonly decisions: decisionLog.IDecisionLog
  readonly clock: clock.IClock
  readonly random: balancingPolicy.IRandom
  readonly headers: settings.HeaderNames
  readonly probing: loadProbing.ProbingOptions | undefined
  readonly reachability: targetReachability.ITargetReachability
  readonly forwarder: Pick<peerForwarder.PeerForwarder, 'start'>
}

/** Describes a request to run. */
export interface RunSpec {
  readonly namedLane: laneMatcher.NamedLane
  readonly workspace?: namedWorkspace.NamedWorkspace | undefined
  /** Returns why the request must not be sent to an endpoint now, though it was accepted; undefined if it may be. */
  readonly findRefusal: () => string | undefined
  /** The request's token of its workspace's quota. */
  readonly token?: quotaGate.QuotaToken | undefined
  readonly service: string
  readonly laneState: laneRegistry.LaneState
  readonly budgets: budget.LaneBudgets
  readonly count: requestCount.RequestCount
  readonly identity: requestIdentity.RequestIdentity
  readonly body: callerBody.CallerBody
  readonly req: httpAttempt.TargetReq
  /** Tells the connections of callers apart; undefined for a request that a peer forwards. */
  readonly connection: string | undefined
  /** Time on the clock at which the caller's request arrived. */
  readonly arrivedAt: number
  readonly excludedEndpoints: readonly string[]
  /** False for a request that a peer has forwarded, since a request is forwarded only once. */
  readonly canForward: boolean
  /** The claim of the idempotency key by this instance. */
  readonly claim: claimId.ClaimId | undefined
}

/** A response to pass on to the caller. */
export interface RunResponse {
  readonly attempt: httpAttempt.HttpAttempt
  readonly head: httpAttempt.HttpHead
  /** Id of the endpoint or name of the peer that sent it. */
  readonly source: string
  /** Undefined for a response that came through a peer. */
  readonly endpoint: endpointTable.Endpoint | undefined
  /** `answered`, or the error kind with which a peer refused the request. */
  readonly outcome: string
}

/** Receives the outcome of a run: exactly one of the two methods is called, once. */
export interface IRunListener {
  onResponse(response: RunResponse): void
  onFailed(fault: errors.Fault): void
}

/** Runs from `start` until its outcome, or until `cancel` when the caller has disconnected. */
export class RequestRun {
  private direct: call.Call | undefined
  private forwarded: peerCall.PeerCall | undefined
  private reachabilitySubscription: lifecycle.IDisposable | undefined
  private hasEnded = false

  constructor (private readonly spec: RunSpec, private readonly deps: RunDeps, private readonly listener: IRunListener) {}

  start (): void {
    if (this.shouldForward) this.forward(notStarted)
    else this.runDirectly()
  }

  /** Cancels the run; returns true if it had no outcome yet and certainly no endpoint has run the request. */
  cancel (): boolean {
    const isUnrun = !this.hasEnded && !this.mayHaveRun
    this.end()
    this.direct?.cancel()
    this.forwarded?.cancel()
    return isUnrun
  }

  /** Ends the run with a final fault. */
  giveUp (why: string): void {
    if (this.forwarded === undefined) this.direct?.giveUp(why)
    else this.forwarded.giveUp(why)
  }

  /** True while a request that was sent waits for its response. */
  get awaitsResponse (): boolean {
    return this.forwarded?.awaitsResponse ?? this.sentAttempts > 0
  }

  /** Number of attempts of this instance that may have reached an endpoint. */
  get sentAttempts (): number {
    return this.direct?.progress.sentAttempts ?? 0
  }

  private get mayHaveRun (): boolean {
    return this.forwarded?.mayHaveRun ?? this.direct?.progress.mayHaveRun ?? false
  }

  private get shouldForward (): boolean {
    return this.spec.canForward && this.deps.reachability.isCutOff
  }

  private runDirectly (): void {
    const { spec } = this
    spec.count.countHere()
    spec.token?.recordStart()
    // The event may be fired by an attempt of this very call, which must not be cancelled while it handles its failure.
    this.reachabilitySubscription = this.deps.reachability.onChanged(() => queueMicrotask(() => this.onReachabilityChanged()))
    this.direct = new call.Call({
      requestId: spec.req.requestId,
      laneName: spec.namedLane.name,
      lane: spec.namedLane.lane,
      workspace: spec.workspace,
      connection: this.deps.lanes.hasWorkspaces ? undefined : spec.connection,
      arrivedAt: spec.arrivedAt,
      deadlineAt: spec.req.deadlineAt,
      identity: spec.identity,
      body: spec.body,
      excludedEndpoints: spec.excludedEndpoints,
      onRepeat: () => spec.token?.recordRepeat()
    }, this.buildCallDeps(), {
      onResponse: ({ attempt, endpoint, head }) => this.respond({
        attempt: attempt as httpAttempt.HttpAttempt,
        head: head as httpAttempt.HttpHead,
        source: endpoint.endpoint,
        endpoint,
        outcome: forwardHeaders.answeredOutcome
      }),
      onFailed: (fault) => this.onDirectFailed(fault)
    })
    this.direct.start()
  }

  private buildCallDeps (): callSpec.CallDeps {
    const { lanes, connections, notices, suspects, crashDetector, clock, random } = this.deps
    const { service, laneState, budgets, req, workspace } = this.spec
    const decisions = workspace === undefined ? this.deps.decisions : new labelledLog.LabelledLog(this.deps.decisions, { workspace: workspace.name })
    return {
      dispatcher: lanes.dispatcherOf(service),
      transport: new httpAttempt.HttpTransport({ ...req, findRefusal: this.spec.findRefusal, maySend: () => this.maySend() }, connections, notices),
      suspects,
      crashDetector,
      budgets,
      latency: laneState.latency,
      domainPreference: laneState.domainPreference,
      hedging: laneState.hedging,
      probing: this.probing,
      decisions,
      clock,
      random
    }
  }

  /** Returns whether an attempt may be sent now; ends the run if not, unless an attempt that was sent before waits for its response. */
  private maySend (): boolean {
    const why = this.spec.findRefusal()
    if (why === undefined) return true
    if (this.direct?.progress.awaitsResponse === false) this.direct.giveUp(why)
    return false
  }

  private get probing (): callSpec.CallDeps['probing'] {
    const { lanes, connections, notices, probing, headers, clock } = this.deps
    const { service } = this.spec
    const healthPath = lanes.healthPathOf(service)
    if (probing === undefined || headers.slotLoad === undefined || healthPath === undefined) return undefined
    const prober = new httpProber.HttpProber({ healthPath, names: headers, connections, notices })
    return { deps: { dispatcher: lanes.dispatcherOf(service), prober, budget: lanes.probeBudgetOf(service), clock }, options: probing }
  }

  /** Stops the direct run if this instance is cut off and the request may run elsewhere. */
  private onReachabilityChanged (): void {
    if (this.hasEnded || this.forwarded !== undefined || !this.deps.reachability.isCutOff) return
    const progress = this.direct!.progress
    if (!this.spec.body.isReplayable) return
    if (progress.mayHaveRun && !(this.spec.canForward && this.takeRepeat(progress))) return
    this.direct!.cancel('this instance cannot reach any target')
    if (this.spec.canForward) this.forward(progress)
    else this.refuse({ kind: 'not-run', message: 'this instance cannot reach any target', retryAfterS: cutOffRetryAfterS })
  }

  private onDirectFailed (fault: errors.Fault): void {
    const mayHaveRun = fault.kind !== 'not-run'
    const isFinal = mayHaveRun && (fault.kind !== 'unknown' || fault.timedOut)
    const hasTime = this.spec.req.deadlineAt > this.deps.clock.now()
    const progress = { ...this.direct!.progress, mayHaveRun }
    if (isFinal || !hasTime || !this.shouldForward || !this.spec.body.isReplayable || (mayHaveRun && !this.takeRepeat(progress))) this.fail(fault)
    else this.forward(progress)
  }

  /**
   * Returns whether the request may be sent again though an endpoint may have run it. Takes a repeat from the budget, unless nothing has
   * arrived from any target since the request was first sent: then it was sent into the partition.
   */
  private takeRepeat ({ firstStartedAt }: callProgress.CallProgress): boolean {
    if (!this.spec.namedLane.lane.idempotent) return false
    return firstStartedAt > this.deps.connections.lastResponseAt || this.spec.budgets.retries.take()
  }

  private forward ({ mayHaveRun, sentAttempts }: callProgress.CallProgress): void {
    const { namedLane, service, laneState, budgets, req, arrivedAt, count, claim } = this.spec
    this.unsubscribe()
    this.forwarded = this.deps.forwarder.start({
      laneName: namedLane.name,
      req,
      arrivedAt,
      maxAttempts: namedLane.lane.maxAttempts,
      sentAttempts,
      mayHaveRun,
      claim,
      count,
      retries: budgets.retries,
      typicalMs: laneState.latency.typicalMs(namedLane.lane, this.deps.lanes.dispatcherOf(service).typicalLatencyMs)
    }, {
      onResponse: ({ attempt, head, peer, outcome }) => this.respond({ attempt, head, source: peer, endpoint: undefined, outcome }),
      onFailed: (fault) => this.fail(fault)
    })
  }

  private respond (response: RunResponse): void {
    this.end()
    this.listener.onResponse(response)
  }

  private refuse (fault: errors.Fault): void {
    const { req: { requestId }, namedLane } = this.spec
    this.deps.decisions.record({ event: 'refuse', requestId, lane: namedLane.name, choice: fault.kind, why: fault.message })
    this.fail(fault)
  }

  private fail (fault: errors.Fault): void {
    this.end()
    this.listener.onFailed(fault)
  }

  private end (): void {
    this.hasEnded = true
    this.unsubscribe()
  }

  private unsubscribe (): void {
    this.reachabilitySubscription?.dispose()
  }
}
