/** Largest value of the last minute, in constant space. */

const bucketMs = 10_000
const bucketCount = 6

/** Keeps the maximum of each bucket of time; a value counts for 50 to 60 seconds. */
export class RecentMaximum {
  private readonly values = new Float64Array(bucketCount)
  private readonly numbers = new Float64Array(bucketCount).fill(-1)

  /** Adds a value. */
  add (value: number, now: number): void {
    const number = Math.floor(now / bucketMs)
    const i = number % bucketCount
    this.values[i] = this.numbers[i] === number ? Math.max(this.values[i]!, value) : value
    this.numbers[i] = number
  }

  /** Returns the maximum; 0 without values. */
  read (now: number): number {
    const first = Math.floor(now / bucketMs) - bucketCount
    return this.values.reduce((max, value, i) => this.numbers[i]! > first ? Math.max(max, value) : max, 0)
  }
}
