/** Seeded random numbers in the distributions that the bench uses. */
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformFloat64'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'

/** Random number generator; the same seed gives the same sequence. */
export class SeededRandom implements balancingPolicy.IRandom {
  private readonly source: ReturnType<typeof generator.xoroshiro128plus>

  constructor (seed: number) {
    this.source = generator.xoroshiro128plus(seed)
  }

  next (): number {
    return uniform.uniformFloat64(this.source)
  }

  nextExponential (mean: number): number {
    return -mean * Math.log(1 - this.next())
  }

  /** Returns an integer from 0 to `count` - 1. */
  nextInt (count: number): number {
    return Math.floor(this.next() * count)
  }
}
