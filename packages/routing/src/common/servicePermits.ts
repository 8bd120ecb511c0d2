/**
 * Permits of one service for requests to endpoints that name a limit on the requests from all entry instances together. A
 * coordinator that all instances ask grants the permits; without it, each instance sends a small share of the limit.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as endpointLimit from '@rosemaryrack/fleet/common/endpointLimit.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as balancingPolicy from './balancingPolicy.js'

const msPerSecond = 1000
/** Time from the request for a permit until the permit expires. */
const permitLifetimeMs = 500
/** Minimum time between two requests to the coordinator, so that calls that arrive together are batched. */
const minRequestIntervalMs = 10
const failureRetryMs = 200
/** Position in a request from which cold endpoints are left out unless there are requests to report; dozens may be cold at once. */
const maxListedEndpoints = 16
const maxRetryMs = 5000
/** Requests to the coordinator per permit that becomes free, summed over the instances. Several, so that few permits stay unused. */
const requestsPerPermit = 3
/** Maximum random change of the time until the next request, as a share of it, so that instances do not ask at the same time. */
const retryJitter = 0.25
/** Time without a response of the coordinator after which an instance sends its own share. */
const silenceMs = 2000
/** Part of a limit that the instances use together while the coordinator is silent. The rest is for those that still reach it. */
const uncoordinatedShare = 0.25
/** Length of the part of its period in which an instance may use its own share. An unused share is lost, so that shares do not accumulate. */
const slotMs = 500

/** Request for permits. */
export interface PermitRequest {
  readonly wanted: number
  /** Endpoints for which a permit is useful, preferred ones first. */
  readonly endpoints: readonly LimitedEndpoint[]
}

/** An endpoint with a limit, and the requests that it got without a permit. */
export interface LimitedEndpoint {
  readonly endpoint: endpointTable.Endpoint
  readonly limit: endpointLimit.EndpointLimit & { readonly perSecond: number }
  /** Ages of the requests that this instance sent without a permit and has not reported yet, in milliseconds. */
  readonly sentAgesMs: readonly number[]
}

/** Response for one endpoint. */
export interface PermitGrant {
  readonly granted: number
  /** Time until the endpoint takes a further request, in milliseconds. */
  readonly waitMs: number
  /** Number of instances that asked for permits of the endpoint recently. */
  readonly applicants: number
}

/** Grants permits for all entry instances. */
export interface IPermitSource {
  /**
   * Requests permits. Calls `done` once, with one grant for each endpoint in the same order, or with undefined if the coordinator did
   * not grant or refuse any.
   */
  request(req: PermitRequest, done: (grants: readonly PermitGrant[] | undefined) => void): void
}

/** What this instance knows of one endpoint. */
class EndpointState {
  /** Times at which the permits expire, in order. */
  private permits: readonly number[] = []
  /** Times of the requests without a permit within the last window. */
  private sentAt: number[] = []
  private reportedAt = -Infinity
  /** Undefined before the first grant or refusal. */
  applicants: number | undefined
  private usedSlot: number | undefined

  /** @param phase offset of this instance's slots, as a share of their period. */
  constructor (readonly incarnation: number, private readonly phase: number) {}

  recordSend (now: number): void {
    const oldest = now - endpointLimit.windowMs
    if (this.sentAt[0] !== undefined && this.sentAt[0] <= oldest) this.sentAt = this.sentAt.filter((at) => at > oldest)
    this.sentAt.push(now)
  }

  unreportedAgesMs (now: number): readonly number[] {
    return this.sentAt.filter((at) => at > this.reportedAt && at > now - endpointLimit.windowMs).map((at) => Math.round(now - at))
  }

  markReported (until: number): void {
    this.reportedAt = until
  }

  addPermits (count: number, expiresAt: number): void {
    this.permits = [...this.permits, ...Array.from({ length: count }, () => expiresAt)]
  }

  countPermits (now: number): number {
    return this.permits.filter((expiresAt) => expiresAt > now).length
  }

  takePermit (now: number): boolean {
    const [first, ...rest] = this.permits.filter((expiresAt) => expiresAt > now)
    this.permits = rest
    return first !== undefined
  }

  /** Takes the slot of the current period if it is open and not used yet. */
  takeSlot (periodMs: number, now: number): boolean {
    if (!this.isSlotOpen(periodMs, now)) return false
    this.usedSlot = this.findSlot(periodMs, now).index
    return true
  }

  /** Returns whether the slot of the current period is open and not used yet. */
  isSlotOpen (periodMs: number, now: number): boolean {
    const { index, elapsedMs } = this.findSlot(periodMs, now)
    return index !== this.usedSlot && elapsedMs < slotMs
  }

  msUntilNextSlot (periodMs: number, now: number): number {
    return periodMs - this.findSlot(periodMs, now).elapsedMs
  }

  private findSlot (periodMs: number, now: number): { readonly index: number, readonly elapsedMs: number } {
    const periods = now / periodMs + this.phase
    const index = Math.floor(periods)
    return { index, elapsedMs: (periods - index) * periodMs }
  }
}

