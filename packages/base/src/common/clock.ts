/** Clock interface, so that tests and the bench can run on virtual time. */

/** Longest delay of a timer; the runtime fires one with a longer delay at once. */
export const maxTimerMs = 2 ** 31 - 1

/** A monotonic clock with timers. */
export interface IClock {
  /** Milliseconds since an arbitrary start. */
  now(): number
  /** Calls `fn` after `ms`, or `maxTimerMs` if that is less; returns a function that cancels it. */
  after(ms: number, fn: () => void): () => void
}

/** The process's monotonic clock. */
export class SystemClock implements IClock {
  now (): number {
    return performance.now()
  }

  after (ms: number, fn: () => void): () => void {
    const timer = setTimeout(fn, Math.min(ms, maxTimerMs))
    return () => clearTimeout(timer)
  }
}
