/** Describes the candidates of a placement for the log. */
import type * as balancingPolicy from './balancingPolicy.js'

const loggedCandidateCount = 3
const scoreRoundingFactor = 100

/** Returns the best candidates, each with its score, best first. */
export function describeBest (policy: balancingPolicy.IBalancingPolicy, candidates: readonly balancingPolicy.Candidate[], context: balancingPolicy.ChoiceContext): string {
  const best: balancingPolicy.ScoredCandidate[] = []
  for (const candidate of candidates) {
    const score = policy.score(candidate, context)
    const position = best.findIndex((other) => score < other.score)
    if (position >= 0) best.splice(position, 0, { candidate, score })
    else if (best.length < loggedCandidateCount) best.push({ candidate, score })
    if (best.length > loggedCandidateCount) best.pop()
  }
  return best.map(({ candidate, score }) => `${candidate.id}:${Math.round(score * scoreRoundingFactor) / scoreRoundingFactor}`).join(' ')
}

/** Describes how many endpoints get no requests for a while. */
export function describeUnavailable (count: number): string {
  return count === 0 ? '' : `, ${count} have asked to get no requests`
}
