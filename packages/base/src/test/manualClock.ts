/** A clock that tests advance manually. */
import type * as clock from '../common/clock.js'

interface Timer {
  readonly at: number
  readonly fn: () => void
}

/** Clock whose time changes only in `advance`. */
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

  /** Advances the time by `ms` and runs the timers that become due, in order. */
  advance (ms: number): void {
    const end = this.time + ms
    for (let next = this.nextTimer(end); next !== undefined; next = this.nextTimer(end)) {
      this.time = next.at
      this.timers = this.timers.filter((other) => other !== next)
      next.fn()
    }
    this.time = end
  }

  /** Advances the time by `ms` at once, as a pause of the process does, and runs the timers that became due meanwhile. */
  jump (ms: number): void {
    this.time += ms
    for (let next = this.nextTimer(this.time); next !== undefined; next = this.nextTimer(this.time)) {
      this.timers = this.timers.filter((other) => other !== next)
      next.fn()
    }
  }

  private nextTimer (end: number): Timer | undefined {
    return [...this.timers].filter(({ at }) => at <= end).sort((a, b) => a.at - b.at)[0]
  }
}
