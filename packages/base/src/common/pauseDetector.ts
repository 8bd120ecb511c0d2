/** Detects pauses of this process from the gap between two ticks of a timer. */
import * as event from './event.js'
import type * as lifecycle from './lifecycle.js'

/** Pauses of `minPauseMs` or more are always detected. Those up to `tickMs` shorter are detected only sometimes, depending on the time since the last tick. */
const tickMs = 250
const minPauseMs = 1000
const staleInputMs = 300

/** Detects process pauses, after which received data may have waited in a buffer for longer than its reception time suggests. */
export class PauseDetector implements lifecycle.IDisposable {
  private readonly resumedEmitter = new event.Emitter<number>()
  /** Fires after a pause, with its length in milliseconds. */
  readonly onResumed = this.resumedEmitter.event
  private readonly timer = setInterval(() => this.check(), tickMs)
  private lastTickAt = performance.now()
  private resumedAt = -Infinity

  /** Checks for a pause; returns true when input read now may have been buffered during one. */
  check (): boolean {
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
