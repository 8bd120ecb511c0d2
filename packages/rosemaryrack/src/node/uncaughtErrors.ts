/** Decides whether a process goes on after an exception that nothing has caught. */

/** Errors within the window after which the process ends all the same: its state may be damaged, or a timer fails each time. */
const maxErrors = 5
const windowMs = 60_000

/**
 * Uncaught exceptions and unhandled rejections of a process. Those of an entry instance are mostly the fault of one request, which must not
 * end all others. A control replica ends at the first one, since a log in doubt must not go on.
 */
export class UncaughtErrors {
  private times: readonly number[] = []
  private total = 0
  private hasStarted = false

  /** @param isTolerant whether the process may go on at all. */
  constructor (private readonly isTolerant: boolean, private readonly clock: { now(): number }) {}

  /** Number of errors so far. */
  get count (): number {
    return this.total
  }

  /** To be called once the process serves; an error during the start ends it. */
  start (): void {
    this.hasStarted = true
  }

  /** Counts an error; returns whether the process goes on. */
  mayGoOn (): boolean {
    const now = this.clock.now()
    this.times = [...this.times.filter((time) => time > now - windowMs), now]
    this.total++
    return this.isTolerant && this.hasStarted && this.times.length <= maxErrors
  }
}
