/** Logs and counts what attempts have sent of request bodies. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as limitedLog from '@rosemaryrack/telemetry/common/limitedLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'

const maxLinesPerSecond = 20
const transfersMetric = 'rosemaryrack_request_body_transfers_total'

/** How the caller frames a body. */
export type Framing = 'length' | 'chunks'

/** What one attempt has sent of a body, at the end of the attempt. */
export interface BodyTransfer {
  /** Address of the endpoint or peer. */
  readonly target: string
  /** Number of the attempt among those that were given the body, from 1. */
  readonly attempt: number
  readonly framing: Framing
  /** Bytes received from the caller so far. */
  readonly receivedBytes: number
  /** True if that is the whole body. */
  readonly isReceived: boolean
  /** Bytes that the HTTP client has taken. */
  readonly sentBytes: number
}

/** The request that a transfer belongs to. */
export interface TransferContext {
  readonly requestId: string
  readonly lane: string
}

/** The record of an instance. A body that a first attempt has sent whole is only counted. */
export class BodyTransfers {
  private readonly log: limitedLog.LimitedLog

  constructor (decisions: Pick<decisionLog.IDecisionLog, 'record'>, private readonly metrics: Pick<metrics.Metrics, 'count'>, clock: Pick<clock.IClock, 'now'>) {
    this.log = new limitedLog.LimitedLog(decisions, clock, maxLinesPerSecond)
  }

  record ({ requestId, lane }: TransferContext, { target, attempt, framing, receivedBytes, isReceived, sentBytes }: BodyTransfer): void {
    const isWhole = isReceived && sentBytes === receivedBytes
    const isRepeat = attempt > 1
    this.metrics.count(transfersMetric, { lane, framing, attempt: isRepeat ? 'repeat' : 'first', sent: isWhole ? 'whole' : 'part' })
    if (isWhole && !isRepeat) return
    const why = isWhole ? 'the body was sent once more' : 'the attempt ended before the whole body was sent'
    this.log.record({ event: 'body', requestId, lane, choice: target, attempt, framing, received: receivedBytes, receivedWhole: isReceived, sent: sentBytes, why })
  }
}
