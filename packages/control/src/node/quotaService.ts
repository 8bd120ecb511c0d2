/** Serves tokens for requests of workspaces with a quota: the leader grants them, other replicas forward. */
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as quotaLedger from '../common/quotaLedger.js'
import type * as controlService from './controlService.js'
import type * as leadership from './leadership.js'

/** Shorter than the timeout of the instances. */
const forwardTimeoutMs = 500

/** Keeps the ledger of the current leadership. */
export class QuotaService {
  private readonly clock = new clock.SystemClock()
  private ledgerOfTerm: { readonly leadership: leadership.Leadership, readonly ledger: quotaLedger.QuotaLedger } | undefined

  constructor (private readonly service: controlService.ControlService) {}

  /** Grants tokens; throws `no-quorum` where another replica may be the leader. */
  async grant (req: inner.QuotaReq): Promise<inner.QuotaRes> {
    const ownLeadership = this.service.replica.leadership
    if (ownLeadership === undefined) return await this.service.callLeader(async (client, options) => await client.quota(req, options), forwardTimeoutMs)
    return this.grantAsLeader(ownLeadership, req)
  }

  /**
   * Unlike permits, tokens are granted from the first quorum on, so that callers wait less for a new leader. What a former leader granted
   * before it noticed is covered by the small number of tokens with which a ledger starts.
   */
  private grantAsLeader (ownLeadership: leadership.Leadership, req: inner.QuotaReq): inner.QuotaRes {
    const { replica } = this.service
    if (!ownLeadership.hasQuorumAckedSince(this.clock.now() - replica.electionTimeoutMs)) {
      throw new errors.RackError({ kind: 'no-quorum', message: 'this leader is not confirmed by a quorum; no token was granted' })
    }
    if (this.ledgerOfTerm?.leadership !== ownLeadership) this.ledgerOfTerm = { leadership: ownLeadership, ledger: new quotaLedger.QuotaLedger(this.clock) }
    return this.ledgerOfTerm.ledger.grant(req, replica.state.config.document)
  }
}
