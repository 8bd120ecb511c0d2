/**
 * Limits on hedges that operators set as shares of the requests and of the slot time of an instance, and the delay before a hedge.
 * Each instance limits hedges by its own requests only, so the shares hold for the sum over all instances without messages.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as recentLatencies from './recentLatencies.js'
import type * as slotAssignment from './slotAssignment.js'

/** Number of buckets of the sliding window; counts expire one bucket at a time. */
const bucketsPerWindow = 20
/** Shortest reservation of slot time, so that the timer that extends it does not run continuously. */
const minReservationMs = 5

/** Limits of the hedges of an instance. */
export interface HedgingOptions {
  /** Hedges as a share of the requests. */
  readonly requestShare: number
  /** Time of second slots as a share of the slot time of all attempts. */
  readonly slotShare: number
  /** A hedge is sent when an attempt is slower than this percentile of the lane's recent responses. */
  readonly percentile: number
  readonly windowMs: number
  /** Returns whether a workspace may cause extra work; without it each may. */
  readonly isAllowed?: (workspace: string) => boolean
}

/** Why a hedge was not sent. */
export type DenialReason = 'attempts' | 'body' | 'suspect' | 'too-late' | 'workspace' | 'waiting-calls' | 'no-free-slot' | 'request-share' | 'slot-share' | 'repeat-budget' | 'probes'

/**
 * `won`: its response was delivered. `lost`: another attempt's was, or the call ended without a response. `failed`: it had no usable
 * response. `stopped`: no slot time was left for it.
 */
export type HedgeOutcome = 'won' | 'lost' | 'failed' | 'stopped'

interface WindowBucket {
  readonly index: number
  requests: number
  hedges: number
  slotMs: number
  hedgeMs: number
}

/** State of the limits, for metrics. */
export interface HedgingState {
  readonly sent: number
  readonly outcomes: ReadonlyMap<HedgeOutcome, number>
  readonly denials: ReadonlyMap<DenialReason, number>
  /** Hedges in the window as a share of its requests. */
  readonly requestShare: number
  /** Time of second slots in the window as a share of its slot time. */
  readonly slotShare: number
}

/** Slot time reserved for one hedge. */
export interface ISecondSlot {
  /** Begins the time in which the call holds a second slot. */
  begin(): void
  /** Reserves more time; returns false if the limit does not allow it. */
  extend(): boolean
  /** Ends the second slot, whether it has begun or not; further calls do nothing. */
  end(): void
  readonly reservationMs: number
}

/** Counts requests, hedges and slot time of one instance. */
export class Hedging {
  private readonly outcomes = new Map<HedgeOutcome, number>()
  private readonly denials = new Map<DenialReason, number>()
  private buckets: WindowBucket[] = []
  private slotsInUse = 0
  private secondSlots = 0
  private accountedUntil: number
  /** Reserved time that second slots have not used yet. */
  private readonly reservations = new Set<SecondSlot>()
  private sent = 0

  constructor (readonly options: HedgingOptions, private readonly clock: clock.IClock) {
    this.accountedUntil = clock.now()
  }

  /** Counts a request of a caller. */
  recordRequest (): void {
    this.update().requests++
  }

  /** Counts the slot of an attempt until the returned placement is released. */
  trackSlot (placement: slotAssignment.Placement): slotAssignment.Placement {
    this.update()
    this.slotsInUse++
    let isReleased = false
    const release = (): void => {
      if (!isReleased) {
        isReleased = true
        this.update()
        this.slotsInUse--
      }
      placement.release()
    }
    return { ...placement, release }
  }

  /** Returns the limit that does not allow another hedge. */
  findDenial (expectedMs: number): 'request-share' | 'slot-share' | undefined {
    this.update()
    const { requests, hedges } = this.sum()
    if (hedges + 1 > this.options.requestShare * requests) return 'request-share'
    return this.hasSlotTime(toReservationMs(expectedMs)) ? undefined : 'slot-share'
  }

  /** Counts a hedge that `findDenial` allows, and reserves its slot time. */
  grant (expectedMs: number): ISecondSlot {
    this.update().hedges++
    const slot = new SecondSlot(toReservationMs(expectedMs), this.slotTimes)
    this.reservations.add(slot)
    return slot
  }

  recordSent (): void {
    this.sent++
  }

