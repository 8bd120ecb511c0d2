/** Holds requests until an instance that just started has a confirmed configuration, for a limited time. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'

/**
 * Time from the start in which requests are held. Control replicas that start together with this instance elect a leader
 * within a second. After that the configuration may take long, and callers are better served by another instance.
 */
const startupHoldMs = 2000
/** Share of a caller's deadline for which its request is held; the rest is for processing the request, or for a retry. */
const holdShareOfDeadline = 0.4
/** Longest hold of a request without a deadline from its caller. */
const defaultHoldMs = 400
const notReadyRetryAfterS = 1

/** Reports when a quorum confirmed the configuration. */
export interface IConfirmation {
  /** Milliseconds since the last confirmation; infinite before the first one. */
  readonly confirmedAgeMs: number
  /** Resolves with true at the first confirmation, or with false after `timeoutMs` without one. */
  waitForConfirmation(timeoutMs: number): Promise<boolean>
}

/**
 * Startup phase of an instance, which is over once a quorum has confirmed the configuration. Requests are held in it only
 * until `holdEndsAt`, a fixed time after the start; without a confirmation the phase itself lasts longer.
 */
export class Startup {
  /** Time on the clock until which requests are held, whether or not the startup phase is over by then. */
  readonly holdEndsAt: number

  constructor (private readonly configs: IConfirmation, private readonly clock: clock.IClock) {
    this.holdEndsAt = clock.now() + startupHoldMs
  }

  /** True once the configuration was confirmed. */
  get isOver (): boolean {
    return Number.isFinite(this.configs.confirmedAgeMs)
  }

  /**
   * Resolves with true once the configuration is confirmed, with false when that takes too long.
   * @param callerDeadlineMs the caller's deadline, where it sent one.
   */
  async waitForConfig (callerDeadlineMs: number | undefined): Promise<boolean> {
    const holdLeftMs = this.holdEndsAt - this.clock.now()
    const holdMs = callerDeadlineMs === undefined ? defaultHoldMs : callerDeadlineMs * holdShareOfDeadline
    return await this.configs.waitForConfirmation(Math.max(0, Math.min(holdMs, holdLeftMs)))
  }
}

/** Returns the error of a request that cannot be routed without a confirmed configuration. */
export function noConfigError (message: string): errors.RackError {
  return new errors.RackError({ kind: 'not-run', message, retryAfterS: notReadyRetryAfterS })
}
