/**
 * Typical time to the head of an answer on one lane that has a target, and when a hedge is due by it. The lanes of a service
 * may differ several times in what they ask of it. Without a target the service's own typical time stands.
 */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

/** Share of a lane's target that is taken for its typical time before answers were seen. */
const assumedShareOfTarget = 0.4
/** Samples that the assumption counts for. */
const assumedSamples = 3
const minSampleWeight = 0.02
/** A sample counts for no more than this many typical times: slow spells are what hedges are for. */
const maxSampleFactor = 3

const minHedgeMs = 2
/** A hedge that is to be in time is sent this many typical times before the target. */
const leadFactor = 1.1
/** Bounds of the wait for a hedge, in typical times: most answers come before the lower one. */
const minWaitFactor = 1.2
const maxWaitFactor = 3

/** Running estimate for one lane. */
export class LaneLatency {
  private samples = 0
  private ms: number | undefined

  note (latencyMs: number, lane: configDocument.Lane): void {
    if (lane.targetLatencyMs === undefined) return
    const typical = this.ms ?? lane.targetLatencyMs * assumedShareOfTarget
    const weight = Math.max(minSampleWeight, 1 / (++this.samples + assumedSamples))
    this.ms = typical + (Math.min(latencyMs, typical * maxSampleFactor) - typical) * weight
  }

  /** Without a target a lane takes the service's typical latency. */
  hasOwnTypical (lane: configDocument.Lane): boolean {
    return lane.targetLatencyMs !== undefined
  }

  /** Typical latency in milliseconds; `serviceMs` is that of all lanes of the service. */
  typicalMs (lane: configDocument.Lane, serviceMs: number): number {
    return lane.targetLatencyMs === undefined ? serviceMs : this.ms ?? lane.targetLatencyMs * assumedShareOfTarget
  }

  /** Wait before a hedge: what the lane sets, else what its latency suggests. */
  hedgeDelayMs (lane: configDocument.Lane, serviceMs: number): number {
    return lane.hedgeAfterMs > 0 ? lane.hedgeAfterMs : Math.max(minHedgeMs, this.hedgeWaitMs(lane, serviceMs))
  }

  /** Wait after which a call that is still unanswered is sent once more: late enough to be rarely needless, in time for the target. */
  hedgeWaitMs (lane: configDocument.Lane, serviceMs: number): number {
    const typical = this.typicalMs(lane, serviceMs)
    if (lane.targetLatencyMs === undefined) return typical * maxWaitFactor
    const inTime = lane.targetLatencyMs - typical * leadFactor
    return Math.max(typical * minWaitFactor, Math.min(typical * maxWaitFactor, inTime))
  }
}
