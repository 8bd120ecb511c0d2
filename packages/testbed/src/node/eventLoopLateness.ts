/** Lateness of this process's event loop, by which measured times are too long. */
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const tickMs = 10

/** Records when the event loop of this process is late, which delays what callers and endpoints see. */
export class EventLoopLateness implements lifecycle.IDisposable {
  private readonly delays: Array<{ readonly from: number, readonly until: number }> = []
  private lastTickAt = performance.now()
  private readonly timer = setInterval(() => this.tick(), tickMs)

  /** Returns how long the event loop was late in a span. */
  within (from: number, until: number): number {
    return this.delays.reduce((sum, delay) => sum + Math.max(0, Math.min(until, delay.until) - Math.max(from, delay.from)), 0)
  }

  get longestMs (): number {
    return this.delays.reduce((longest, { from, until }) => Math.max(longest, until - from), 0)
  }

  clear (): void {
    this.delays.length = 0
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  private tick (): void {
    const now = performance.now()
    if (now - this.lastTickAt > 2 * tickMs) this.delays.push({ from: this.lastTickAt + tickMs, until: now })
    this.lastTickAt = now
  }
}