/** Permits that this instance holds, and its requests for further ones. */
export class ServicePermits implements lifecycle.IDisposable {
  private readonly states = new Map<string, EndpointState>()
  private readonly changedEmitter = new event.Emitter<void>()
  /** Fires when a response of the coordinator has arrived, and when this instance may use its own share. */
  readonly onChanged = this.changedEmitter.event
  private wanted = 0
  private preferred: readonly endpointTable.Endpoint[] = []
  private isRequesting = false
  private requestedAt = -Infinity
  private notBefore = -Infinity
  /** Time of the first request that had no response since the last one that had; undefined while the coordinator responds. */
  private silentSince: number | undefined
  /** Times at which the last two permits were taken. */
  private takenAt: readonly [number, number] = [-Infinity, -Infinity]
  private cancelRequest: (() => void) | undefined
  private cancelSlotTimer = (): void => {}

  /** @param liveEntries returns the number of live entry instances, including this one. */
  constructor (
    private readonly source: IPermitSource,
    private readonly liveEntries: () => number,
    private readonly random: balancingPolicy.IRandom,
    private readonly clock: clock.IClock
  ) {}

  dispose (): void {
    this.cancelRequest?.()
    this.cancelSlotTimer()
    this.changedEmitter.dispose()
  }

  /** Records a request that is sent without a permit, since its endpoint is not known to have a limit. */
  recordSend (endpoint: endpointTable.Endpoint): void {
    this.stateOf(endpoint).recordSend(this.clock.now())
  }

  /** Forgets an endpoint that has left. */
  forget (endpoint: endpointTable.Endpoint): void {
    this.states.delete(endpoint.endpoint)
  }

  /** Returns whether a request may be sent to a limited endpoint now. */
  canTake (endpoint: endpointTable.Endpoint): boolean {
    const now = this.clock.now()
    const state = this.stateOf(endpoint)
    return state.countPermits(now) > 0 || (this.isSilent(now) && state.isSlotOpen(this.slotPeriodMs(endpoint), now))
  }

  /** Takes a permit for a request that is sent now. Returns why it may be sent, for the decision log; undefined if it may not. */
  take (endpoint: endpointTable.Endpoint): string | undefined {
    const now = this.clock.now()
    const state = this.stateOf(endpoint)
    if (state.takePermit(now)) {
      this.takenAt = [this.takenAt[1], now]
      return `permit, ${this.describe(endpoint)}`
    }
    if (!this.isSilent(now) || !state.takeSlot(this.slotPeriodMs(endpoint), now)) return undefined
    state.recordSend(now)
    return `own share without coordination, ${this.describe(endpoint)}`
  }

  /** Requests a permit in advance if calls are so frequent that the next one can use it before it expires. */
  wantForNextCall (endpoints: readonly endpointTable.Endpoint[]): void {
    const [previous, last] = this.takenAt
    if (last - previous < permitLifetimeMs) this.want(endpoints, 1)
  }

  /** Requests permits for the given endpoints, preferred ones first; with `wanted` 0 only reports what was sent to them. */
  want (endpoints: readonly endpointTable.Endpoint[], wanted: number): void {
    const now = this.clock.now()
    this.wanted = Math.max(this.wanted, wanted)
    const listed = new Set(endpoints.map(({ endpoint }) => endpoint))
    this.preferred = [...endpoints, ...this.preferred.filter(({ endpoint }) => !listed.has(endpoint))]
    this.scheduleRequest(now)
    if (this.isSilent(now)) this.scheduleSlotTimer(endpoints, now)
  }

  /**
   * Estimates how long a call waits if only limited endpoints are left, in milliseconds.
   * @param position number of calls that are served before it.
   */
  estimateWaitMs (endpoints: readonly endpointTable.Endpoint[], position: number): number {
    const now = this.clock.now()
    const held = endpoints.reduce((sum, endpoint) => sum + this.stateOf(endpoint).countPermits(now), 0)
    if (position < held) return 0
    const perSecond = endpoints.reduce((sum, endpoint) => sum + this.expectedRate(endpoint, now), 0)
    return Math.max(this.notBefore - now, (position + 1 - held) * msPerSecond / perSecond)
  }

  /** Describes the limit of an endpoint and what is known of the other instances' use of it. */
  describe (endpoint: endpointTable.Endpoint): string {
    const { limit } = endpoint
    const { applicants } = this.stateOf(endpoint)
    const use = applicants === undefined ? 'use by others not known' : `${applicants} instances use it`
    return limit?.perSecond === undefined ? 'no limit' : `limit ${limit.perSecond}/s known for ${Math.round(this.clock.now() - limit.knownSince)} ms, ${use}`
  }

