/** Releases claims in the replicated log; releases that fail are tried again. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'
import type * as claimId from '../common/claimId.js'

const minRetryMs = 250
const maxRetryMs = 4000
/** Limits the memory for releases that wait while the control group does not respond. */
const maxWaiting = 20_000
/** Releases that are under way at a time; further ones wait, and are then made one after the other. */
const maxCalls = 32
const subject = 'control group'

/** Source of claims: the control group. */
export interface IClaimSource {
  /** Resolves with true for the first owner of the key. Throws when it is not known whether the key is claimed. */
  claim(keyHash: string, owner: string): Promise<boolean>
  /** Has no effect unless the owner holds the claim. */
  release(keyHash: string, owner: string): Promise<void>
}

/** Releases claims until it is disposed. */
export class ClaimReleases implements lifecycle.IDisposable {
  /** Releases that have failed, or were added after such ones, oldest first. */
  private readonly waiting: claimId.ClaimId[] = []
  private readonly failures: failureLog.FailureLog
  private cancelRetry: (() => void) | undefined
  private retryMs = minRetryMs
  private isRetrying = false
  private calls = 0
  private isDisposed = false

  constructor (private readonly source: IClaimSource, private readonly clock: clock.IClock, private readonly decisions: decisionLog.IDecisionLog) {
    this.failures = new failureLog.FailureLog(decisions, 'claim-release')
  }

  dispose (): void {
    this.isDisposed = true
    this.cancelRetry?.()
  }

  /** Releases a claim now, or after the earlier ones while releases fail. */
  add (id: claimId.ClaimId): void {
    if (this.waiting.length === 0 && this.calls < maxCalls) this.releaseNow(id)
    else this.postpone(id)
  }

  private async releaseNow (id: claimId.ClaimId): Promise<void> {
    if (!await this.tryRelease(id)) {
      this.postpone(id)
      this.scheduleRetry()
    } else if (this.waiting.length > 0 && !this.isRetrying && this.cancelRetry === undefined && !this.isDisposed) {
      this.retry()
    }
  }

  private postpone (id: claimId.ClaimId): void {
    this.waiting.push(id)
    if (this.waiting.length <= maxWaiting) return
    this.waiting.shift()
    this.decisions.record({ event: 'claim-release', choice: 'dropped', why: `more than ${maxWaiting} releases wait; the key of the oldest one stays claimed` })
  }

  private async tryRelease ({ keyHash, owner }: claimId.ClaimId): Promise<boolean> {
    this.calls++
    try {
      await this.source.release(keyHash, owner)
      this.failures.noteSuccess(subject)
      return true
    } catch (err) {
      this.failures.noteFailure(subject, err)
      return false
    } finally {
      this.calls--
    }
  }

  private scheduleRetry (): void {
    if (this.isDisposed || this.isRetrying || this.cancelRetry !== undefined) return
    this.cancelRetry = this.clock.after(this.retryMs, () => {
      this.cancelRetry = undefined
      this.retryMs = Math.min(maxRetryMs, this.retryMs * 2)
      this.retry()
    })
  }

  /** Tries the waiting releases one after the other, until one fails. */
  private async retry (): Promise<void> {
    this.isRetrying = true
    let next = this.waiting[0]
    while (next !== undefined && !this.isDisposed && await this.tryRelease(next)) {
      if (this.waiting[0] === next) this.waiting.shift()
      next = this.waiting[0]
    }
    this.isRetrying = false
    if (this.waiting.length > 0) this.scheduleRetry()
    else this.retryMs = minRetryMs
  }
}