  recordOutcome (outcome: HedgeOutcome): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1)
  }

  recordDenial (reason: DenialReason): void {
    this.denials.set(reason, (this.denials.get(reason) ?? 0) + 1)
  }

  get state (): HedgingState {
    this.update()
    const { requests, hedges, slotMs, hedgeMs } = this.sum()
    return { sent: this.sent, outcomes: this.outcomes, denials: this.denials, requestShare: share(hedges, requests), slotShare: share(hedgeMs, slotMs) }
  }

  private readonly slotTimes: SlotTimes = {
    begin: () => {
      this.update()
      this.secondSlots++
      return this.clock.now()
    },
    now: () => this.clock.now(),
    canExtend: (ms) => {
      this.update()
      return this.hasSlotTime(ms)
    },
    end: (slot, hasBegun) => {
      this.update()
      if (hasBegun) this.secondSlots--
      this.reservations.delete(slot)
    }
  }

  private hasSlotTime (ms: number): boolean {
    const { slotMs, hedgeMs } = this.sum()
    const reservedMs = [...this.reservations].reduce((total, slot) => total + slot.unusedMs, 0)
    return hedgeMs + reservedMs + ms <= this.options.slotShare * slotMs
  }

  /** Sums up the window. The oldest bucket may be partly outside: what hedges used in it counts, what allows hedges does not. */
  private sum (): Omit<WindowBucket, 'index'> {
    const oldestIndex = this.indexAt(this.clock.now()) - bucketsPerWindow
    const total = { requests: 0, hedges: 0, slotMs: 0, hedgeMs: 0 }
    for (const { index, requests, hedges, slotMs, hedgeMs } of this.buckets) {
      total.hedges += hedges
      total.hedgeMs += hedgeMs
      if (index === oldestIndex) continue
      total.requests += requests
      total.slotMs += slotMs
    }
    return total
  }

  /** Accounts for the slot time until now and returns the current bucket. */
  private update (): WindowBucket {
    const now = this.clock.now()
    const current = this.indexAt(now)
    const windowStart = (current - bucketsPerWindow) * this.bucketMs
    let from = Math.max(this.accountedUntil, windowStart)
    while (from < now) {
      const index = this.indexAt(from)
      // Rounding can make the end of a bucket equal to `from`.
      const until = index >= current ? now : Math.min(now, Math.max((index + 1) * this.bucketMs, from + 1))
      const bucket = this.bucketAt(index)
      bucket.slotMs += this.slotsInUse * (until - from)
      bucket.hedgeMs += this.secondSlots * (until - from)
      from = until
    }
    this.accountedUntil = now
    this.buckets = this.buckets.filter(({ index }) => index >= current - bucketsPerWindow)
    return this.bucketAt(current)
  }

  private bucketAt (index: number): WindowBucket {
    const last = this.buckets.at(-1)
    if (last !== undefined && last.index >= index) return last
    const bucket = { index, requests: 0, hedges: 0, slotMs: 0, hedgeMs: 0 }
    this.buckets.push(bucket)
    return bucket
  }

  private get bucketMs (): number {
    return this.options.windowMs / bucketsPerWindow
  }

  private indexAt (time: number): number {
    return Math.floor(time / this.bucketMs)
  }
}

/** What a second slot uses of the instance's counts. */
interface SlotTimes {
  begin(): number
  now(): number
  canExtend(ms: number): boolean
  end(slot: SecondSlot, hasBegun: boolean): void
}

class SecondSlot implements ISecondSlot {
  private reservedMs: number
  private begunAt: number | undefined
  private hasEnded = false

  constructor (readonly reservationMs: number, private readonly times: SlotTimes) {
    this.reservedMs = reservationMs
  }

  get unusedMs (): number {
    return this.begunAt === undefined ? this.reservedMs : Math.max(0, this.reservedMs - (this.times.now() - this.begunAt))
  }

  begin (): void {
    if (this.hasEnded || this.begunAt !== undefined) return
    this.begunAt = this.times.begin()
  }

  extend (): boolean {
    if (this.hasEnded || !this.times.canExtend(this.reservationMs)) return false
    this.reservedMs += this.reservationMs
    return true
  }

  end (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.times.end(this, this.begunAt !== undefined)
  }
}

/** Delay and limits of the hedges of one lane. */
export class LaneHedging {
  private readonly recent = new recentLatencies.RecentLatencies()

  constructor (readonly limits: Hedging) {}

  /** Records the latency of a first attempt in milliseconds, or how long it ran until it was cancelled. */
  recordFirstAttempt (ms: number): void {
    this.recent.record(ms)
  }

  /**
   * Returns the delay before a hedge in milliseconds.
   * @param usualMs the delay without these settings, which is used until enough responses are known.
   */
  delayMs (configuredMs: number, usualMs: number): number {
    return configuredMs > 0 ? configuredMs : this.recent.percentileMs(this.limits.options.percentile) ?? usualMs
  }
}

function toReservationMs (expectedMs: number): number {
  return Math.max(minReservationMs, expectedMs)
}

function share (part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole
}
