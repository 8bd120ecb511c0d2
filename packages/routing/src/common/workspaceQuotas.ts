/**
 * Tokens of this instance for requests of workspaces with a quota. A coordinator that all instances ask grants them; without it, each
 * instance runs a small share of the quota. Far from a workspace's quota, the coordinator also allows a few requests that are only
 * reported afterwards.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as namedWorkspace from '@rosemaryrack/config/common/namedWorkspace.js'
import type * as balancingPolicy from './balancingPolicy.js'
import * as quotaState from './quotaState.js'

const msPerSecond = 1000
/** Longest time until requests that ran without a token are reported. */
const reportIntervalMs = 250
/** Minimum time between two requests to the coordinator, so that callers' requests that arrive together are batched. */
const minRequestIntervalMs = 5
/** Time after which a further request is sent while an earlier one has no response. */
const overtakeMs = 100
const maxPendingRequests = 10
const failureRetryMs = 200
/** Time without a response of the coordinator after which an instance uses its own share. */
const silenceMs = 1000
const shareCheckMs = 100
/** Longest announced time until a token for which a request is held; a longer one means that the workspace is over its quota. */
const maxHeldWaitMs = 200
/** Longest time for which a request is held while the coordinator responds. */
const maxHoldMs = 250
/** Longest time for which a request waits while the coordinator does not respond, as during an election, and shortly after. */
const maxSilentHoldMs = 3000
/** Largest part of the remaining time for which a request waits for a token. */
const maxHoldShare = 0.5
/** Random part that is added to the time after which a refused caller may return, as a share of it. */
const retrySpread = 1
const silentRetryAfterS = 0.5
/**
 * Load relative to the mean of the others above which a workspace gives way. At 1, chance decides between workspaces that use equal parts,
 * and those that usually use more of their quota than others lose too much (docs/design/fair-queue.md).
 */
const givingWayFactor = 1.5

/** What the instance reports of one workspace, and the tokens that it wants. */
export interface QuotaUse {
  readonly workspace: string
  /** Ages of the requests that ran without a token and are not reported yet, in milliseconds. */
  readonly sentAgesMs: readonly number[]
  readonly wanted: number
  /** Granted tokens that were not used. */
  readonly returned: number
}

/** Response for one workspace. */
export interface QuotaGrant {
  /** Tokens for the requests that wait; beyond those, requests that may run before they are reported. */
  readonly granted: number
  readonly limited: boolean
  /** Time until the workspace gets a further token, in milliseconds. */
  readonly waitMs: number
  /** Requests of the workspace over all instances, relative to its quota. */
  readonly load: number
}

/** Grants tokens for all entry instances. */
export interface IQuotaSource {
  /** Reports requests and asks for tokens. Calls `done` once, with one grant for each use in the same order, or with undefined if the coordinator did not respond. */
  request(uses: readonly QuotaUse[], done: (grants: readonly QuotaGrant[] | undefined) => void): void
}

/** Whether a request may run; if not, the fault with which it is refused. */
export type QuotaOutcome = { readonly admitted: true } | { readonly admitted: false, readonly fault: errors.Fault }

/** Takes tokens for requests, and exchanges reports for tokens with the coordinator. */
export class WorkspaceQuotas implements lifecycle.IDisposable {
  private readonly states = new Map<string, quotaState.QuotaState>()
  private readonly startedAt: number
  private pendingRequests = 0
  private requestedAt = -Infinity
  private notBefore = -Infinity
  /** Time of the first request that had no response since the last one that had; undefined while the coordinator responds. */
  private silentSince: number | undefined
  private failedAt = -Infinity
  /**
   * Number of live entry instances when the coordinator last responded, since an instance that is cut off soon knows few others. Undefined
   * before the first response: the instance uses no share then, as it may know no others yet.
   */
  private coordinatedEntries: number | undefined
  private scheduled: { readonly at: number, readonly cancel: () => void } | undefined
  private cancelShareTimer: (() => void) | undefined

  /** @param liveEntries returns the number of live entry instances, including this one. */
  constructor (
    private readonly source: IQuotaSource,
    private readonly liveEntries: () => number,
    private readonly random: balancingPolicy.IRandom,
    private readonly clock: clock.IClock
  ) {
    this.startedAt = clock.now()
  }

  dispose (): void {
    this.scheduled?.cancel()
    this.cancelShareTimer?.()
    for (const state of this.states.values()) state.cancelWaiters()
  }

