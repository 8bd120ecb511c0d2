/** Assigns the slots of one service that this instance may use, and queues calls that wait for a slot. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as arrivingCalls from './arrivingCalls.js'
import type * as balancingPolicy from './balancingPolicy.js'
import * as callFault from './callFault.js'
import * as candidateLog from './candidateLog.js'
import * as displacedCalls from './displacedCalls.js'
import type * as endpointNotices from './endpointNotices.js'
import * as endpointLimits from './endpointLimits.js'
import * as endpointStatsTable from './endpointStatsTable.js'
import type * as flowSchedule from './flowSchedule.js'
import * as placementRules from './placementRules.js'
import type * as slotAssignment from './slotAssignment.js'
import type * as servicePermits from './servicePermits.js'
import * as slotShares from './slotShares.js'
import * as targetReachability from './targetReachability.js'
import * as waitingQueue from './waitingQueue.js'

const initialTypicalLatencyMs = 10
/** Weight of a new sample in the moving averages. */
const ewmaWeight = 0.01
/** Lower bound of the mean relative latency, so that latencies of 0 do not make it 0; it is used as a divisor. */
const minRelativeLatency = 0.001
/** Ejections are ignored while more than this share of the endpoints is ejected, or all that a call has not tried yet. */
const maxEjectedShare = 0.5
/** Cold endpoints are not avoided while they are more than this share of the endpoints. */
const maxColdShare = 0.25
const msPerSecond = 1000

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly service: string
  readonly ownFailureDomain: string
  /** Returns the number of live entry instances that share the endpoints, including this one. */
  readonly liveEntries: () => number
  /** Returns the configured limit of connections to one endpoint from all instances together. */
  readonly connectionLimit?: () => number | undefined
  /** Returns whether an idle connection to an endpoint is open; without it all endpoints count as connected. */
  readonly isConnected?: (endpoint: endpointTable.Endpoint) => boolean
  /** Notices of endpoints that are away; they get no requests meanwhile. */
  readonly notices?: Pick<endpointNotices.EndpointNotices, 'awayUntil' | 'onAway'>
  /** Returns whether requests to cold endpoints are limited; new endpoints are not avoided then. */
  readonly hasColdLimit?: () => boolean
  /** Permits for requests to endpoints that name a limit; without them limits are not kept. */
  readonly permits?: servicePermits.ServicePermits
  /** Weights of flows; without them, all flows are equal. */
  readonly flows?: flowSchedule.IFlowRules
  /** Whether this instance is cut off from all targets; failures meanwhile do not count. */
  readonly reachability?: targetReachability.ITargetReachability
  /** Time until which endpoints may still be unknown because the process has just started; calls that find no endpoint wait until then. */
  readonly startingUntil?: number
  /** Frees a slot that a caller keeps from others; returns false if there is none. */
  readonly makeRoom?: () => boolean
}

