/** Lanes in force, with their budgets and the dispatchers of their services. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'
import * as budget from '@rosemaryrack/routing/common/budget.js'
import * as dispatcher from '@rosemaryrack/routing/common/dispatcher.js'
import * as domainPreference from '@rosemaryrack/routing/common/domainPreference.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import * as laneLatency from '@rosemaryrack/routing/common/laneLatency.js'
import * as laneMatcher from '@rosemaryrack/routing/common/laneMatcher.js'
import * as trafficSplit from '@rosemaryrack/routing/common/trafficSplit.js'

/** Share of the repeats that hedges may use: a retry helps a call that failed, a hedge one that may only be late. */
const hedgeShareOfRepeats = 0.7

/** Budgets and latency of one lane on this instance. */
export interface LaneState {
  readonly retries: budget.RatioBudget
  readonly hedges: budget.RatioBudget
  readonly measuring: budget.RateBudget
  readonly split: trafficSplit.TrafficSplit
  readonly latency: laneLatency.LaneLatency
  readonly domains: domainPreference.DomainPreference
}

/** What is the same for all lanes. */
export interface RegistryOptions {
  readonly ownFailureDomain: string
  readonly liveEntries: () => number
  readonly newPolicy: () => balancingPolicy.IBalancingPolicy
  readonly random: balancingPolicy.IRandom
  /** What all instances may send again of a service; the lanes' own budgets hold where it is missing. */
  readonly repeats: budget.RepeatLimits | undefined
  /** Probes of all instances together, for each endpoint and second. */
  readonly probesPerEndpointAndSecond: number
  /** True while an idle connection to an endpoint is open. */
  readonly isConnected: (endpoint: endpointTable.Endpoint) => boolean
  /** Which endpoints want no requests for a while. */
  readonly notices: endpointNotices.EndpointNotices
  /** Time on the clock until which endpoints may not be known yet. */
  readonly startingUntil: number
}

/** Follows the configuration. */
export class LaneRegistry implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly states = new Map<string, LaneState>()
  private readonly probes = new Map<string, budget.RateBudget>()
  private readonly repeats = new Map<string, budget.RepeatBudget>()
  private readonly dispatchers = new Map<string, dispatcher.Dispatcher>()
  private matcher: laneMatcher.LaneMatcher
  private lanes: configDocument.ConfigDocument['lanes']
  private services: configDocument.ConfigDocument['services']

  constructor (
    private readonly configs: configFollower.IConfigSource,
    private readonly endpoints: endpointTable.IEndpointSource,
    private readonly options: RegistryOptions,
    private readonly clock: clock.IClock
  ) {
    this.lanes = configs.current.document.lanes
    this.services = configs.current.document.services
    this.matcher = new laneMatcher.LaneMatcher(configs.current.document)
    this.disposables.add(configs.onChanged((config) => this.take(config.document)))
  }

  dispose (): void {
    this.disposables.dispose()
    for (const service of this.dispatchers.values()) service.dispose()
  }

  find (method: string, host: string | undefined, path: string): laneMatcher.NamedLane | undefined {
    return this.matcher.find(method, host, path)
  }

  /** Bytes that a caller's headers may take; undefined where the configuration sets none. */
  get maxHeaderBytes (): number | undefined {
    return this.configs.current.document.callerLimits?.maxHeaderBytes
  }

  /** Names of the lanes in force. */
  get names (): readonly string[] {
    return Object.keys(this.lanes)
  }

  lane (name: string): configDocument.Lane | undefined {
    return this.lanes[name]
  }

  stateOf (name: string): LaneState {
    let state = this.states.get(name)
    if (state === undefined) {
      state = this.newState(name)
      this.states.set(name, state)
    }
    return state
  }

  /** Service for one call of a lane; a lane with parts takes them in turn by weight. */
  serviceFor ({ name, lane }: laneMatcher.NamedLane): string {
    if (lane.split === undefined) return lane.service
    return this.stateOf(name).split.next(lane.split)
  }

  /** Counts a caller's request for a service and gives the budgets from which its repeats are taken. */
  budgetsFor (name: string, service: string): budget.LaneBudgets {
    const state = this.stateOf(name)
    state.retries.deposit()
    state.hedges.deposit()
    const shared = this.repeatsOf(service)
    shared?.noteCall()
    return { measuring: state.measuring, retries: shared ?? state.retries, hedges: shared?.upTo(hedgeShareOfRepeats) ?? state.hedges }
  }

  /** Path at which a service's endpoints answer probes. */
  healthPathOf (service: string): string | undefined {
    return this.services?.[service]?.healthPath
  }

  /** This instance's part of the probes of a service. */
  probesOf (service: string): budget.IBudget {
    let found = this.probes.get(service)
    if (found === undefined) {
      const perSecond = (): number => this.options.probesPerEndpointAndSecond * this.endpoints.routable(service).length / this.options.liveEntries()
      found = new budget.RateBudget(perSecond, this.clock, true)
      this.probes.set(service, found)
    }
    return found
  }

  private repeatsOf (service: string): budget.RepeatBudget | undefined {
    const { repeats, liveEntries } = this.options
    let found = this.repeats.get(service)
    if (found === undefined && repeats !== undefined) {
      found = new budget.RepeatBudget(repeats, liveEntries, this.clock)
      this.repeats.set(service, found)
    }
    return found
  }

  dispatcherOf (service: string): dispatcher.Dispatcher {
    let found = this.dispatchers.get(service)
    if (found === undefined) {
      const { ownFailureDomain, liveEntries, newPolicy, startingUntil, isConnected, notices } = this.options
      const connectionLimit = (): number | undefined => this.services?.[service]?.connectionLimit
      found = new dispatcher.Dispatcher({ service, ownFailureDomain, liveEntries, connectionLimit, startingUntil, isConnected, notices }, this.endpoints, newPolicy(), this.clock)
      this.dispatchers.set(service, found)
    }
    return found
  }

  private newState (name: string): LaneState {
    const budgets = this.lanes[name]!.budgets
    const perSecond = (): number => (this.lanes[name]?.budgets.measuringPerSecond ?? 0) / this.options.liveEntries()
    return {
      retries: new budget.RatioBudget(budgets.retryRatio),
      hedges: new budget.RatioBudget(budgets.hedgeRatio),
      measuring: new budget.RateBudget(perSecond, this.clock),
      split: new trafficSplit.TrafficSplit(this.options.random),
      latency: new laneLatency.LaneLatency(),
      domains: new domainPreference.DomainPreference()
    }
  }

  private take (document: configDocument.ConfigDocument): void {
    this.lanes = document.lanes
    this.services = document.services
    this.matcher = new laneMatcher.LaneMatcher(document)
    for (const [name, state] of this.states) {
      const lane = document.lanes[name]
      if (lane === undefined) {
        this.states.delete(name)
        continue
      }
      state.retries.setRatio(lane.budgets.retryRatio)
      state.hedges.setRatio(lane.budgets.hedgeRatio)
    }
  }
}
