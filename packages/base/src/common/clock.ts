/** Clock interface, so that tests and the bench can run on virtual time. */

/** A monotonic clock with timers. */
export interface IClock {
  /** Milliseconds since an arbitrary start. */
  now(): number
  /** Calls `fn` after `ms`; returns a function that cancels it. */
  after(ms: number, fn: () => void): () => void
}

/** The process's monotonic clock. */
export class SystemClock implements IClock {
  now (): number {
    return performance.now()
  }

  after (ms: number, fn: () => void): () => void {
    const timer = setTimeout(fn, ms)
    return () => clearTimeout(timer)
  }
}
