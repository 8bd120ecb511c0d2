/** Simulated timers and monotonic clock, which advance as soon as all tasks wait for a timer. */

interface Timer {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** Replaces the global timers and `performance.now` until it is disposed. */
export class VirtualTime {
  private readonly timers = new Set<Timer>()
  private readonly real = { setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, now: performance.now }
  private nowMs = 0
  private order = 0

  constructor () {
    globalThis.setTimeout = ((run: () => void, ms = 0) => {
      const timer: Timer = { at: this.nowMs + Math.max(0, ms), order: this.order++, run }
      this.timers.add(timer)
      return timer
    }) as unknown as typeof setTimeout
    globalThis.clearTimeout = ((timer: Timer | undefined) => {
      if (timer !== undefined) this.timers.delete(timer)
    }) as unknown as typeof clearTimeout
    performance.now = () => this.nowMs
  }

  get now (): number {
    return this.nowMs
  }

  /** Advances the time up to `ms`, or until a condition holds. */
  async runUntil (ms: number, isDone: () => boolean = () => false): Promise<void> {
    while (!isDone()) {
      await waitForTasks()
      const next = this.earliest()
      if (next === undefined || next.at > ms) break
      this.timers.delete(next)
      this.nowMs = Math.max(this.nowMs, next.at)
      next.run()
    }
    if (!isDone()) this.nowMs = Math.max(this.nowMs, ms)
  }

  /** Restores the real timers once all tasks wait for one. Tasks that still wait are never resumed. */
  async dispose (): Promise<void> {
    await waitForTasks()
    globalThis.setTimeout = this.real.setTimeout
    globalThis.clearTimeout = this.real.clearTimeout
    performance.now = this.real.now
  }

  private earliest (): Timer | undefined {
    let best: Timer | undefined
    for (const timer of this.timers) {
      if (best === undefined || timer.at < best.at || (timer.at === best.at && timer.order < best.order)) best = timer
    }
    return best
  }
}

/** Resolves when every task waits for a timer. */
async function waitForTasks (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}
