/** Lanes of the current configuration, with their budgets and the dispatchers of their services. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'
import * as budget from '@rosemaryrack/routing/common/budget.js'
import * as dispatcher from '@rosemaryrack/routing/common/dispatcher.js'
import * as domainPreference from '@rosemaryrack/routing/common/domainPreference.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as flowSchedule from '@rosemaryrack/routing/common/flowSchedule.js'
import * as hedging from '@rosemaryrack/routing/common/hedging.js'
import * as laneLatency from '@rosemaryrack/routing/common/laneLatency.js'
import * as laneMatcher from '@rosemaryrack/routing/common/laneMatcher.js'
import * as servicePermits from '@rosemaryrack/routing/common/servicePermits.js'
import type * as targetReachability from '@rosemaryrack/routing/common/targetReachability.js'
import * as trafficSplit from '@rosemaryrack/routing/common/trafficSplit.js'

/** Share of the repeat budget that hedges may use. The rest is reserved for retries: a retried call has failed, a hedged one may only be late. */
const hedgeShareOfRepeats = 0.7

/** Budgets, traffic split, latency and domain preference of one lane on this instance. */
export interface LaneState {
  readonly retries: budget.RatioBudget
  readonly hedges: budget.RatioBudget
  /**
   * Budget for second health checks. A health check tries after a lost connection whether the target still accepts connections;
   * a second one confirms that it is up. A load probe, by contrast, asks an endpoint for its load before it gets a call.
   */
  readonly healthChecks: budget.RateBudget
  readonly split: trafficSplit.TrafficSplit
  readonly latency: laneLatency.LaneLatency
  readonly domainPreference: domainPreference.DomainPreference
  /** Undefined where the settings have no limits for hedges. */
  readonly hedging: hedging.LaneHedging | undefined
}

/** The lane of a request with its state. Both last as long as the request, whatever the configuration does meanwhile. */
export interface MatchedLane extends laneMatcher.NamedLane {
  readonly state: LaneState
}

/** Options shared by all lanes. */
export interface RegistryOptions {
  readonly ownFailureDomain: string
  readonly liveEntries: () => number
  readonly newPolicy: () => balancingPolicy.IBalancingPolicy
  readonly random: balancingPolicy.IRandom
  /** Limit on retries and hedges of all instances for one service; without it each lane's own budgets apply. */
  readonly repeats: budget.RepeatLimits | undefined
  /** Load probes of all instances together, per endpoint and second. */
  readonly probesPerEndpointAndSecond: number
  /** True while an idle connection to an endpoint is open. */
  readonly isConnected: (endpoint: endpointTable.Endpoint) => boolean
  /** Notices from endpoints that are leaving or asked for a pause in requests. */
  readonly notices: endpointNotices.EndpointNotices
  /** Grants permits for requests to endpoints that name a limit. */
  readonly permitSource: servicePermits.IPermitSource
  /** Weights of the flows of queued calls; without them, all flows are equal. */
  readonly flows?: flowSchedule.IFlowRules
  /** Whether this instance is cut off from all targets. */
  readonly reachability: targetReachability.ITargetReachability
  /** Time on the clock until which some endpoints may not be known yet after the start of this instance. */
  readonly startingUntil: number
  /** Limits on the hedges of this instance; without it only the budgets apply. */
  readonly hedging?: hedging.HedgingOptions | undefined
  /** Frees a slot of a service that a caller keeps from others; returns false if there is none. */
  readonly makeRoom?: (service: string) => boolean
}

