/** The product's policy: own calls in flight times latency, with open calls, failures and warm-up counted. */
import type * as balancingPolicy from './balancingPolicy.js'

const tieWidth = 0.05
/**
 * Cost of an endpoint to which a connection must be opened first, against an equal one that is connected: round trips
 * and the endpoint's own work. It makes an instance that has few calls keep to a few endpoints.
 */
const newConnectionFactor = 1.2
/** Time in which an endpoint that became known isn't held back by having no connection, so that it gets its first calls. */
const newcomerMs = 10_000

/** Needs no knowledge but the instance's own, so it costs no measuring. */
export class AdaptivePolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'adaptive'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: readonly balancingPolicy.Candidate[], context: balancingPolicy.ChoiceContext): balancingPolicy.Candidate {
    let best = candidates[0]!
    let bestScore = Infinity
    for (const candidate of candidates) {
      const score = this.score(candidate, context) * (1 + tieWidth * this.random.next())
      if (score >= bestScore) continue
      best = candidate
      bestScore = score
    }
    return best
  }

  score (candidate: balancingPolicy.Candidate, context: balancingPolicy.ChoiceContext): number {
    const { stats } = candidate
    const { weights, now, typicalLatencyMs, remoteFactor } = context
    const relativeLatency = stats.latency(now, typicalLatencyMs) / typicalLatencyMs
    const isNewcomer = now - stats.knownSince < newcomerMs
    const connectionFactor = candidate.connected || isNewcomer ? 1 : newConnectionFactor
    const domainFactor = candidate.failureDomain === context.ownFailureDomain ? 1 : remoteFactor
    return (stats.inFlight + 1) *
      relativeLatency ** weights.latency *
      stats.costByReport(now) *
      (1 + weights.reportedLoad * candidate.reportedLoad) *
      (1 + weights.recentFailures * stats.recentFailures) *
      (1 + weights.coldness * stats.coldness(now)) *
      connectionFactor *
      domainFactor
  }
}
