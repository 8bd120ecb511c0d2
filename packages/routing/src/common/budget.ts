/** Budgets for retries, hedges and probes. They are hard limits: what is not granted is not sent. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

/** Maximum number of tokens that a ratio budget accumulates. */
const ratioBurst = 10
/** Minimum capacity of a rate budget, so that rates below one a second grant tokens too. */
const minRateBurst = 1
const msPerSecond = 1000
/** Number of buckets into which a sliding window is divided, each 5% of it; counts expire one bucket at a time. */
const bucketsPerWindow = 20
/**
 * Share of `extra` that is divided among the instances. The rest is a reserve: after an instance crashes, the remaining ones get
 * larger parts, although the crashed one may have spent its own.
 */
const grantedShareOfExtra = 0.6

/** Grants a limited number of tokens. */
export interface IBudget {
  /** Takes a token, or returns false if none is left. */
  take(): boolean
}

/** Holds the budgets of a lane on this instance. */
export interface LaneBudgets {
  readonly retries: IBudget
  readonly hedges: IBudget
  /** Budget for extra connection checks of targets. */
  readonly healthChecks: IBudget
}

/** Token bucket that grants a share of the counted calls, with a small burst. */
export class RatioBudget implements IBudget {
  private tokens: number

  constructor (private ratio: number) {
    this.tokens = ratio > 0 ? ratioBurst : 0
  }

  setRatio (ratio: number): void {
    this.ratio = ratio
  }

  /** Counts a call, which adds `ratio` tokens. */
  deposit (): void {
    this.tokens = Math.min(ratioBurst, this.tokens + this.ratio)
  }

  take (): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}

/** Token bucket that grants a number of tokens per second; its capacity is that of one second, at least one token. */
export class RateBudget implements IBudget {
  private tokens: number | undefined
  private filledAt: number

  /**
   * @param perSecond returns the rate; called at each take, since an instance's share changes with the number of instances.
   * @param startsFull whether the bucket is full at the start, when many calls may be waiting.
   */
  constructor (private readonly perSecond: () => number, private readonly clock: clock.IClock, private readonly startsFull = false) {
    this.filledAt = clock.now()
  }

  take (): boolean {
    const now = this.clock.now()
    const rate = this.perSecond()
    if (rate <= 0) return false
    this.tokens ??= this.startsFull ? Math.max(minRateBurst, rate) : minRateBurst
    this.tokens = Math.min(Math.max(minRateBurst, rate), this.tokens + rate * (now - this.filledAt) / msPerSecond)
    this.filledAt = now
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}

/** Limits of the repeats (retries and hedges) that all instances together send to one service within any sliding window. */
export interface RepeatLimits {
  /** Allowed repeats per call. */
  readonly ratio: number
  /** Additional repeats allowed for all instances together. */
  readonly extra: number
  readonly windowMs: number
}

interface WindowBucket {
  readonly index: number
  calls: number
  repeats: number
}

/**
 * Grants this instance's part of a budget that all instances share without coordination: the ratio of its own calls, and an
 * equal part of `extra`. An instance cannot use the unspent parts of others, since they may still spend them within the same
 * window. A restarted instance has lost the count of what it spent, so it gets no part of `extra` during the first window.
 */
export class RepeatBudget implements IBudget {
  private buckets: WindowBucket[] = []
  private readonly startedAt: number

  /** @param liveEntries returns the number of live entry instances; called at each take. */
  constructor (private readonly limits: RepeatLimits, private readonly liveEntries: () => number, private readonly clock: clock.IClock) {
    this.startedAt = clock.now()
  }

  /** Counts a request of a caller. */
  recordCall (): void {
    this.currentBucket().calls++
  }

  /** Returns a view of this budget that grants repeats only up to a share of it, so that the rest is left for other kinds of repeats. */
  limitToShare (share: number): IBudget {
    return { take: () => this.takeWithin(share) }
  }

  take (): boolean {
    return this.takeWithin(1)
  }

  private takeWithin (share: number): boolean {
    const bucket = this.currentBucket()
    const { ratio, extra, windowMs } = this.limits
    const hasFullWindow = this.clock.now() - this.startedAt >= windowMs
    const ownExtra = hasFullWindow ? extra * grantedShareOfExtra / Math.max(1, this.liveEntries()) : 0
    // The oldest bucket may be partly outside the window: its repeats count, its calls do not.
    const [oldest] = this.buckets
    const excludedCalls = oldest === undefined || oldest.index > bucket.index - bucketsPerWindow ? 0 : oldest.calls
    const calls = this.buckets.reduce((sum, each) => sum + each.calls, 0) - excludedCalls
    const repeats = this.buckets.reduce((sum, each) => sum + each.repeats, 0)
    if (repeats + 1 > (ratio * calls + ownExtra) * share) return false
    bucket.repeats++
    return true
  }

  private currentBucket (): WindowBucket {
    const index = Math.floor(this.clock.now() * bucketsPerWindow / this.limits.windowMs)
    this.buckets = this.buckets.filter((bucket) => bucket.index >= index - bucketsPerWindow)
    let bucket = this.buckets.at(-1)
    if (bucket?.index !== index) {
      bucket = { index, calls: 0, repeats: 0 }
      this.buckets.push(bucket)
    }
    return bucket
  }
}