/** Finds lanes and keeps their state, following changes of the configuration. */
export class LaneRegistry implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly states = new Map<string, LaneState>()
  private readonly probeBudgets = new Map<string, budget.RateBudget>()
  private readonly repeatBudgets = new Map<string, budget.RepeatBudget>()
  private readonly dispatchers = new Map<string, dispatcher.Dispatcher>()
  /** Hedges of this instance; undefined where the settings have no limits for them. */
  readonly hedging: hedging.Hedging | undefined
  private matcher: laneMatcher.LaneMatcher
  private lanes: configDocument.ConfigDocument['lanes']
  private services: configDocument.ConfigDocument['services']

  constructor (
    private readonly configs: configFollower.IConfigSource,
    private readonly endpoints: endpointTable.IEndpointSource,
    private readonly options: RegistryOptions,
    private readonly clock: clock.IClock
  ) {
    this.hedging = options.hedging === undefined ? undefined : new hedging.Hedging(options.hedging, clock)
    this.lanes = configs.current.document.lanes
    this.services = configs.current.document.services
    this.matcher = new laneMatcher.LaneMatcher(configs.current.document)
    this.disposables.add(configs.onChanged((config) => this.applyDocument(config.document)))
  }

  dispose (): void {
    this.disposables.dispose()
    for (const each of this.dispatchers.values()) each.dispose()
  }

  find (method: string, host: string | undefined, path: string): MatchedLane | undefined {
    const namedLane = this.matcher.find(method, host, path)
    return namedLane === undefined ? undefined : { ...namedLane, state: this.stateOf(namedLane.name) }
  }

  /** Limit on the bytes of a caller's headers; undefined where the configuration sets none. */
  get maxHeaderBytes (): number | undefined {
    return this.configs.current.document.callerLimits?.maxHeaderBytes
  }

  /** Whether callers are told apart by workspace. */
  get hasWorkspaces (): boolean {
    return this.configs.current.document.workspaces !== undefined
  }

  /** False until the first configuration has been received. */
  get hasConfig (): boolean {
    return this.configs.current.version > 0
  }

  /** Names of the lanes of the current configuration. */
  get names (): readonly string[] {
    return Object.keys(this.lanes)
  }

  lane (name: string): configDocument.Lane | undefined {
    return configDocument.findByName(this.lanes, name)
  }

  /** Returns the state of a lane of the current configuration, which is created at its first use. */
  stateOf (name: string): LaneState {
    let state = this.states.get(name)
    if (state === undefined) {
      state = this.newState(name)
      this.states.set(name, state)
    }
    return state
  }

  /** Chooses the service for one call of a lane; a lane with a traffic split distributes its calls over services by weight. */
  chooseService ({ lane, state }: MatchedLane): string {
    if (lane.split === undefined) return lane.service
    return state.split.next(lane.split)
  }

  /** Counts a caller's request for a service, which adds to the budgets for retries and hedges. */
  countRequest (state: LaneState, service: string): void {
    state.retries.deposit()
    state.hedges.deposit()
    this.repeatBudgetOf(service)?.recordCall()
    this.hedging?.recordRequest()
  }

  /** Returns the budgets for the health checks, retries and hedges of requests for a service. */
  budgetsOf (state: LaneState, service: string): budget.LaneBudgets {
    const shared = this.repeatBudgetOf(service)
    return { healthChecks: state.healthChecks, retries: shared ?? state.retries, hedges: shared?.limitToShare(hedgeShareOfRepeats) ?? state.hedges }
  }

  /** Returns the path at which the endpoints of a service respond to load probes. */
  healthPathOf (service: string): string | undefined {
    return configDocument.findByName(this.services, service)?.healthPath
  }

  /** Returns the requests per second that a cold endpoint of a service takes; undefined where it has no limit. */
  private coldRateOf (service: string): number | undefined {
    return configDocument.findByName(this.services, service)?.cold?.perSecond
  }

  /** Returns this instance's share of the load probes of a service. */
  probeBudgetOf (service: string): budget.IBudget {
    let probeBudget = this.probeBudgets.get(service)
    if (probeBudget === undefined) {
      const perSecond = (): number => this.options.probesPerEndpointAndSecond * this.endpoints.routable(service).length / this.options.liveEntries()
      // `true`: starts with the tokens of one second, since many calls may be waiting at the first load probe.
      probeBudget = new budget.RateBudget(perSecond, this.clock, true)
      this.probeBudgets.set(service, probeBudget)
    }
    return probeBudget
  }

  private repeatBudgetOf (service: string): budget.RepeatBudget | undefined {
    const { repeats, liveEntries } = this.options
    let repeatBudget = this.repeatBudgets.get(service)
    if (repeatBudget === undefined && repeats !== undefined) {
      repeatBudget = new budget.RepeatBudget(repeats, liveEntries, this.clock)
      this.repeatBudgets.set(service, repeatBudget)
    }
    return repeatBudget
  }

  dispatcherOf (service: string): dispatcher.Dispatcher {
    let serviceDispatcher = this.dispatchers.get(service)
    if (serviceDispatcher === undefined) {
      const { ownFailureDomain, liveEntries, newPolicy, startingUntil, isConnected, notices, permitSource, random, reachability, flows, makeRoom } = this.options
      const permits = this.disposables.add(new servicePermits.ServicePermits(permitSource, liveEntries, random, this.clock))
      const connectionLimit = (): number | undefined => configDocument.findByName(this.services, service)?.connectionLimit
      const hasColdLimit = (): boolean => this.coldRateOf(service) !== undefined
      serviceDispatcher = new dispatcher.Dispatcher({ service, ownFailureDomain, liveEntries, connectionLimit, hasColdLimit, startingUntil, isConnected, notices, permits, reachability, makeRoom: () => makeRoom?.(service) === true, ...(flows === undefined ? {} : { flows }) }, this.endpoints, newPolicy(), this.clock)
      this.dispatchers.set(service, serviceDispatcher)
    }
    return serviceDispatcher
  }

  private newState (name: string): LaneState {
    const budgets = this.lane(name)!.budgets
    const perSecond = (): number => (this.lane(name)?.budgets.measuringPerSecond ?? 0) / this.options.liveEntries()
    return {
      retries: new budget.RatioBudget(budgets.retryRatio),
      hedges: new budget.RatioBudget(budgets.hedgeRatio),
      healthChecks: new budget.RateBudget(perSecond, this.clock),
      split: new trafficSplit.TrafficSplit(this.options.random),
      latency: new laneLatency.LaneLatency(),
      domainPreference: new domainPreference.DomainPreference(),
      hedging: this.hedging === undefined ? undefined : new hedging.LaneHedging(this.hedging)
    }
  }

  private applyDocument (document: configDocument.ConfigDocument): void {
    this.lanes = document.lanes
    this.services = document.services
    this.matcher = new laneMatcher.LaneMatcher(document)
    for (const [name, state] of this.states) {
      const lane = this.lane(name)
      if (lane === undefined) {
        this.states.delete(name)
        continue
      }
      state.retries.setRatio(lane.budgets.retryRatio)
      state.hedges.setRatio(lane.budgets.hedgeRatio)
    }
  }
}
