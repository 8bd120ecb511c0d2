/** Detects pauses of this process from the gap between two ticks of a timer. */
import * as event from './event.js'
import type * as lifecycle from './lifecycle.js'

const tickMs = 250
/**
 * Minimum gap between two ticks that counts as a pause. The gap includes the time between the last tick and the pause, so pauses
 * up to `tickMs` shorter may be detected too.
 */
const minPauseMs = 1000
/** Time after a pause during which input that is read may have been buffered in the pause. */
const staleInputMs = 300

/** Detects process pauses, after which received data may be older than the time at which it is read. */
export class PauseDetector implements lifecycle.IDisposable {
  private readonly resumedEmitter = new event.Emitter<number>()
  /** Fires after a pause, with its length in milliseconds. */
  readonly onResumed = this.resumedEmitter.event
  private readonly timer = setInterval(() => this.mayInputBeStale(), tickMs)
  private lastTickAt = performance.now()
  private resumedAt = -Infinity

  /** Checks for a pause, and returns whether input read now may have been buffered during one. */
  mayInputBeStale (): boolean {
    const now = performance.now()
    const elapsedMs = now - this.lastTickAt
    this.lastTickAt = now
    if (elapsedMs > minPauseMs) {
      this.resumedAt = now
      this.resumedEmitter.fire(elapsedMs)
    }
    return now - this.resumedAt < staleInputMs
  }

  dispose (): void {
    clearInterval(this.timer)
    this.resumedEmitter.dispose()
  }
}
