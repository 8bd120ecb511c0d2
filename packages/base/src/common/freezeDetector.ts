/** Notices that this process stood still, from a gap between two ticks of a timer. */
import * as event from './event.js'
import type * as lifecycle from './lifecycle.js'

/** Standstills are seen from `gapMs` on; those that are up to a tick shorter only by chance. */
const tickMs = 250
const gapMs = 1000
const staleInputMs = 300

/** Data that was received while the process stood still is older than it looks. */
export class FreezeDetector implements lifecycle.IDisposable {
  private readonly thawEmitter = new event.Emitter<number>()
  /** Fires after a standstill, with its length in milliseconds. */
  readonly onThaw = this.thawEmitter.event
  private readonly timer = setInterval(() => this.check(), tickMs)
  private lastTickAt = performance.now()
  private thawedAt = -Infinity

  /** True when input that is read now may have waited in a buffer during a standstill. */
  check (): boolean {
    const now = performance.now()
    const gap = now - this.lastTickAt
    this.lastTickAt = now
    if (gap > gapMs) {
      this.thawedAt = now
      this.thawEmitter.fire(gap)
    }
    return now - this.thawedAt < staleInputMs
  }

  dispose (): void {
    clearInterval(this.timer)
    this.thawEmitter.dispose()
  }
}