  /** Takes a token for a request now or later, or refuses it; returns a function that cancels this. */
  take ({ name, workspace }: namedWorkspace.NamedWorkspace, deadlineAt: number, done: (outcome: QuotaOutcome) => void): () => void {
    const { ratePerSecond } = workspace
    const now = this.clock.now()
    if (ratePerSecond === undefined) {
      done({ admitted: true })
      return () => {}
    }
    const state = this.stateOf(name, ratePerSecond, workspace.burst ?? ratePerSecond)
    const outcome = this.takeNow(state, now)
    if (outcome !== undefined) {
      done(outcome)
      return () => {}
    }
    const holdMs = Math.max(0, Math.min(maxSilentHoldMs, (deadlineAt - now) * maxHoldShare))
    const waiter = { since: now, done, cancelTimer: this.clock.after(holdMs, () => this.expire(state, waiter)) }
    state.waiters.add(waiter)
    this.schedule(Math.max(now, state.askNotBefore))
    if (this.isSilent(now)) this.startShareTimer()
    return () => {
      waiter.cancelTimer()
      state.waiters.delete(waiter)
    }
  }

  /** Records a request that ran again at an endpoint, or ran without a token. */
  recordRun (name: string): void {
    const state = this.states.get(name)
    if (state === undefined) return
    state.recordRun(this.clock.now())
    this.scheduleReport()
  }

  /** Gives the token of a request back that certainly did not run. */
  giveBack (name: string): void {
    const state = this.states.get(name)
    if (state === undefined) return
    const now = this.clock.now()
    state.addTokens(1, now)
    if (state.waiters.size > 0 && state.takeToken(now)) this.admitFirst(state)
    this.scheduleReport()
  }

  /** Returns the requests of a workspace over all instances relative to its quota; undefined where that is not known. */
  loadOf (name: string): number | undefined {
    return this.states.get(name)?.loadAt(this.clock.now())
  }

  /**
   * Returns whether a workspace uses far more of its quota than the others that this instance knows do on average.
   * @param isComparable returns whether another workspace counts.
   */
  givesWay (name: string, isComparable: (other: string) => boolean = () => true): boolean {
    const load = this.loadOf(name)
    if (load === undefined) return false
    const others = [...this.states.keys()].flatMap((other) => other === name || !isComparable(other) ? [] : this.loadOf(other) ?? [])
    return others.length > 0 && load > givingWayFactor * others.reduce((sum, each) => sum + each, 0) / others.length
  }

  /** Forgets the workspaces that are no longer configured; their waiting requests run, since their quota is no longer known. */
  retain (isConfigured: (name: string) => boolean): void {
    for (const [name, state] of this.states) {
      if (isConfigured(name)) continue
      this.states.delete(name)
      for (const waiter of state.takeWaiters(Infinity)) waiter.done({ admitted: true })
    }
  }

  private stateOf (name: string, rate: number, burst: number): quotaState.QuotaState {
    let state = this.states.get(name)
    if (state === undefined) {
      state = new quotaState.QuotaState(name, this.startedAt, this.random.next())
      this.states.set(name, state)
    }
    state.setQuota(rate, burst)
    return state
  }

  /** Returns the outcome of a request that need not ask the coordinator. */
  private takeNow (state: quotaState.QuotaState, now: number): QuotaOutcome | undefined {
    if (state.takeToken(now)) return { admitted: true }
    if (state.takeExtra(now)) {
      this.scheduleReport()
      return { admitted: true }
    }
    if (this.takeShare(state, now)) {
      this.scheduleReport()
      return { admitted: true }
    }
    return now < state.refuseUntil ? this.refusal(state, now) : undefined
  }

  private isSilent (now: number): boolean {
    return this.silentSince !== undefined && now - this.silentSince >= silenceMs
  }

  private refusal ({ name, refuseUntil }: quotaState.QuotaState, now: number): QuotaOutcome {
    const waitMs = Math.max(minRequestIntervalMs, refuseUntil - now)
    const retryAfterS = waitMs * (1 + retrySpread * this.random.next()) / msPerSecond
    return { admitted: false, fault: { kind: 'over-quota', message: `workspace ${name} is over its quota`, retryAfterS } }
  }

  private expire (state: quotaState.QuotaState, waiter: quotaState.TokenWaiter): void {
    if (!state.waiters.delete(waiter)) return
    const now = this.clock.now()
    if (now < state.refuseUntil) return waiter.done(this.refusal(state, now))
    // Whether the workspace is over its quota is not known, so that the request may be sent again.
    const retryAfterS = silentRetryAfterS * (1 + retrySpread * this.random.next())
    waiter.done({ admitted: false, fault: { kind: 'not-run', message: `no token for workspace ${state.name} in time`, retryAfterS } })
  }

  // ---- Exchange with the coordinator ----

