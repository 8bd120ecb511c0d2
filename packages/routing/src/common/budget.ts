/** Budgets that are hard limits: what they don't grant is not done. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

const ratioBurst = 10
const minRateBurst = 1
const msPerSecond = 1000
/** Slots in which a window is counted, each 5% of it; what a slot holds leaves the window together. */
const slotsPerWindow = 20
/** Part of the fleet's addition that is handed out: when instances die, the others take over what those may have spent. */
const grantedShareOfExtra = 0.6

/** Something that may be taken a limited number of times. */
export interface IBudget {
  /** Takes one, or returns false. */
  take(): boolean
}

/** Budgets of a lane on this instance. */
export interface LaneBudgets {
  readonly retries: IBudget
  readonly hedges: IBudget
  readonly measuring: IBudget
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
  private tokens: number | undefined
  private filledAt: number

  /**
   * @param perSecond read at each take, since the share of an instance changes with their number.
   * @param startsFull a second's worth may be taken at once after the start, when many calls may have waited for it.
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

/** What all instances together may send again of one service within any window. */
export interface RepeatLimits {
  /** Repeats for each call. */
  readonly ratio: number
  /** Repeats beyond that, over all instances. */
  readonly extra: number
  readonly windowMs: number
}

interface WindowSlot {
  readonly number: number
  calls: number
  repeats: number
}

/**
 * This instance's part of a budget that all instances share without talking: the ratio of its own calls, and an equal
 * part of the addition. It holds for a window at any moment, so what was saved up elsewhere can't be spent here. A restarted
 * instance doesn't know what it spent before, so for the first window it gets nothing of the addition.
 */
export class RepeatBudget implements IBudget {
  private slots: WindowSlot[] = []
  private readonly startedAt: number

  /** @param liveEntries read at each take. */
  constructor (private readonly limits: RepeatLimits, private readonly liveEntries: () => number, private readonly clock: clock.IClock) {
    this.startedAt = clock.now()
  }

  /** Counts a caller's request. */
  noteCall (): void {
    this.currentSlot().calls++
  }

  /** The same budget for repeats that may use only a share of it, so that the rest is left for others. */
  upTo (share: number): IBudget {
    return { take: () => this.takeWithin(share) }
  }

  take (): boolean {
    return this.takeWithin(1)
  }

  private takeWithin (share: number): boolean {
    const slot = this.currentSlot()
    const { ratio, extra, windowMs } = this.limits
    const knowsWindow = this.clock.now() - this.startedAt >= windowMs
    const ownExtra = knowsWindow ? extra * grantedShareOfExtra / Math.max(1, this.liveEntries()) : 0
    // The oldest slot may have left the window in part: its repeats count, its calls don't.
    const [oldest] = this.slots
    const whole = oldest === undefined || oldest.number > slot.number - slotsPerWindow ? 0 : oldest.calls
    const calls = this.slots.reduce((sum, each) => sum + each.calls, 0) - whole
    const repeats = this.slots.reduce((sum, each) => sum + each.repeats, 0)
    if (repeats + 1 > (ratio * calls + ownExtra) * share) return false
    slot.repeats++
    return true
  }

  private currentSlot (): WindowSlot {
    const number = Math.floor(this.clock.now() * slotsPerWindow / this.limits.windowMs)
    this.slots = this.slots.filter((slot) => slot.number >= number - slotsPerWindow)
    let slot = this.slots.at(-1)
    if (slot?.number !== number) {
      slot = { number, calls: 0, repeats: 0 }
      this.slots.push(slot)
    }
    return slot
  }
}
