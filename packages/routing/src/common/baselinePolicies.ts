/** Well-known policies that the product's own is measured against. */
import type * as balancingPolicy from './balancingPolicy.js'

type Candidates = readonly balancingPolicy.Candidate[]

/** Any candidate, each as likely. */
export class RandomPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'random'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: Candidates): balancingPolicy.Candidate {
    return pick(candidates, this.random)
  }

  score (): number {
    return 0
  }
}

/** One after the other. */
export class RoundRobinPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'round-robin'
  private turn = 0

  choose (candidates: Candidates): balancingPolicy.Candidate {
    return candidates[this.turn++ % candidates.length]!
  }

  score (): number {
    return 0
  }
}

/** The candidate with the fewest own calls in flight. */
export class LeastInFlightPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'least-in-flight'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: Candidates): balancingPolicy.Candidate {
    const fewest = candidates.reduce((least, { stats }) => Math.min(least, stats.inFlight), Infinity)
    return pick(candidates.filter(({ stats }) => stats.inFlight === fewest), this.random)
  }

  score (candidate: balancingPolicy.Candidate): number {
    return candidate.stats.inFlight
  }
}

/** The better of two random candidates by own calls in flight. */
export class PowerOfTwoPolicy implements balancingPolicy.IBalancingPolicy {
  readonly name = 'power-of-two'

  constructor (private readonly random: balancingPolicy.IRandom) {}

  choose (candidates: Candidates): balancingPolicy.Candidate {
    const a = pick(candidates, this.random)
    const b = pick(candidates, this.random)
    return a.stats.inFlight <= b.stats.inFlight ? a : b
  }

  score (candidate: balancingPolicy.Candidate): number {
    return candidate.stats.inFlight
  }
}

function pick (candidates: Candidates, random: balancingPolicy.IRandom): balancingPolicy.Candidate {
  return candidates[Math.floor(random.next() * candidates.length)]!
}
