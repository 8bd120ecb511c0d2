/**
 * Typical time to the head of a response on one lane, and the hedge delay that follows from it. Latencies of the lanes of one
 * service may differ by a factor of several, so a lane with a target latency has its own estimate; others use that of the service.
 */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

/** Share of the target latency that is the initial estimate, before the first response. */
const initialShareOfTarget = 0.4
/** Number of samples that the initial estimate counts for. */
const initialSampleCount = 3
const minSampleWeight = 0.02
/** Upper bound on a sample, as a multiple of the typical latency, so that slow phases, which hedges are meant for, do not raise the estimate. */
const maxSampleFactor = 3

const minHedgeDelayMs = 2
/** How long before the target latency a hedge is sent, as a multiple of the typical latency, so that its response can be in time. */
const hedgeLeadFactor = 1.1
/** Bounds of the hedge delay, as multiples of the typical latency; most responses come before the lower one. */
const minHedgeDelayFactor = 1.2
const maxHedgeDelayFactor = 3

/** Estimates the typical latency of one lane. */
export class LaneLatency {
  private sampleCount = 0
  private estimateMs: number | undefined

  /** Records the latency of a response; does nothing for a lane without a target latency. */
  recordSample (latencyMs: number, lane: configDocument.Lane): void {
    if (lane.targetLatencyMs === undefined) return
    const typical = this.estimateMs ?? lane.targetLatencyMs * initialShareOfTarget
    const sampleWeight = Math.max(minSampleWeight, 1 / (++this.sampleCount + initialSampleCount))
    this.estimateMs = typical + (Math.min(latencyMs, typical * maxSampleFactor) - typical) * sampleWeight
  }

  /** Returns whether a lane has its own estimate, which requires a target latency. */
  hasOwnEstimate (lane: configDocument.Lane): boolean {
    return lane.targetLatencyMs !== undefined
  }

  /** Returns the typical latency in milliseconds; `serviceTypicalMs` is that of all lanes of the service. */
  typicalMs (lane: configDocument.Lane, serviceTypicalMs: number): number {
    return lane.targetLatencyMs === undefined ? serviceTypicalMs : this.estimateMs ?? lane.targetLatencyMs * initialShareOfTarget
  }

  /** Returns the delay before a hedge: the configured one, else one derived from the latency. */
  hedgeDelayMs (lane: configDocument.Lane, serviceTypicalMs: number): number {
    return lane.hedgeAfterMs > 0 ? lane.hedgeAfterMs : Math.max(minHedgeDelayMs, this.adaptiveHedgeDelayMs(lane, serviceTypicalMs))
  }

  /**
   * Returns a hedge delay that is long enough to avoid most needless hedges and, if possible, short enough to meet the target
   * latency.
   */
  adaptiveHedgeDelayMs (lane: configDocument.Lane, serviceTypicalMs: number): number {
    const typical = this.typicalMs(lane, serviceTypicalMs)
    if (lane.targetLatencyMs === undefined) return typical * maxHedgeDelayFactor
    const latestMs = lane.targetLatencyMs - typical * hedgeLeadFactor
    return Math.max(typical * minHedgeDelayFactor, Math.min(typical * maxHedgeDelayFactor, latestMs))
  }
}
