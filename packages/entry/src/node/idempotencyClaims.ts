/** Claims idempotency keys in the replicated log, so that a request resent through another instance is not run again. */
import * as crypto from 'node:crypto'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'

const claimRetryAfterS = 1
const maxKeyLength = 256

/** A claim held by this instance. */
export interface Claim {
  /** Releases the claim; only for a request that was certainly not run. */
  release(): void
}

/** Claims the keys of requests on non-idempotent lanes. */
export class IdempotencyClaims {
  /** @param configs also holds the connection to the control group, over which keys are claimed. */
  constructor (private readonly configs: configFollower.ConfigFollower) {}

  /** Claims a key. Throws `duplicate` when it is taken, `not-run` when it cannot be claimed with certainty by the deadline. */
  async claim (lane: string, key: string, deadlineAt: number): Promise<Claim> {
    if (key.length > maxKeyLength) throw new errors.RackError({ kind: 'bad-request', message: `the idempotency key exceeds ${maxKeyLength} characters` })
    const owner = crypto.randomUUID()
    const keyHash = crypto.createHash('sha256').update(`${lane}\n${key}`).digest('base64url')
    const claim = { release: () => { this.configs.release(keyHash, owner).catch(() => {}) } }
    let granted: boolean
    try {
      granted = await async.withTimeout(this.configs.claim(keyHash, owner), deadlineAt - performance.now(), newClaimTimeoutError)
    } catch (err) {
      // The claim may still be granted after the timeout.
      claim.release()
      throw new errors.RackError({ kind: 'not-run', message: errors.messageOf(err), retryAfterS: claimRetryAfterS })
    }
    if (granted) return claim
    throw new errors.RackError({ kind: 'duplicate', message: 'a request with this idempotency key was accepted before; it is not run again' })
  }
}

function newClaimTimeoutError (): Error {
  return new Error('the idempotency key could not be claimed in time')
}
