/** Estimates from recent writes how long the next one takes. */

/** Time after which a measured duration counts half. */
const halfLifeMs = 10_000

/** Measures writes; the estimate is the longest recent one, or the one in progress if that has taken longer. */
export class WriteDurations {
  private longestMs = 0
  private measuredAt = 0
  private readonly inProgress = new Set<{ readonly startedAt: number }>()

  /** Milliseconds that the next write is expected to take; 0 as long as nothing is known. */
  get expectedMs (): number {
    const now = performance.now()
    const running = [...this.inProgress].map(({ startedAt }) => now - startedAt)
    return Math.max(this.longestMs * 0.5 ** ((now - this.measuredAt) / halfLifeMs), ...running)
  }

  /** Runs a write and measures it, whether it succeeds or not. */
  async measure<T> (write: () => Promise<T>): Promise<T> {
    const started = { startedAt: performance.now() }
    this.inProgress.add(started)
    try {
      return await write()
    } finally {
      // The write in progress is part of the estimate.
      this.longestMs = this.expectedMs
      this.measuredAt = performance.now()
      this.inProgress.delete(started)
    }
  }
}
