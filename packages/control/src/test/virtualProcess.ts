/** Processes in virtual time, whose event loops can be paused: their timers and what they receive wait until the pause ends. */
import * as asyncHooks from 'node:async_hooks'

const current = new asyncHooks.AsyncLocalStorage<VirtualTask>()

/** What a task waits for besides its time. */
interface VirtualTask {
  readonly process: VirtualProcess
  /** Whether it waits for a message; after a pause these come after the timers, as in an event loop. */
  readonly isMessage: boolean
}

/** The task that is running; undefined for the test itself and for messages on their way. */
export function currentTask (): VirtualTask | undefined {
  return current.getStore()
}

/** Runs what belongs to no process, such as the transfer of a message. */
export function runOutside<T> (run: () => T): T {
  return current.exit(run)
}

/** One process. */
export class VirtualProcess {
  private endOfPauseMs = -Infinity

  /** Time at which the current or the last pause ends. */
  get pausedUntilMs (): number {
    return this.endOfPauseMs
  }

  pause (untilMs: number): void {
    this.endOfPauseMs = Math.max(this.endOfPauseMs, untilMs)
  }

  /** Runs a task of this process. */
  run<T> (run: () => T): T {
    return current.run({ process: this, isMessage: false }, run)
  }

  /** Resolves when the process reads a message that takes `delayMs` to arrive. */
  async receive (delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      current.run({ process: this, isMessage: true }, () => setTimeout(resolve, delayMs))
    })
  }
}
