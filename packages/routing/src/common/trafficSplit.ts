/** Divides the calls of one lane among services by weight. */
import type * as balancingPolicy from './balancingPolicy.js'

/** A service and its weight in a split. */
export interface SplitPart {
  readonly service: string
  readonly weight: number
}

/**
 * Smooth weighted round robin: each service is chosen in proportion to its weight, spread evenly. It starts at a random point,
 * so that many instances with few calls each do not all start with the service of the highest weight.
 */
export class TrafficSplit {
  /** In calls, so that they stay valid when all weights are given in another scale. */
  private readonly credit = new Map<string, number>()

  constructor (private readonly random: balancingPolicy.IRandom) {}

  /**
   * Returns the service of the next call, never one with the weight 0. Drops the credit of services that have no share of the split
   * any more.
   */
  next (parts: readonly SplitPart[]): string {
    const chooseable = parts.filter(({ weight }) => weight > 0)
    const total = chooseable.reduce((sum, { weight }) => sum + weight, 0)
    let chosen = chooseable[0]!
    for (const service of this.credit.keys()) {
      if (!chooseable.some((part) => part.service === service)) this.credit.delete(service)
    }
    for (const part of chooseable) {
      const credit = this.credit.get(part.service) ?? this.random.next()
      this.credit.set(part.service, credit + part.weight / total)
      if (this.credit.get(part.service)! > this.credit.get(chosen.service)!) chosen = part
    }
    this.credit.set(chosen.service, this.credit.get(chosen.service)! - 1)
    return chosen.service
  }
}
