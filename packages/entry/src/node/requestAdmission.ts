/** What a request takes before it runs: a token of its workspace's quota, and the claim of its idempotency key. */
import type * as claimId from '../common/claimId.js'
import type * as idempotencyClaims from './idempotencyClaims.js'
import * as quotaGate from './quotaGate.js'

/** Admission of one request. */
export class RequestAdmission {
  private heldToken = quotaGate.noToken
  private claim: idempotencyClaims.Claim | undefined
  private cancelWait = (): void => {}

  /** @param isAnswered returns true once the caller has left or got the whole response. */
  constructor (private readonly quotas: Pick<quotaGate.QuotaGate, 'admit'>, private readonly isAnswered: () => boolean) {}

  /** Takes the token, then the claim, so that a refused request writes nothing. Gives both back if the caller has left meanwhile. */
  async take (subject: quotaGate.QuotaSubject, claimKey: () => Promise<idempotencyClaims.Claim | undefined>): Promise<void> {
    this.heldToken = await this.quotas.admit(subject, (cancel) => { this.cancelWait = cancel })
    try {
      if (!this.isAnswered()) this.claim = await claimKey()
    } catch (err) {
      this.heldToken.giveBack()
      throw err
    }
    if (this.isAnswered()) this.release()
  }

  /** Stops waiting for the token, because the caller has left. */
  cancel (): void {
    this.cancelWait()
  }

  get token (): quotaGate.QuotaToken {
    return this.heldToken
  }

  get claimId (): claimId.ClaimId | undefined {
    return this.claim?.id
  }

  /** Gives the token and the claim of a request back that certainly did not run. */
  release (): void {
    this.heldToken.giveBack()
    this.releaseClaim()
  }

  releaseClaim (): void {
    this.claim?.release()
  }
}
