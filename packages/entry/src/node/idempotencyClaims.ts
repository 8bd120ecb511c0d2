/** Claims idempotency keys in the replicated log, so that a request resent through another instance is not run again. */
import * as crypto from 'node:crypto'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as claimId from '../common/claimId.js'
import * as claimReleases from './claimReleases.js'

const claimRetryAfterS = 1
const tooManyClaims = { kind: 'not-run', message: 'too many idempotency keys are being claimed', retryAfterS: claimRetryAfterS } as const
/** Time after which a call that has failed no longer makes a claim: longer than the calls between the replicas take. */
const lateClaimMs = 10_000
const maxKeyLength = 256

/** A claim of a request that this instance runs. */
export interface Claim {
  readonly id: claimId.ClaimId
  /** Releases the claim; only for a request that was certainly not run. */
  release(): void
}

/** Claims the keys of requests on non-idempotent lanes. */
export class IdempotencyClaims implements lifecycle.IDisposable {
  private readonly releases: claimReleases.ClaimReleases
  private readonly cancelLateReleases = new Set<() => void>()
  private calls = 0

  /**
   * @param source the connection to the control group.
   * @param maxCalls limit on the calls that are under way at a time: one that the control group does not answer outlasts its request.
   * @param onLimit called for each request that is refused because of the limit.
   */
  constructor (private readonly source: claimReleases.IClaimSource, private readonly clock: clock.IClock, decisions: decisionLog.IDecisionLog, private readonly maxCalls = Infinity, private readonly onLimit: () => void = () => {}) {
    this.releases = new claimReleases.ClaimReleases(source, clock, decisions)
  }

  dispose (): void {
    for (const cancel of this.cancelLateReleases) cancel()
    this.releases.dispose()
  }

  /** Claims a key. Throws `duplicate` when it is taken, `not-run` when it cannot be claimed with certainty by the deadline. */
  async claim (lane: string, key: string, deadlineAt: number): Promise<Claim> {
    if (key.length > maxKeyLength) throw new errors.RackError({ kind: 'bad-request', message: `the idempotency key exceeds ${maxKeyLength} characters` })
    if (this.calls >= this.maxCalls) {
      this.onLimit()
      throw new errors.RackError(tooManyClaims)
    }
    const id = { keyHash: crypto.createHash('sha256').update(`${lane}\n${key}`).digest('base64url'), owner: crypto.randomUUID() }
    const call = this.call(id)
    let granted: boolean
    try {
      granted = await async.withTimeout(call, deadlineAt - performance.now(), newClaimTimeoutError)
    } catch (err) {
      this.releases.add(id)
      this.releaseAfter(call, id)
      throw new errors.RackError({ kind: 'not-run', message: errors.messageOf(err), retryAfterS: claimRetryAfterS })
    }
    if (granted) return this.adopt(id)
    throw new errors.RackError({ kind: 'duplicate', message: 'a request with this idempotency key was accepted before; it is not run again' })
  }

  /** Returns a claim that was made before, by this instance or by a peer. */
  adopt (id: claimId.ClaimId): Claim {
    return { id, release: () => this.releases.add(id) }
  }

  private async call ({ keyHash, owner }: claimId.ClaimId): Promise<boolean> {
    this.calls++
    try {
      return await this.source.claim(keyHash, owner)
    } finally {
      this.calls--
    }
  }

  /** Releases a claim that may still be made after its request was refused. */
  private async releaseAfter (call: Promise<boolean>, id: claimId.ClaimId): Promise<void> {
    try {
      if (await call) this.releases.add(id)
    } catch {
      // The error was reported with the refusal, or follows a timeout that was.
      this.releaseLater(id)
    }
  }

  private releaseLater (id: claimId.ClaimId): void {
    const cancel = this.clock.after(lateClaimMs, () => {
      this.cancelLateReleases.delete(cancel)
      this.releases.add(id)
    })
    this.cancelLateReleases.add(cancel)
  }
}

function newClaimTimeoutError (): Error {
  return new Error('the idempotency key could not be claimed in time')
}
