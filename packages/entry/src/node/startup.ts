/** How long requests wait for the first configuration of an instance that just started. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

/**
 * Time from the start in which requests wait: the control replicas find a leader within a second when they started together
 * with this instance. Later the configuration may be long in coming, and callers do better elsewhere.
 */
const holdingMs = 2000
/** Share of a caller's time that it waits; the rest is for its request, or for coming back. */
const heldShare = 0.4
/** Longest wait of a caller that doesn't tell its time. */
const defaultHeldMs = 400

/** Tells when a quorum confirmed the configuration. */
export interface IConfirmation {
  /** Milliseconds since it was last confirmed; infinite before the first time. */
  readonly confirmedAgeMs: number
  /** Resolves when it is confirmed for the first time, or after a time; true if it was. */
  confirmedWithin(ms: number): Promise<boolean>
}

/** Lets requests pass once a quorum has confirmed the configuration. */
export class Startup {
  /** End of the time in which requests wait, on the clock. */
  readonly until: number

  constructor (private readonly configs: IConfirmation, private readonly clock: clock.IClock) {
    this.until = clock.now() + holdingMs
  }

  /** True once the configuration was confirmed. */
  get isOver (): boolean {
    return Number.isFinite(this.configs.confirmedAgeMs)
  }

  /**
   * Resolves with true once the configuration is confirmed, with false when that takes too long.
   * @param callerMs how long the caller waits for its answer, where it tells.
   */
  async waitForConfig (callerMs: number | undefined): Promise<boolean> {
    const ownLeftMs = this.until - this.clock.now()
    const heldMs = callerMs === undefined ? defaultHeldMs : callerMs * heldShare
    return await this.configs.confirmedWithin(Math.max(0, Math.min(heldMs, ownLeftMs)))
  }
}
