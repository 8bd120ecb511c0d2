/** Random numbers that a seed determines. */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'

/** Returns a generator of numbers from 0 up to 1. */
export function create (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => float.uniformFloat64(generator)
}
