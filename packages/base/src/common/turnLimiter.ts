/** Spreads work that is due at once over several turns of the event loop, so that input is handled in between. */
export class TurnLimiter {
  private readonly waiting: Array<() => void> = []
  private startedInTurn = 0

  /** @param maxPerTurn number of tasks that start in one turn. */
  constructor (private readonly maxPerTurn: number) {}

  /** Resolves when the task may start, in the order of the calls. */
  async enter (): Promise<void> {
    if (this.startedInTurn >= this.maxPerTurn) {
      await new Promise<void>((resolve) => { this.waiting.push(resolve) })
      return
    }
    if (this.startedInTurn === 0) setImmediate(() => this.beginTurn())
    this.startedInTurn++
  }

  private beginTurn (): void {
    const started = this.waiting.splice(0, this.maxPerTurn)
    this.startedInTurn = started.length
    if (started.length > 0) setImmediate(() => this.beginTurn())
    for (const start of started) start()
  }
}
