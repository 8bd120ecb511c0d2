/** Claims of idempotency keys in the replicated log, so that a resend through another instance doesn't run again. */
import * as crypto from 'node:crypto'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'

const comeBackS = 1
const maxKeyLength = 256

/** A claim that this instance holds. */
export interface Claim {
  /** Gives the claim back: the request was certainly not run. */
  release(): void
}

/** Claims keys for requests of non-idempotent lanes. */
export class IdempotencyClaims {
  constructor (private readonly configs: configFollower.ConfigFollower) {}

  /** Throws `duplicate` when the key is taken, `not-run` when it can't be claimed for certain by the deadline. */
  async claim (lane: string, key: string, deadlineAt: number): Promise<Claim> {
    if (key.length > maxKeyLength) throw new errors.RackError({ kind: 'bad-request', message: `the idempotency key exceeds ${maxKeyLength} characters` })
    const owner = crypto.randomUUID()
    const hashed = crypto.createHash('sha256').update(`${lane}\n${key}`).digest('base64url')
    const claim = { release: () => { this.configs.release(hashed, owner).catch(() => {}) } }
    let granted: boolean
    try {
      granted = await async.within(this.configs.claim(hashed, owner), deadlineAt - performance.now(), notClaimedInTime)
    } catch (err) {
      claim.release()
      throw new errors.RackError({ kind: 'not-run', message: errors.messageOf(err), retryAfterS: comeBackS })
    }
    if (granted) return claim
    throw new errors.RackError({ kind: 'duplicate', message: 'a request with this idempotency key was taken before; it does not run again' })
  }
}

function notClaimedInTime (): Error {
  return new Error('the idempotency key could not be claimed in time')
}