/** Assigns free slots by the balancing policy, and queues calls by priority, flow and deadline while there are none. */
export class Dispatcher implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly stats = new endpointStatsTable.EndpointStatsTable()
  private readonly queue: waitingQueue.WaitingQueue<displacedCalls.Waiter>
  private typicalMs = initialTypicalLatencyMs
  /** Mean of the latencies relative to the typical latency of their lane; far from 1 while lanes still use initial estimates. */
  private meanRelativeLatency = 1
  private latencySampleCount = 0
  private meanHoldMs = initialTypicalLatencyMs
  private bulkInFlight = 0
  private readonly arrivingCalls = new arrivingCalls.ArrivingCalls()
  private cutOffSince = -Infinity
  private cancelAvailabilityTimer = (): void => {}
  private readonly limits: endpointLimits.EndpointLimits

  constructor (
    private readonly options: DispatcherOptions,
    private readonly endpoints: endpointTable.IEndpointSource,
    private readonly policy: balancingPolicy.IBalancingPolicy,
    private readonly clock: clock.IClock
  ) {
    this.queue = new waitingQueue.WaitingQueue(options.flows)
    this.limits = new endpointLimits.EndpointLimits(options.permits, policy)
    this.disposables.add(endpoints.onChanged((endpoint) => this.onEndpointChanged(endpoint)))
    if (endpoints.onRoutableChanged !== undefined) this.disposables.add(endpoints.onRoutableChanged(() => this.serveOrReject(true)))
    if (options.notices !== undefined) this.disposables.add(options.notices.onAway(({ service }) => { if (service === options.service) this.serveQueueWhenEndpointsReturn() }))
    if (options.reachability !== undefined) this.disposables.add(options.reachability.onChanged((isCutOff) => this.withdrawFailures(isCutOff)))
    if (options.permits !== undefined) this.disposables.add(options.permits.onChanged(() => this.serveOrReject(false)))
  }

  dispose (): void {
    this.cancelAvailabilityTimer()
    this.disposables.dispose()
  }

  /** Typical time to the head of a response, in milliseconds. */
  get typicalLatencyMs (): number {
    return this.typicalMs
  }

  /** Number of calls in the queue. */
  get waiting (): number {
    return this.queue.length
  }

  /** Number of slots in use by this instance. */
  get inFlight (): number {
    return this.stats.inFlight
  }

  /** Assigns a slot now or later, or rejects the call; returns a function that cancels the request. */
  acquire (request: slotAssignment.SlotRequest, done: (outcome: slotAssignment.SlotOutcome) => void): () => void {
    const now = this.clock.now()
    const placement = this.acquireNow(request) ?? (this.options.makeRoom?.() === true ? this.acquireNow(request) : undefined)
    if (placement !== undefined) {
      done({ placed: true, placement })
      return () => {}
    }
    // Calls before this one may wait for endpoints that this one does not need, and no slot may be in use whose release serves the queue.
    if (this.hasFreeSlot(request, now)) {
      const withdraw = this.enqueue(request, now, done)
      this.serveQueue()
      return withdraw
    }
    const fault = this.findRejection(request, now)
    if (fault !== undefined) {
      done({ placed: false, fault })
      return () => {}
    }
    const withdraw = this.enqueue(request, now, done)
    if (request.flow !== undefined) this.refuseDisplaced(now)
    return withdraw
  }

  /** Returns whether a call leaves endpoints with queues to calls of other flows. Calls never do so for less urgent ones. */
  givesWay ({ flow, priority }: Pick<slotAssignment.SlotRequest, 'flow' | 'priority'>): boolean {
    return this.queue.givesWay(flow) && this.options.flows?.isLeastUrgent(this.options.service, priority) === true
  }

  /** Returns whether an endpoint without a limit has a free slot for a call that is not the first of the queue. */
  private hasFreeSlot (request: slotAssignment.SlotRequest, now: number): boolean {
    const unlimited = this.findAvailable(now).available.filter((endpoint) => !this.limits.isLimited(endpoint))
    return this.queue.position(request) > 0 && this.findCandidates(unlimited, request, now).length > 0
  }

  /** Assigns a slot for a hedge, at an endpoint without a limit, if no call waits and the slots in use are below the lane's share for hedges. */
  acquireForHedge (request: slotAssignment.SlotRequest): slotAssignment.Placement | undefined {
    const now = this.clock.now()
    const { available } = this.findAvailable(now)
    if (this.queue.length > 0 || this.stats.inFlight >= request.lane.budgets.hedgeBelowShare * this.totalLimit(available)) return undefined
    return this.tryPlace(request, now, now, false)
  }

  /** Assigns up to `maxCount` further slots to a call, each at another endpoint without a limit, while no other call waits. */
  acquireAdditional (request: slotAssignment.SlotRequest, taken: slotAssignment.Placement, maxCount: number): readonly slotAssignment.Placement[] {
    const excludedEndpoints = new Set([...request.excludedEndpoints, taken.endpoint.endpoint])
    const placements: slotAssignment.Placement[] = []
    while (placements.length < maxCount && this.queue.length === 0) {
      const now = this.clock.now()
      const placement = this.tryPlace({ ...request, excludedEndpoints }, now, now, false)
      if (placement === undefined) break
      excludedEndpoints.add(placement.endpoint.endpoint)
      placements.push(placement)
    }
    return placements
  }

  /** Assigns a slot if one is free and no other call waits before this one. */
  acquireNow (request: slotAssignment.SlotRequest): slotAssignment.Placement | undefined {
    const now = this.clock.now()
    const placement = this.queue.position(request) === 0 ? this.tryPlace(request, now, now) : undefined
    if (placement !== undefined) this.queue.serveDirectly(request)
    return placement
  }

  /** Counts a request that is sent now; one with a permit is counted already. */
  recordSend ({ endpoint, isPermitted }: slotAssignment.Placement): void {
    if (!isPermitted) this.options.permits?.recordSend(endpoint)
  }

  /** Returns the factor on the cost of an endpoint for a call, by failure domain. */
  domainFactor (endpoint: endpointTable.Endpoint, request: slotAssignment.SlotRequest): number {
    return endpoint.failureDomain === this.options.ownFailureDomain ? 1 : placementRules.weightedFactor(request, request.remoteFactor)
  }

  /**
   * Records a latency sample of the service, in milliseconds.
   * @param relative the sample relative to the typical latency of its lane; 1 for a lane without a typical latency of its own.
   */
  recordLatency (ms: number, relative = 1): void {
    this.typicalMs += (ms - this.typicalMs) * ewmaWeight
    // The first responses have equal weights, so that nothing remains of the initial value.
    const mean = this.meanRelativeLatency + (relative - this.meanRelativeLatency) * Math.max(ewmaWeight, 1 / ++this.latencySampleCount)
    this.meanRelativeLatency = Math.max(minRelativeLatency, mean)
  }

  private get hasColdLimit (): boolean {
    return this.options.hasColdLimit?.() === true
  }

  private isStarting (now: number): boolean {
    return now < (this.options.startingUntil ?? -Infinity)
  }

  private enqueue (request: slotAssignment.SlotRequest, now: number, done: (outcome: slotAssignment.SlotOutcome) => void): () => void {
    const isWaitingForFirstEndpoint = this.isStarting(now) && this.endpoints.routable(this.options.service).length === 0
    const expiresAt = Math.min(now + request.lane.maxWaitMs, request.deadlineAt, isWaitingForFirstEndpoint ? this.options.startingUntil! : Infinity)
    const waiter: displacedCalls.Waiter = {
      request,
      priority: request.priority,
      deadlineAt: request.deadlineAt,
      flow: request.flow,
      queuedAt: now,
      done,
      cancelTimer: this.clock.after(expiresAt - now, () => this.expire(waiter))
    }
    this.queue.add(waiter)
    return () => this.withdraw(waiter)
  }

  private withdraw (waiter: displacedCalls.Waiter): void {
    waiter.cancelTimer()
    this.queue.remove(waiter)
  }

  private expire (waiter: displacedCalls.Waiter): void {
    this.queue.remove(waiter)
    waiter.done({ placed: false, fault: callFault.notPlacedFault('no slot became free in time', this.estimateWaitMs(waiter)) })
  }

  /** Assigns free slots to queued calls in their order, and rejects those that can no longer meet their deadline. */
  private serveQueue (): void {
    for (const waiter of this.queue.waiting()) {
      const now = this.clock.now()
      if (now + waiter.request.typicalMs > waiter.deadlineAt) {
        this.withdraw(waiter)
        waiter.done({ placed: false, fault: callFault.notPlacedFault('the deadline can no longer be met', this.estimateWaitMs(waiter)) })
        continue
      }
      const placement = this.tryPlace(waiter.request, waiter.queuedAt, now)
      const noEndpointLeftFault = placement === undefined && !this.isStarting(now) ? this.findNoEndpointLeftFault(waiter.request, now) : undefined
      if (noEndpointLeftFault !== undefined) {
        this.withdraw(waiter)
        waiter.done({ placed: false, fault: noEndpointLeftFault })
        continue
      }
      if (placement === undefined) {
        // If any endpoint can take the call, no slot is free for later ones either. Calls behind a bulk call always wait with it.
        if (this.isUnrestricted(waiter.request, now) || waiter.priority === 'bulk') return
        continue
      }
      waiter.cancelTimer()
      this.queue.serve(waiter)
      waiter.done({ placed: true, placement })
    }
  }

  /** Rejects the queued calls that cannot be served in time since another one is served before them. */
  private refuseDisplaced (now: number): void {
    const { available } = this.findAvailable(now)
    if (available.length === 0 || this.findLimitedEndpoints(now).length > 0) return
    for (const { waiter, waitMs } of displacedCalls.findDisplaced(this.queue, this.meanHoldMs / Math.max(1, this.totalLimit(available)), now)) {
      this.withdraw(waiter)
      waiter.done({ placed: false, fault: callFault.notPlacedFault('other calls come first, and the wait is too long', waitMs) })
    }
  }

  private findRejection (request: slotAssignment.SlotRequest, now: number): errors.Fault | undefined {
    const endpoints = this.endpoints.routable(this.options.service)
    if (endpoints.length === 0 && this.isStarting(now)) return undefined
    if (endpoints.length === 0) return callFault.notPlacedFault(`service ${this.options.service} has no ready endpoint`, 0)
    const noEndpointLeftFault = this.findNoEndpointLeftFault(request, now)
    if (noEndpointLeftFault !== undefined) return noEndpointLeftFault
    const limitFault = this.limits.findFault(request, this.queue.position(request), this.findLimitedEndpoints(now), now)
    if (limitFault !== undefined) return limitFault
    const waitMs = this.estimateWaitMs(request)
    if (waitMs > request.lane.maxWaitMs) return callFault.notPlacedFault('all slots are taken and the wait is too long', waitMs)
    if (now + waitMs + request.typicalMs > request.deadlineAt) return callFault.notPlacedFault('the deadline cannot be met', waitMs)
    return undefined
  }

  /** Returns the endpoints that accept requests now, if each of them has a limit. */
  private findLimitedEndpoints (now: number): readonly endpointTable.Endpoint[] {
    const { available } = this.findAvailable(now)
    return available.every((endpoint) => this.limits.isLimited(endpoint)) ? available : []
  }

  private estimateWaitMs (call: waitingQueue.QueuedCall): number {
    const now = this.clock.now()
    const limited = this.findLimitedEndpoints(now)
    if (limited.length > 0) return this.limits.estimateWaitMs(limited, this.queue.position(call))
    const limit = Math.max(1, this.totalLimit(this.findAvailable(now).available))
    return (this.queue.position(call) + 1) * this.meanHoldMs / limit
  }

  /** Returns the fault of a call for which each endpoint was tried or is away; undefined if one is left. */
  private findNoEndpointLeftFault (request: slotAssignment.SlotRequest, now: number): errors.Fault | undefined {
    const { available, nextAvailableAt } = this.findAvailable(now)
    if (available.some(({ endpoint }) => !request.excludedEndpoints.has(endpoint))) return undefined
    if (nextAvailableAt === Infinity) return callFault.notPlacedFault('every ready endpoint was tried', 0)
    return { kind: 'not-run', message: 'every ready endpoint was tried or asked to get no requests for a while', retryAfterS: (nextAvailableAt - now) / msPerSecond }
  }

  /** Returns the ready endpoints that accept requests now, and the time at which the first of the others does so again. */
  private findAvailable (now: number): { readonly available: readonly endpointTable.Endpoint[], readonly nextAvailableAt: number } {
    const endpoints = this.endpoints.routable(this.options.service)
    const { notices } = this.options
    if (notices === undefined) return { available: endpoints, nextAvailableAt: Infinity }
    let nextAvailableAt = Infinity
    const available = endpoints.filter((endpoint) => {
      const until = notices.awayUntil(endpoint)
      if (until > now) nextAvailableAt = Math.min(nextAvailableAt, until)
      return until <= now
    })
    return { available, nextAvailableAt }
  }

  private tryPlace (request: slotAssignment.SlotRequest, queuedAt: number, now: number, mayBeLimited = true): slotAssignment.Placement | undefined {
    const endpoints = this.endpoints.routable(this.options.service)
    const { available } = this.findAvailable(now)
    if (request.priority === 'bulk' && this.bulkInFlight >= Math.max(1, Math.floor(request.lane.budgets.bulkShare * this.totalLimit(available)))) return undefined
    if (!this.arrivingCalls.canStart(request, available.reduce((sum, endpoint) => sum + this.slotLimit(endpoint), 0))) return undefined
    const candidates = this.findCandidates(mayBeLimited ? available : available.filter((endpoint) => !this.limits.isLimited(endpoint)), request, now)
    const context = {
      now,
      ownFailureDomain: this.options.ownFailureDomain,
      typicalLatencyMs: this.typicalMs * this.meanRelativeLatency,
      remoteFactor: placementRules.weightedFactor(request, request.remoteCandidateFactor ?? request.remoteFactor),
      weights: placementRules.weightsOf(request, this.hasColdLimit)
    }
    const choice = this.limits.choose(candidates, context, endpoints, this.queue.length)
    if (choice === undefined) return undefined
    return this.occupySlot(request, choice, {
      considered: candidates.length,
      candidates: candidateLog.describeBest(this.policy, candidates, context),
      why: `${this.policy.name}: ${candidates.length} of ${endpoints.length} endpoints have a free slot${candidateLog.describeUnavailable(endpoints.length - available.length)}${choice.note}`,
      waitedMs: now - queuedAt,
      isPermitted: choice.isPermitted
    })
  }

  private occupySlot (request: slotAssignment.SlotRequest, { candidate, endpoint }: endpointLimits.Choice, reason: Omit<slotAssignment.Placement, 'endpoint' | 'stats' | 'release'>): slotAssignment.Placement {
    const { stats } = candidate
    const startedAt = this.clock.now()
    const handle = stats.startCall(startedAt)
    const bulkCount = request.priority === 'bulk' ? 1 : 0
    const suspectCount = request.isSuspect ? 1 : 0
    this.bulkInFlight += bulkCount
    stats.suspectCount += suspectCount
    const releaseFlow = this.queue.hold(request)
    const endArriving = this.arrivingCalls.start(request)
    let released = false
    const release = (): void => {
      if (released) return
      released = true
      releaseFlow()
      endArriving()
      stats.endCall(handle)
      this.bulkInFlight -= bulkCount
      stats.suspectCount -= suspectCount
      this.meanHoldMs += (this.clock.now() - startedAt - this.meanHoldMs) * ewmaWeight
      if (this.queue.length > 0) this.serveQueue()
    }
    return { endpoint, stats, ...reason, release }
  }

  private findCandidates (endpoints: readonly endpointTable.Endpoint[], request: slotAssignment.SlotRequest, now: number): readonly balancingPolicy.Candidate[] {
    const free: balancingPolicy.Candidate[] = []
    let coldCount = 0
    let ejectedCount = 0
    let hasHealthyEndpoint = false
    for (const endpoint of endpoints) {
      const stats = this.stats.statsFor(endpoint, now)
      const isExcluded = request.excludedEndpoints.has(endpoint.endpoint)
      if (placementRules.isTooCold(request, stats, now, this.hasColdLimit)) coldCount++
      if (stats.isEjected(now)) ejectedCount++
      else if (!isExcluded) hasHealthyEndpoint = true
      if (isExcluded || stats.inFlight >= this.slotLimit(endpoint)) continue
      if (request.isSuspect && stats.suspectCount > 0) continue
      free.push({ id: endpoint.endpoint, failureDomain: endpoint.failureDomain, reportedLoad: endpoint.load, connected: this.options.isConnected?.(endpoint) ?? true, stats })
    }
    const ignoresEjections = !hasHealthyEndpoint || ejectedCount > endpoints.length * maxEjectedShare
    const eligible = ignoresEjections ? free : free.filter(({ stats }) => !stats.isEjected(now))
    if (coldCount === 0 || coldCount > endpoints.length * maxColdShare) return eligible
    return eligible.filter(({ stats }) => !placementRules.isTooCold(request, stats, now, this.hasColdLimit))
  }

  /** Returns whether any endpoint with a free slot can take the call; if such a call gets no slot, none is free. */
  private isUnrestricted (request: slotAssignment.SlotRequest, now: number): boolean {
    return request.excludedEndpoints.size === 0 && !request.isSuspect && !arrivingCalls.isArriving(request) && (this.hasColdLimit || now - this.stats.newestEndpointSeenAt >= request.lane.coldStartMs)
  }

  private slotLimit (endpoint: endpointTable.Endpoint): number {
    return slotShares.slotLimit(endpoint, this.options.liveEntries(), this.options.connectionLimit?.())
  }

  /** Returns the slots that this instance may use, without those of endpoints whose capacity is a limit on requests per second. */
  private totalLimit (endpoints: readonly endpointTable.Endpoint[]): number {
    return endpoints.reduce((sum, endpoint) => this.limits.isLimited(endpoint) ? sum : sum + this.slotLimit(endpoint), 0)
  }

  /** Withdraws the failures that were due to a partition of this instance: at the verdict those just before, at its end those since. */
  private withdrawFailures (isCutOff: boolean): void {
    const now = this.clock.now()
    if (isCutOff) this.cutOffSince = now
    this.stats.withdrawFailures(this.cutOffSince - targetReachability.withdrawalMs)
    if (!isCutOff && this.queue.length > 0) this.serveQueue()
  }

  private onEndpointChanged (endpoint: endpointTable.Endpoint): void {
    if (endpoint.service !== this.options.service) return
    if (this.limits.noteChange(endpoint)) this.stats.restartWarmUp(endpoint, this.clock.now())
    if (endpoint.state === 'left') this.stats.delete(endpoint.endpoint)
    if (this.queue.length > 0) this.serveQueue()
  }

  /**
   * Serves the queue, and rejects the calls that cannot be served in time within the limits of the endpoints.
   * @param isEndpointGone whether calls may have no endpoint left; they are rejected too.
   */
  private serveOrReject (isEndpointGone: boolean): void {
    if (this.queue.length === 0) return
    this.serveQueue()
    const now = this.clock.now()
    const limited = this.findLimitedEndpoints(now)
    let position = 0
    for (const waiter of this.queue.waiting()) {
      const noEndpointLeftFault = isEndpointGone && !this.isStarting(now) ? this.findNoEndpointLeftFault(waiter.request, now) : undefined
      const fault = noEndpointLeftFault ?? this.limits.findFault(waiter.request, position, limited, now, waiter.queuedAt)
      if (fault === undefined) {
        position++
        continue
      }
      this.withdraw(waiter)
      waiter.done({ placed: false, fault })
    }
  }

  /**
   * Serves the queue now, which rejects calls that have no other endpoint left, and again each time an endpoint accepts requests again, since
   * calls may be queued meanwhile.
   */
  private serveQueueWhenEndpointsReturn (): void {
    if (this.queue.length > 0) this.serveQueue()
    this.cancelAvailabilityTimer()
    const now = this.clock.now()
    const { nextAvailableAt } = this.findAvailable(now)
    if (nextAvailableAt !== Infinity) this.cancelAvailabilityTimer = this.clock.after(nextAvailableAt - now, () => this.serveQueueWhenEndpointsReturn())
  }
}
