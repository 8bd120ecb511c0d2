/** Divides the calls of one lane among services by weight. */
import type * as balancingPolicy from './balancingPolicy.js'

/** A part of a split. */
export interface SplitPart {
  readonly service: string
  readonly weight: number
}

/**
 * Smooth weighted round robin: each service comes up as often as its weight says, spread evenly. It begins at a random
 * point, so that many instances with few calls each don't all begin with the heaviest part.
 */
export class TrafficSplit {
  private readonly credit = new Map<string, number>()

  constructor (private readonly random: balancingPolicy.IRandom) {}

  /** Service of the next call; parts that are gone are forgotten. */
  next (parts: readonly SplitPart[]): string {
    const total = parts.reduce((sum, { weight }) => sum + weight, 0)
    let chosen = parts[0]!
    for (const service of this.credit.keys()) {
      if (!parts.some((part) => part.service === service)) this.credit.delete(service)
    }
    for (const part of parts) {
      const before = this.credit.get(part.service) ?? this.random.next() * total
      this.credit.set(part.service, before + part.weight)
      if (this.credit.get(part.service)! > this.credit.get(chosen.service)!) chosen = part
    }
    this.credit.set(chosen.service, this.credit.get(chosen.service)! - total)
    return chosen.service
  }
}
