/** Exchanges reports of requests of workspaces with a quota for tokens of the control replicas. */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as workspaceQuotas from '@rosemaryrack/routing/common/workspaceQuotas.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'

const messagesMetric = 'rosemaryrack_quota_messages_total'

/** Logs only when the control replicas stop or resume responding, since requests are frequent. */
export class QuotaClient implements workspaceQuotas.IQuotaSource {
  private isFailing = false

  /** @param configs also holds the connection to the control group, over which tokens are requested. */
  constructor (
    private readonly self: { readonly instance: string, readonly incarnation: number },
    private readonly configs: Pick<configFollower.ConfigFollower, 'requestQuota' | 'current'>,
    private readonly decisions: decisionLog.IDecisionLog,
    private readonly metrics: metrics.Metrics
  ) {}

  request (uses: readonly workspaceQuotas.QuotaUse[], done: (grants: readonly workspaceQuotas.QuotaGrant[] | undefined) => void): void {
    this.requestAll(uses).then(done)
  }

  private async requestAll (uses: readonly workspaceQuotas.QuotaUse[]): Promise<readonly workspaceQuotas.QuotaGrant[] | undefined> {
    const { self, configs } = this
    try {
      const { grants } = await configs.requestQuota(encodeRequest(self, configs.current.version, uses))
      if (grants.length !== uses.length) throw new Error(`${grants.length} grants for ${uses.length} workspaces`)
      this.noteOutcome(false, 'the control replicas grant tokens')
      return grants
    } catch (err) {
      this.noteOutcome(true, errors.messageOf(err))
      return undefined
    }
  }

  private noteOutcome (isFailing: boolean, why: string): void {
    this.metrics.count(messagesMetric, { outcome: isFailing ? 'failed' : 'answered' })
    if (this.isFailing === isFailing) return
    this.isFailing = isFailing
    this.decisions.record({ event: 'quotas', choice: isFailing ? 'unavailable' : 'available', why })
  }
}

/** Encodes reports and requests for tokens of an entry instance. */
export function encodeRequest ({ instance, incarnation }: { readonly instance: string, readonly incarnation: number }, version: number, uses: readonly workspaceQuotas.QuotaUse[]): inner.QuotaReq {
  return protobuf.create(inner.QuotaReqSchema, {
    instance,
    incarnation: BigInt(incarnation),
    configVersion: configVersion.encode(version),
    uses: uses.map(({ workspace, sentAgesMs, wanted, returned }) => protobuf.create(inner.QuotaUseSchema, { workspace, sentAgesMs: [...sentAgesMs], wanted, returned }))
  })
}
