/** Requests permits for limited endpoints from the control replicas. */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as coldEndpoints from '@rosemaryrack/fleet/common/coldEndpoints.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as servicePermits from '@rosemaryrack/routing/common/servicePermits.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'

const permitsMetric = 'rosemaryrack_permits_total'

/** Logs only when the control replicas stop or resume granting, since requests are frequent. */
export class PermitClient implements servicePermits.IPermitSource {
  private isFailing = false

  /** @param configs also holds the connection to the control group, over which permits are requested. */
  constructor (
    private readonly instance: string,
    private readonly configs: Pick<configFollower.ConfigFollower, 'requestPermits'>,
    private readonly decisions: decisionLog.IDecisionLog,
    private readonly metrics: metrics.Metrics
  ) {}

  request (req: servicePermits.PermitRequest, done: (grants: readonly servicePermits.PermitGrant[] | undefined) => void): void {
    this.requestAll(req).then(done)
  }

  private async requestAll (req: servicePermits.PermitRequest): Promise<readonly servicePermits.PermitGrant[] | undefined> {
    const { wanted, endpoints } = req
    try {
      const { grants } = await this.configs.requestPermits(encodeRequest(this.instance, req, performance.now()))
      if (grants.length !== endpoints.length) throw new Error(`${grants.length} grants for ${endpoints.length} endpoints`)
      const granted = grants.reduce((sum, grant) => sum + grant.granted, 0)
      this.metrics.count(permitsMetric, { outcome: 'granted' }, granted)
      this.metrics.count(permitsMetric, { outcome: 'refused' }, wanted - granted)
      this.noteOutcome(false, 'the control replicas grant permits')
      return grants
    } catch (err) {
      this.metrics.count(permitsMetric, { outcome: 'failed' }, wanted)
      this.noteOutcome(true, errors.messageOf(err))
      return undefined
    }
  }

  private noteOutcome (isFailing: boolean, why: string): void {
    if (this.isFailing === isFailing) return
    this.isFailing = isFailing
    this.decisions.record({ event: 'permits', choice: isFailing ? 'unavailable' : 'available', why })
  }
}

/** Encodes a request of an entry instance for permits, made at a local time. */
export function encodeRequest (instance: string, { wanted, endpoints }: servicePermits.PermitRequest, now: number): inner.PermitReq {
  return protobuf.create(inner.PermitReqSchema, { instance, wanted, endpoints: endpoints.map((each) => encodeEndpoint(each, now)) })
}

function encodeEndpoint ({ endpoint, limit, sentAgesMs }: servicePermits.LimitedEndpoint, now: number): inner.LimitedEndpoint {
  return protobuf.create(inner.LimitedEndpointSchema, {
    endpointId: endpoint.endpoint,
    incarnation: BigInt(endpoint.incarnation),
    limitPerSecond: limit.perSecond,
    limitRevision: limit.revision,
    sentAgesMs: [...sentAgesMs],
    ...(endpoint.coldPerSecond === undefined ? {} : { coldLeftMs: coldEndpoints.coldLeftMs(endpoint, now), coldPerSecond: endpoint.coldPerSecond })
  })
}
