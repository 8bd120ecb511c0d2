/** Slows down connections that go on sending ahead while their requests are refused: refusing takes processor time too. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

/** Shortest time for which such a connection is not read. */
const minPauseMs = 100
/** Time between the ends of two pauses: with 16 requests of a connection at a time, 1,600 such requests per second are refused. */
const spacingMs = 10

/** Pauses of all connections of an instance. */
export class RefusalPacing {
  private lastEndsAt = -Infinity
  private paused = 0

  constructor (private readonly clock: clock.IClock) {}

  /** Number of connections that are paused. */
  get pausedCount (): number {
    return this.paused
  }

  /** Calls `resume` when a connection may be read again; returns a function that ends the pause without that. */
  pause (resume: () => void): () => void {
    const now = this.clock.now()
    this.lastEndsAt = Math.max(now + minPauseMs, this.lastEndsAt + spacingMs)
    this.paused++
    let isOver = false
    const end = (): boolean => {
      if (isOver) return false
      isOver = true
      this.paused--
      return true
    }
    const cancelTimer = this.clock.after(this.lastEndsAt - now, () => { if (end()) resume() })
    return () => { if (end()) cancelTimer() }
  }
}
