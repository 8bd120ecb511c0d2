/** Balancing policy based on calls in flight and latency, adjusted for load reports, recent failures, warm-up and connections. */
import type * as balancingPolicy from './balancingPolicy.js'

/** Maximum random increase of a score, as a share of it, so that candidates with almost equal scores share the calls. */
const tieBreakJitter = 0.05
/**
 * Score factor of an endpoint without an open connection. It accounts for the round trips and the endpoint's work to open one, and
 * makes an instance with few calls reuse the connections to a few endpoints.
 */
const newConnectionFactor = 1.2
/** Time during which the score of an endpoint that has joined is not increased for a missing connection, so that it gets its first calls. */
const newEndpointMs = 10_000

/** The default policy. It uses what this instance has observed, so it sends no requests of its own to measure endpoints. */
export class AdaptivePolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'adaptive'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: readonly balancingPolicy.Candidate[], context: balancingPolicy.ChoiceContext): balancingPolicy.Candidate {
    let best = candidates[0]!
    let bestScore = Infinity
    for (const candidate of candidates) {
      const score = this.score(candidate, context) * (1 + tieBreakJitter * this.random.next())
      if (score >= bestScore) continue
      best = candidate
      bestScore = score
    }
    return best
  }

  score (candidate: balancingPolicy.Candidate, context: balancingPolicy.ChoiceContext): number {
    const { stats } = candidate
    const { weights, now, typicalLatencyMs, remoteFactor } = context
    const relativeLatency = stats.estimateLatency(now, typicalLatencyMs) / typicalLatencyMs
    const isNewEndpoint = stats.hasJoined && now - stats.firstSeenAt < newEndpointMs
    const connectionFactor = candidate.connected || isNewEndpoint ? 1 : newConnectionFactor
    const domainFactor = candidate.failureDomain === context.ownFailureDomain ? 1 : remoteFactor
    return (stats.inFlight + 1) *
      relativeLatency ** weights.latency *
      stats.decayedReportCost(now) *
      (1 + weights.reportedLoad * candidate.reportedLoad) *
      (1 + weights.recentFailures * stats.recentFailures) *
      (1 + weights.coldness * stats.coldness(now)) *
      connectionFactor *
      domainFactor
  }
}
