/** Simulated timers and monotonic clock, which advance as soon as all tasks wait for a timer. */
import * as virtualProcess from './virtualProcess.js'

interface Timer {
  readonly at: number
  readonly order: number
  readonly run: () => void
  /** Task that created it; the timer waits for the end of a pause of its process. */
  readonly task: ReturnType<typeof virtualProcess.currentTask>
  /** Whether it belongs to the end of the turn, after timers and messages. */
  readonly isImmediate: boolean
}

/** Replaces the global timers and `performance.now` until it is disposed. */
export class VirtualTime {
  private readonly timers = new Set<Timer>()
  private readonly real = { setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, setImmediate: globalThis.setImmediate, now: performance.now }
  private nowMs = 0
  private order = 0

  constructor () {
    globalThis.setTimeout = ((run: () => void, ms = 0) => {
      return this.add(run, ms, false)
    }) as unknown as typeof setTimeout
    globalThis.setImmediate = ((run: () => void) => {
      return this.add(run, 0, true)
    }) as unknown as typeof setImmediate
    globalThis.clearTimeout = ((timer: Timer | undefined) => {
      if (timer !== undefined) this.timers.delete(timer)
    }) as unknown as typeof clearTimeout
    performance.now = () => this.nowMs
  }

  get now (): number {
    return this.nowMs
  }

  /** Advances the time up to `ms`, or until a condition holds. */
  async runUntil (ms: number, isDone: () => boolean = () => false): Promise<void> {
    while (!isDone()) {
      await this.waitForTasks()
      const next = this.earliest()
      if (next === undefined || dueMs(next) > ms) break
      this.timers.delete(next)
      this.nowMs = Math.max(this.nowMs, dueMs(next))
      next.run()
    }
    if (!isDone()) this.nowMs = Math.max(this.nowMs, ms)
  }

  /** Restores the real timers once all tasks wait for one. Tasks that still wait are never resumed. */
  async dispose (): Promise<void> {
    await this.waitForTasks()
    globalThis.setImmediate = this.real.setImmediate
    globalThis.setTimeout = this.real.setTimeout
    globalThis.clearTimeout = this.real.clearTimeout
    performance.now = this.real.now
  }

  /** Resolves when every task waits for a timer. */
  private async waitForTasks (): Promise<void> {
    await new Promise((resolve) => this.real.setImmediate(resolve))
  }

  private add (run: () => void, ms: number, isImmediate: boolean): Timer {
    const timer: Timer = { at: this.nowMs + Math.max(0, ms), order: this.order++, run, task: virtualProcess.currentTask(), isImmediate }
    this.timers.add(timer)
    return timer
  }

  private earliest (): Timer | undefined {
    let best: Timer | undefined
    for (const timer of this.timers) {
      if (best === undefined || compare(timer, best) < 0) best = timer
    }
    return best
  }
}

function dueMs ({ at, task }: Timer): number {
  return Math.max(at, task?.process.pausedUntilMs ?? -Infinity)
}

/** Position in a turn of the event loop. */
function phaseOf ({ task, isImmediate }: Timer): number {
  if (isImmediate) return 2
  return task?.isMessage === true ? 1 : 0
}

function compare (a: Timer, b: Timer): number {
  return dueMs(a) - dueMs(b) || phaseOf(a) - phaseOf(b) || a.at - b.at || a.order - b.order
}
