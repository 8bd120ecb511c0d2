/** A clock that tests set forward. */
import type * as clock from '../common/clock.js'

interface Timer {
  readonly at: number
  readonly fn: () => void
}

/** Time stands still between calls of `advance`. */
export class ManualClock implements clock.IClock {
  private time = 0
  private timers: readonly Timer[] = []

  now (): number {
    return this.time
  }

  after (ms: number, fn: () => void): () => void {
    const timer = { at: this.time + ms, fn }
    this.timers = [...this.timers, timer]
    return () => { this.timers = this.timers.filter((other) => other !== timer) }
  }

  /** Runs what falls due within the next `ms`, in order. */
  advance (ms: number): void {
    const end = this.time + ms
    for (let next = this.nextBefore(end); next !== undefined; next = this.nextBefore(end)) {
      this.time = next.at
      this.timers = this.timers.filter((other) => other !== next)
      next.fn()
    }
    this.time = end
  }

  private nextBefore (end: number): Timer | undefined {
    return [...this.timers].filter(({ at }) => at <= end).sort((a, b) => a.at - b.at)[0]
  }
}
