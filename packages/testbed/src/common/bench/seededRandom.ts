/** Seeded random numbers and the distributions that the bench draws from. */
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformFloat64'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'

/** One stream of random numbers. */
export class SeededRandom implements balancingPolicy.IRandom {
  private readonly source: ReturnType<typeof generator.xoroshiro128plus>

  constructor (seed: number) {
    this.source = generator.xoroshiro128plus(seed)
  }

  next (): number {
    return uniform.uniformFloat64(this.source)
  }

  exponential (mean: number): number {
    return -mean * Math.log(1 - this.next())
  }

  below (count: number): number {
    return Math.floor(this.next() * count)
  }
}
