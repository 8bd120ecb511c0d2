/** Interface of the policies that choose an endpoint among the candidates for a call. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointStats from './endpointStats.js'

/** An endpoint that can take a call now. */
export interface Candidate {
  readonly id: string
  readonly failureDomain: string
  /** Utilization as reported by the target, which lags behind and may be wrong. */
  readonly reportedLoad: number
  /** True if an idle connection to the endpoint is open. */
  readonly connected: boolean
  readonly stats: endpointStats.EndpointStats
}

/** Inputs of a choice other than the candidates. */
export interface ChoiceContext {
  readonly now: number
  readonly ownFailureDomain: string
  /** Typical latency of the service, comparable with the latency estimates of its endpoints, in milliseconds. */
  readonly typicalLatencyMs: number
  /** Factor on the score of endpoints in other failure domains. */
  readonly remoteFactor: number
  readonly weights: configDocument.LaneWeights
}

/** Source of random numbers, uniform over [0, 1). */
export interface IRandom {
  next(): number
}

/** A candidate and its score; lower is better. */
export interface ScoredCandidate {
  readonly candidate: Candidate
  readonly score: number
}

/** Chooses an endpoint for each call; the list of candidates is never empty. */
export interface IBalancingPolicy {
  readonly name: string
  choose(candidates: readonly Candidate[], context: ChoiceContext): Candidate
  /** Returns the score of a candidate for the decision log; 0 for policies without scores. */
  score(candidate: Candidate, context: ChoiceContext): number
}
