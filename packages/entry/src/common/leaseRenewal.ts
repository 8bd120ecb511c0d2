/** Renews the lease on API keys about once per second, at one control replica after the other while they fail. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as timeline from '@rosemaryrack/base/common/timeline.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'
import type * as keyLease from './keyLease.js'

/** After a suspension the lease is renewed within this time. */
const tickMs = 50
/** Interval of the rounds of control replicas. */
const roundIntervalMs = 1000
/** Delay after the next round of the replica is due, and the range over which instances are spread. */
const roundDelayMs = 100
const spreadMs = 150
const minIntervalMs = 500
/** Age of a response from which another replica is asked: this one has missed a round. */
const maxRoundAgeMs = 1500
/** Delays until the next call while the lease is overdue. Replicas that respond without a quorum must not be loaded, those that are out of reach cannot be. */
const unreachableDelayMs = 150
const refusedDelayMs = 400
/** Delay until the next replica is asked after a failure while the lease is fresh. */
const failedDelayMs = 200
const silentDelayMs = 400
const maxOutstanding = 4
const subject = 'control replicas'

/** Asks control replicas for confirmations. */
export interface IConfirmSource {
  /**
   * Asks one replica for its last confirmation; rejects after a short timeout.
   * @param turn the number of failures so far, by which the replica is chosen.
   */
  requestConfirmation(turn: number): Promise<Pick<keyLease.Confirmation, 'version' | 'ageMs'>>
}

/** Dependencies of the renewal. */
export interface RenewalDeps {
  readonly lease: keyLease.KeyLease
  readonly source: IConfirmSource
  /** Returns whether the lease is needed at all. */
  readonly isNeeded: () => boolean
  readonly time: timeline.ITimeline
  readonly clock: clock.IClock
  readonly random: { next(): number }
  readonly decisions: decisionLog.IDecisionLog
}

/** What came of the last call: a delay until the next one if it has responded. */
type LastCall =
  | { readonly kind: 'confirmed', readonly nextInMs: number }
  | { readonly kind: 'outstanding' | 'refused' | 'unreachable' }

/** Renews the lease from `start` until it is disposed. */
export class LeaseRenewal implements lifecycle.IDisposable {
  private cancelTick = (): void => {}
  private startedAt: timeline.TimeMark | undefined
  private last: LastCall = { kind: 'unreachable' }
  private outstanding = 0
  private turn = 0
  private couldUseKeys: boolean
  private readonly failures: failureLog.FailureLog

  constructor (private readonly deps: RenewalDeps) {
    this.couldUseKeys = deps.lease.canUseKeys
    this.failures = new failureLog.FailureLog(deps.decisions, 'key-confirmation')
  }

  start (): void {
    this.tick()
  }

  dispose (): void {
    this.cancelTick()
  }

  private tick (): void {
    this.cancelTick = this.deps.clock.after(tickMs, () => this.tick())
    if (!this.deps.isNeeded()) return
    this.logChange()
    const now = this.deps.time.mark()
    const sinceMs = this.startedAt === undefined ? Infinity : timeline.elapsedMs(this.startedAt, now)
    if (sinceMs >= this.delayMs && this.outstanding < maxOutstanding) this.renew(now)
  }

  private get delayMs (): number {
    const { last, deps: { lease: { isOverdue } } } = this
    if (last.kind === 'confirmed') return last.nextInMs
    if (last.kind === 'outstanding') return isOverdue ? unreachableDelayMs : silentDelayMs
    if (last.kind === 'refused') return isOverdue ? refusedDelayMs : failedDelayMs
    return isOverdue ? unreachableDelayMs : failedDelayMs
  }

  private async renew (sentAt: timeline.TimeMark): Promise<void> {
    // The replica of a call that is still outstanding may be lost.
    if (this.last.kind === 'outstanding') this.turn++
    this.startedAt = sentAt
    this.last = { kind: 'outstanding' }
    this.outstanding++
    try {
      const { version, ageMs } = await this.deps.source.requestConfirmation(this.turn)
      this.deps.lease.record({ version, ageMs, sentAt })
      if (ageMs > maxRoundAgeMs) throw new errors.RackError({ kind: 'no-quorum', message: `the last confirmation by a quorum is ${ageMs} ms old` })
      this.failures.noteSuccess(subject)
      this.last = { kind: 'confirmed', nextInMs: this.nextInMs(ageMs) }
    } catch (err) {
      this.failures.noteFailure(subject, err)
      this.turn++
      this.last = { kind: hasResponded(err) ? 'refused' : 'unreachable' }
    } finally {
      this.outstanding--
    }
  }

  /** Returns the time until shortly after the next round of the replica, so that confirmations are about as old as a round lasts. */
  private nextInMs (ageMs: number): number {
    return Math.max(minIntervalMs, roundIntervalMs - ageMs + roundDelayMs + this.deps.random.next() * spreadMs)
  }

  private logChange (): void {
    const { lease, decisions } = this.deps
    const { canUseKeys } = lease
    if (canUseKeys === this.couldUseKeys) return
    this.couldUseKeys = canUseKeys
    const ageMs = lease.ageMs
    decisions.record({ event: 'key-lease', choice: canUseKeys ? 'held' : 'lost', ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, why: canUseKeys ? 'a quorum has confirmed that the configuration is the newest one' : 'no quorum has confirmed in time that the configuration is the newest one' })
  }
}

function hasResponded (err: unknown): boolean {
  const { kind } = errors.faultOf(err)
  return kind !== 'unreachable' && kind !== 'unknown'
}
