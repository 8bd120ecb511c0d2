/** Choice of an endpoint among candidates that can take a call. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointStats from './endpointStats.js'

/** An endpoint that can take a call now. */
export interface Candidate {
  readonly id: string
  readonly failureDomain: string
  /** Utilization as the target reported it; it lags and may mislead. */
  readonly reportedLoad: number
  /** An idle connection to it is open. */
  readonly connected: boolean
  readonly stats: endpointStats.EndpointStats
}

/** What a choice depends on besides the candidates. */
export interface ChoiceContext {
  readonly now: number
  readonly ownFailureDomain: string
  /** Typical latency of the service as the endpoints' estimates hold it, in milliseconds. */
  readonly typicalLatencyMs: number
  /** Factor on the cost of endpoints in other failure domains. */
  readonly remoteFactor: number
  readonly weights: configDocument.LaneWeights
}

/** Source of random numbers, uniform over [0, 1). */
export interface IRandom {
  next(): number
}

/** A candidate with the score it was given; lower is better. */
export interface Scored {
  readonly candidate: Candidate
  readonly score: number
}

/** A way of choosing; candidates are never empty. */
export interface IBalancingPolicy {
  readonly name: string
  choose(candidates: readonly Candidate[], context: ChoiceContext): Candidate
  /** Scores for the decision log, where the policy has any. */
  score(candidate: Candidate, context: ChoiceContext): number
}