  private scheduleReport (): void {
    this.schedule(this.clock.now() + reportIntervalMs)
  }

  private schedule (wantedAt: number): void {
    const earliestAt = this.pendingRequests > 0 ? this.requestedAt + overtakeMs : this.requestedAt + minRequestIntervalMs
    const at = Math.max(wantedAt, earliestAt, this.notBefore)
    if (this.scheduled !== undefined && this.scheduled.at <= at) return
    this.scheduled?.cancel()
    this.scheduled = { at, cancel: this.clock.after(Math.max(0, at - this.clock.now()), () => this.send()) }
  }

  /** Sends what is to be reported of all workspaces, and asks for tokens for the requests that may ask now. */
  private send (): void {
    this.scheduled = undefined
    const now = this.clock.now()
    if (this.pendingRequests >= maxPendingRequests) return this.schedule(now + overtakeMs)
    const exchanges = [...this.states.values()].flatMap((state) => state.startExchange(now))
    if (exchanges.length === 0) return this.scheduleNext()
    this.pendingRequests++
    this.requestedAt = now
    this.silentSince ??= now
    this.source.request(exchanges.map(({ use }) => use), (grants) => {
      this.pendingRequests--
      if (grants === undefined) this.handleFailure(exchanges)
      else this.handleGrants(exchanges, grants, now)
    })
    // No response may come for long.
    if (exchanges.some(({ use }) => use.wanted > 0)) this.startShareTimer()
    this.scheduleNext()
  }

  private handleFailure (exchanges: readonly quotaState.Exchange[]): void {
    const now = this.clock.now()
    this.notBefore = now + failureRetryMs
    this.failedAt = now
    for (const { state, use, sentAt } of exchanges) state.restore(use, sentAt)
    this.serveFromShares()
    this.scheduleNext()
  }

  private handleGrants (exchanges: readonly quotaState.Exchange[], grants: readonly QuotaGrant[], sentAt: number): void {
    this.silentSince = undefined
    this.coordinatedEntries = this.liveEntries()
    exchanges.forEach(({ state, use }, i) => this.handleGrant(state, use, grants[i]!, sentAt))
    this.scheduleNext()
  }

  private handleGrant (state: quotaState.QuotaState, { wanted }: QuotaUse, grant: QuotaGrant, sentAt: number): void {
    const now = this.clock.now()
    state.applyGrant(wanted, grant, sentAt, now)
    while (state.waiters.size > 0 && state.takeToken(now)) this.admitFirst(state)
    while (state.waiters.size > 0 && state.takeExtra(now)) this.admitFirst(state)
    if (grant.granted >= wanted || !grant.limited) return
    state.askNotBefore = now + grant.waitMs
    // A new leader has few tokens at first.
    const isAfterFailure = now - this.failedAt < maxSilentHoldMs
    for (const waiter of [...state.waiters]) {
      const canHold = isAfterFailure || (grant.waitMs <= maxHeldWaitMs && now + grant.waitMs - waiter.since <= maxHoldMs)
      if (canHold) continue
      state.refuseUntil = now + grant.waitMs
      state.waiters.delete(waiter)
      waiter.cancelTimer()
      waiter.done(this.refusal(state, now))
    }
  }

  private admitFirst (state: quotaState.QuotaState): void {
    for (const waiter of state.takeWaiters(1)) waiter.done({ admitted: true })
  }

  private scheduleNext (): void {
    const now = this.clock.now()
    for (const state of this.states.values()) {
      if (state.waiters.size > state.asked) this.schedule(Math.max(now, state.askNotBefore))
      if (state.hasReport) this.scheduleReport()
    }
  }

  // ---- Shares without a coordinator ----

  /** Takes a request from this instance's share, if the coordinator has responded once and is silent now. */
  private takeShare (state: quotaState.QuotaState, now: number): boolean {
    if (this.coordinatedEntries === undefined || !this.isSilent(now)) return false
    return state.takeShare(Math.max(this.coordinatedEntries, this.liveEntries()), now)
  }

  private startShareTimer (): void {
    this.cancelShareTimer ??= this.clock.after(shareCheckMs, () => {
      this.cancelShareTimer = undefined
      this.serveFromShares()
      if ([...this.states.values()].some(({ waiters }) => waiters.size > 0)) this.startShareTimer()
    })
  }

  private serveFromShares (): void {
    const now = this.clock.now()
    if (!this.isSilent(now)) return
    for (const state of this.states.values()) {
      while (state.waiters.size > 0 && this.takeShare(state, now)) this.admitFirst(state)
    }
    this.scheduleNext()
  }
}
