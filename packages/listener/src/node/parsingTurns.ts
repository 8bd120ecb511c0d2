/** Round-robin scheduling of connections that parse bodies in chunks: one part per turn of the event loop, so that other events are handled between them. */

/** Turns of all connections of a listener. */
export class ParsingTurns {
  /** In the order of their requests for a turn. */
  private readonly waiting = new Set<() => void>()
  private isScheduled = false

  /** Number of connections that wait for a turn. */
  get waitingCount (): number {
    return this.waiting.size
  }

  /** Takes the current turn of the event loop if it is free and no connection waits. */
  tryTake (): boolean {
    if (this.isScheduled) return false
    this.schedule()
    return true
  }

  /** Calls `parse`, once, in a later turn of its own. */
  wait (parse: () => void): void {
    this.waiting.add(parse)
    this.schedule()
  }

  /** Withdraws a request for a turn. */
  leave (parse: () => void): void {
    this.waiting.delete(parse)
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => this.runNext())
  }

  private runNext (): void {
    this.isScheduled = false
    const [next] = this.waiting
    if (next === undefined) return
    this.waiting.delete(next)
    this.schedule()
    next()
  }
}
