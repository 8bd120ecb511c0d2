/** Well-known balancing policies, used as a baseline for the adaptive policy. */
import type * as balancingPolicy from './balancingPolicy.js'

type Candidates = readonly balancingPolicy.Candidate[]

/** Chooses a random candidate, each with the same probability. */
export class RandomPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'random'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: Candidates): balancingPolicy.Candidate {
    return pickRandom(candidates, this.random)
  }

  score (): number {
    return 0
  }
}

/** Chooses the candidates in turn. */
export class RoundRobinPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'round-robin'
  private nextIndex = 0

  choose (candidates: Candidates): balancingPolicy.Candidate {
    return candidates[this.nextIndex++ % candidates.length]!
  }

  score (): number {
    return 0
  }
}

/** Chooses a candidate with the fewest calls of this instance in flight. */
export class LeastInFlightPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'least-in-flight'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: Candidates): balancingPolicy.Candidate {
    const minInFlight = candidates.reduce((least, { stats }) => Math.min(least, stats.inFlight), Infinity)
    return pickRandom(candidates.filter(({ stats }) => stats.inFlight === minInFlight), this.random)
  }

  score (candidate: balancingPolicy.Candidate): number {
    return candidate.stats.inFlight
  }
}

/** Chooses the one of two random candidates that has fewer calls of this instance in flight. */
export class PowerOfTwoPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'power-of-two'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: Candidates): balancingPolicy.Candidate {
    const a = pickRandom(candidates, this.random)
    const b = pickRandom(candidates, this.random)
    return a.stats.inFlight <= b.stats.inFlight ? a : b
  }

  score (candidate: balancingPolicy.Candidate): number {
    return candidate.stats.inFlight
  }
}

function pickRandom (candidates: Candidates, random: balancingPolicy.IRandom): balancingPolicy.Candidate {
  return candidates[Math.floor(random.next() * candidates.length)]!
}
