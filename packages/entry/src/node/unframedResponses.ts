/** Logs and counts responses without a length, whose end is known only by that of their connection. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as limitedLog from '@rosemaryrack/telemetry/common/limitedLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'

const maxLinesPerSecond = 20
const responsesMetric = 'rosemaryrack_unframed_responses_total'

/** How such a response was passed on. */
export interface UnframedResponse {
  readonly requestId: string
  readonly lane: string
  /** Id of the endpoint or name of the peer that sent it. */
  readonly source: string
  readonly status: number
  /** Bytes of the body that were taken from the source. */
  readonly bytes: number
  /** How the response to the caller ended. */
  readonly end: string
  /** How the connection to the source ended: `open`, `closed` or `reset`. */
  readonly connection: string
}

/** The record of an instance. */
export class UnframedResponses {
  private readonly log: limitedLog.LimitedLog

  constructor (decisions: Pick<decisionLog.IDecisionLog, 'record'>, private readonly metrics: Pick<metrics.Metrics, 'count'>, clock: Pick<clock.IClock, 'now'>) {
    this.log = new limitedLog.LimitedLog(decisions, clock, maxLinesPerSecond)
  }

  record ({ requestId, lane, source, status, bytes, end, connection }: UnframedResponse): void {
    this.metrics.count(responsesMetric, { lane, end, connection })
    this.log.record({ event: 'unframed', requestId, lane, choice: source, status, bytes, end, connection, why: 'the response has no length and ends with its connection' })
  }
}
