/** Records what the head of a response tells about the endpoint, the lane and the request. */
import type * as callSpec from './callSpec.js'
import type * as runningAttempt from './runningAttempt.js'
import type * as transport from './transport.js'

const minServerErrorStatus = 500

/** @param laneTypicalLatencyMs typical latency of the lane before this response. */
export function recordHead (attempt: runningAttempt.RunningAttempt, head: transport.ResponseHead, { lane, identity }: callSpec.CallSpec, deps: callSpec.CallDeps, laneTypicalLatencyMs: number): void {
  const { clock, crashDetector, dispatcher, latency, suspects } = deps
  const now = clock.now()
  crashDetector.recordRunning(attempt.placement.endpoint, attempt.startedAt)
  if (head.notRun || head.status >= minServerErrorStatus) {
    attempt.placement.stats.recordFailure(now)
    return
  }
  const latencyMs = (attempt.respondedAt ?? now) - attempt.startedAt
  // Lanes of one service differ in latency, so an endpoint counts as slow only in relation to the lane's typical latency.
  const relativeLatency = latencyMs / laneTypicalLatencyMs
  attempt.placement.stats.recordSuccess(relativeLatency * dispatcher.typicalLatencyMs, now)
  dispatcher.recordLatency(latencyMs, latency.hasOwnEstimate(lane) ? relativeLatency : 1)
  latency.recordSample(latencyMs, lane)
  crashDetector.recordSuccess(identity)
  if (suspects.size > 0) suspects.reportSuccess(identity.fingerprint)
}
