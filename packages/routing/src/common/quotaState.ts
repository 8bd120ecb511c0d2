/** What an instance knows of one workspace with a quota. */
import type * as workspaceQuotas from './workspaceQuotas.js'

const msPerSecond = 1000
/** Window of the quota rule; requests before it need not be reported. */
const windowMs = 5000
const maxUnreported = 10_000
/** Time for which requests may run before they are reported, from the request that allowed it. */
const extraLifetimeMs = 500
/** Time for which unused tokens are kept for the next requests before they are returned. */
const tokenLifetimeMs = 250
/** Time for which the load of a workspace counts as known. */
const loadLifetimeMs = 10_000
/**
 * Part of the quota that the instances use together while they have no coordinator. The rest is for those that still reach it: a third of
 * the instances may be cut off within the tolerance of the quota rule.
 */
const uncoordinatedShare = 0.3
/**
 * Requests of unused shares that all instances together may still run: 0.4 of the tolerance of the quota rule, which is 0.1 of the quota
 * of a window, and 20. Older shares are lost, so that shares do not accumulate.
 */
const keptShare = 0.04
const keptRequests = 8

/** A request that waits for a token. */
export interface TokenWaiter {
  readonly since: number
  readonly done: (outcome: workspaceQuotas.QuotaOutcome) => void
  readonly cancelTimer: () => void
}

/** What was sent to the coordinator for one workspace. */
export interface Exchange {
  readonly state: QuotaState
  readonly use: workspaceQuotas.QuotaUse
  readonly sentAt: number
}

/** Tokens, reports and waiting requests of one workspace. */
export class QuotaState {
  readonly waiters = new Set<TokenWaiter>()
  /** Tokens asked for in requests that have no response yet. */
  asked = 0
  /** Time before which no token is asked for. */
  askNotBefore = -Infinity
  /** Time until which requests are refused without asking. */
  refuseUntil = -Infinity
  private rate = 0
  private burst = 0
  private tokens = 0
  private tokensUntil = -Infinity
  private extra = 0
  private extraUntil = -Infinity
  private unreported: number[] = []
  private load: { readonly value: number, readonly at: number } | undefined
  /** Number of the last share that was used, of the shares since the start of the clock. */
  private share: { readonly perMs: number, used: number } | undefined

  /**
   * @param startedAt start of this instance, which may have used its earlier shares before it.
   * @param phase random number in [0, 1), so that the instances get their shares one after the other.
   */
  constructor (readonly name: string, private readonly startedAt: number, private readonly phase: number) {}

  setQuota (rate: number, burst: number): void {
    this.rate = rate
    this.burst = burst
  }

  get hasReport (): boolean {
    return this.unreported.length > 0 || this.tokens > 0
  }

  loadAt (now: number): number | undefined {
    return this.load !== undefined && now - this.load.at < loadLifetimeMs ? this.load.value : undefined
  }

  recordRun (now: number): void {
    if (this.unreported.length < maxUnreported) this.unreported.push(now)
  }

  addTokens (count: number, now: number): void {
    this.tokens += count
    this.tokensUntil = now + tokenLifetimeMs
  }

  takeToken (now: number): boolean {
    if (this.tokens === 0 || now >= this.tokensUntil) return false
    this.tokens--
    return true
  }

  /** Takes one of the requests that may run before they are reported. */
  takeExtra (now: number): boolean {
    if (this.extra === 0 || now >= this.extraUntil) return false
    this.extra--
    this.recordRun(now)
    return true
  }

  /** Takes a request from this instance's share of the quota, which is used while there is no coordinator. */
  takeShare (liveEntries: number, now: number): boolean {
    const perMs = uncoordinatedShare * this.rate / msPerSecond / Math.max(1, liveEntries)
    const kept = ((this.rate * windowMs / msPerSecond + this.burst) * keptShare + keptRequests) / Math.max(1, liveEntries)
    const at = Math.max(this.startedAt, now - kept / perMs)
    if (this.share?.perMs !== perMs) this.share = { perMs, used: Math.floor((this.share === undefined ? at : now) * perMs + this.phase) }
    const { share } = this
    share.used = Math.max(share.used, Math.floor(at * perMs + this.phase))
    if (Math.floor(now * perMs + this.phase) <= share.used) return false
    share.used++
    this.recordRun(now)
    return true
  }

  /** Returns what is to be sent for the workspace; nothing if there is nothing to report or ask for. */
  startExchange (now: number): readonly Exchange[] {
    const wanted = now < this.askNotBefore ? 0 : Math.max(0, this.waiters.size - this.asked)
    // Tokens that may still be used stay here.
    const returned = now >= this.tokensUntil ? this.tokens : 0
    if (wanted === 0 && returned === 0 && this.unreported.length === 0) return []
    const sentAgesMs = this.unreported.filter((at) => now - at < windowMs).map((at) => Math.round(now - at))
    this.unreported = []
    this.tokens -= returned
    this.asked += wanted
    return [{ state: this, use: { workspace: this.name, sentAgesMs, wanted, returned }, sentAt: now }]
  }

  /** Takes back what was not received. Tokens that were to be returned are lost, since they may have been received. */
  restore ({ sentAgesMs, wanted }: workspaceQuotas.QuotaUse, sentAt: number): void {
    this.asked -= wanted
    this.unreported = [...sentAgesMs.map((age) => sentAt - age), ...this.unreported].slice(-maxUnreported)
  }

  applyGrant (wanted: number, { granted, limited, load }: workspaceQuotas.QuotaGrant, sentAt: number, now: number): void {
    this.asked -= wanted
    this.load = { value: load, at: now }
    this.extra = limited ? 0 : granted - wanted
    this.extraUntil = sentAt + extraLifetimeMs
    if (!limited) this.refuseUntil = -Infinity
    const tokens = Math.min(granted, wanted)
    if (tokens > 0) this.addTokens(tokens, now)
  }

  /** Removes the requests that have waited longest, and cancels their timers. */
  takeWaiters (count: number): readonly TokenWaiter[] {
    const taken = [...this.waiters].slice(0, count)
    for (const waiter of taken) {
      this.waiters.delete(waiter)
      waiter.cancelTimer()
    }
    return taken
  }

  cancelWaiters (): void {
    for (const { cancelTimer } of this.waiters) cancelTimer()
    this.waiters.clear()
  }
}
