/** Serves permits for requests to endpoints that name a limit: the leader grants them, other replicas forward. */
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as permitLedger from '../common/permitLedger.js'
import type * as controlService from './controlService.js'
import type * as leadership from './leadership.js'

/** Shorter than the timeout of the instances. */
const forwardTimeoutMs = 2000

/** Keeps the ledger of the current leadership. */
export class PermitService {
  private readonly clock = new clock.SystemClock()
  private ledgerOfTerm: { readonly leadership: leadership.Leadership, readonly ledger: permitLedger.PermitLedger } | undefined

  constructor (private readonly service: controlService.ControlService) {}

  /** Grants permits; throws `no-quorum` where it is not certain that no other replica grants them too. */
  async permit (req: inner.PermitReq): Promise<inner.PermitRes> {
    const ownLeadership = this.service.replica.leadership
    if (ownLeadership === undefined) return await this.service.callLeader(async (client, options) => await client.permit(req, options), forwardTimeoutMs)
    return this.permitAsLeader(ownLeadership, req)
  }

  private permitAsLeader (ownLeadership: leadership.Leadership, req: inner.PermitReq): inner.PermitRes {
    const { electionTimeoutMs } = this.service.replica
    const now = this.clock.now()
    // A majority that has heard from this leader within the election timeout elects no other, and an earlier leader has had that time to notice.
    const isSoleLeader = ownLeadership.hasQuorumAckedSince(now - electionTimeoutMs) && now - ownLeadership.startedAt >= electionTimeoutMs
    if (!isSoleLeader) throw new errors.RackError({ kind: 'no-quorum', message: 'this leader is not confirmed by a quorum; no permit was granted' })
    if (this.ledgerOfTerm?.leadership !== ownLeadership) this.ledgerOfTerm = { leadership: ownLeadership, ledger: new permitLedger.PermitLedger(this.clock) }
    return this.ledgerOfTerm.ledger.grant(req)
  }
}