  /** Returns the requests per second that this instance can expect to send to a limited endpoint. */
  private expectedRate (endpoint: endpointTable.Endpoint, now: number): number {
    if (this.isSilent(now)) return msPerSecond / this.slotPeriodMs(endpoint)
    return rateOf(endpoint) / (this.stateOf(endpoint).applicants ?? 1)
  }

  private isSilent (now: number): boolean {
    return this.silentSince !== undefined && now - this.silentSince >= silenceMs
  }

  private slotPeriodMs (endpoint: endpointTable.Endpoint): number {
    return msPerSecond * Math.max(1, this.liveEntries()) / (uncoordinatedShare * rateOf(endpoint))
  }

  private stateOf ({ endpoint, incarnation }: endpointTable.Endpoint): EndpointState {
    let state = this.states.get(endpoint)
    if (state === undefined || state.incarnation < incarnation) {
      state = new EndpointState(incarnation, this.random.next())
      this.states.set(endpoint, state)
    }
    return state
  }

  private scheduleRequest (now: number): void {
    if (this.isRequesting || this.cancelRequest !== undefined) return
    const at = Math.max(now, this.requestedAt + minRequestIntervalMs, this.notBefore)
    this.cancelRequest = this.clock.after(at - now, () => this.sendRequest())
  }

  private sendRequest (): void {
    this.cancelRequest = undefined
    const now = this.clock.now()
    const { wanted } = this
    const endpoints = this.preferred.flatMap((endpoint) => this.toLimitedEndpoint(endpoint, now)).filter(({ endpoint, sentAgesMs }, i) => i < maxListedEndpoints || endpoint.coldPerSecond === undefined || sentAgesMs.length > 0)
    this.wanted = 0
    this.preferred = []
    if (endpoints.length === 0) return
    this.isRequesting = true
    this.requestedAt = now
    this.silentSince ??= now
    this.source.request({ wanted, endpoints }, (grants) => {
      this.isRequesting = false
      if (grants === undefined) this.notBefore = this.clock.now() + failureRetryMs
      else this.applyGrants(endpoints, grants, wanted, now)
      this.dropServedDemand()
      this.changedEmitter.fire()
    })
  }

  /** Forgets the permits that were wanted during a request, which may have served the same calls; calls that still wait want them again. */
  private dropServedDemand (): void {
    const now = this.clock.now()
    this.wanted = 0
    this.preferred = this.preferred.filter((endpoint) => this.stateOf(endpoint).unreportedAgesMs(now).length > 0)
    if (this.preferred.length > 0) this.scheduleRequest(now)
  }

  private toLimitedEndpoint (endpoint: endpointTable.Endpoint, now: number): readonly LimitedEndpoint[] {
    const { limit } = endpoint
    if (limit?.perSecond === undefined) return []
    return [{ endpoint, limit: { ...limit, perSecond: limit.perSecond }, sentAgesMs: this.stateOf(endpoint).unreportedAgesMs(now) }]
  }

  private applyGrants (endpoints: readonly LimitedEndpoint[], grants: readonly PermitGrant[], wanted: number, requestedAt: number): void {
    this.silentSince = undefined
    for (const [i, { endpoint }] of endpoints.entries()) {
      const { granted, applicants } = grants[i]!
      const state = this.stateOf(endpoint)
      state.applicants = applicants
      state.markReported(requestedAt)
      state.addPermits(granted, requestedAt + permitLifetimeMs)
    }
    const granted = grants.reduce((sum, grant) => sum + grant.granted, 0)
    if (granted < wanted) this.notBefore = this.clock.now() + this.retryDelayMs(endpoints, grants)
  }

  /** Returns the time until the next request after one that was not granted in full. */
  private retryDelayMs (endpoints: readonly LimitedEndpoint[], grants: readonly PermitGrant[]): number {
    const perSecond = endpoints.reduce((sum, { endpoint }) => sum + rateOf(endpoint), 0)
    const applicants = grants.reduce((most, grant) => Math.max(most, grant.applicants), 1)
    const earliestMs = grants.reduce((least, grant) => Math.min(least, grant.waitMs), Infinity)
    const shareMs = Math.min(maxRetryMs, applicants * msPerSecond / (perSecond * requestsPerPermit))
    return Math.max(earliestMs, shareMs * (1 + retryJitter * (2 * this.random.next() - 1)))
  }

  /** Fires `onChanged` when the next of this instance's slots opens. */
  private scheduleSlotTimer (endpoints: readonly endpointTable.Endpoint[], now: number): void {
    const delayMs = endpoints.reduce((least, endpoint) => Math.min(least, this.stateOf(endpoint).msUntilNextSlot(this.slotPeriodMs(endpoint), now)), Infinity)
    this.cancelSlotTimer()
    // Rounding may leave almost no time until a slot that has just begun.
    this.cancelSlotTimer = this.clock.after(Math.max(minRequestIntervalMs, delayMs), () => this.changedEmitter.fire())
  }
}

function rateOf ({ limit }: endpointTable.Endpoint): number {
  return endpointLimit.sendRate(limit?.perSecond ?? 0)
}
