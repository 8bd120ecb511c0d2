/** Budgets that are hard limits: what they don't grant is not done. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

const ratioBurst = 10
const minRateBurst = 1
const msPerSecond = 1000

/** Something that may be taken a limited number of times. */
export interface IBudget {
  /** Takes one, or returns false. */
  take(): boolean
}

/** Grants a share of the calls that were counted, with a small burst. */
export class RatioBudget implements IBudget {
  private tokens: number

  constructor (private ratio: number) {
    this.tokens = ratio > 0 ? ratioBurst : 0
  }

  setRatio (ratio: number): void {
    this.ratio = ratio
  }

  /** Counts a call. */
  deposit (): void {
    this.tokens = Math.min(ratioBurst, this.tokens + this.ratio)
  }

  take (): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}

/** Grants a number per second, with at most one second's worth, or one, saved up. */
export class RateBudget implements IBudget {
  private tokens = minRateBurst
  private filledAt: number

  /** @param perSecond read at each take, since the share of an instance changes with their number. */
  constructor (private readonly perSecond: () => number, private readonly clock: clock.IClock) {
    this.filledAt = clock.now()
  }

  take (): boolean {
    const now = this.clock.now()
    const rate = this.perSecond()
    if (rate <= 0) return false
    this.tokens = Math.min(Math.max(minRateBurst, rate), this.tokens + rate * (now - this.filledAt) / msPerSecond)
    this.filledAt = now
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
