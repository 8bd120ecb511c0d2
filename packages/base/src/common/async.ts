/** Helpers for asynchronous tasks. */

/** Resolves after `ms`, or earlier when the signal aborts. */
export function sleep (ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) return resolve()
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, ms)
    signal?.addEventListener('abort', finish)
  })
}

/** Resolves to true when the promise settles within `ms`, otherwise to false. What arrived while the process was paused counts. */
export async function settlesWithin (promise: Promise<unknown>, ms: number): Promise<boolean> {
  const stop = new AbortController()
  const outcome = await Promise.race([promise.then(() => true, () => true), sleep(ms, stop.signal).then(nextTurn).then(() => false)])
  stop.abort()
  return outcome
}

/** Resolves in the next turn of the event loop, after pending socket writes. */
export function nextTurn (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

/** A promise that is resolved or rejected from outside. */
export class Deferred<T> {
  resolve!: (value: T) => void
  reject!: (err: Error) => void
  readonly promise = new Promise<T>((resolve, reject) => {
    this.resolve = resolve
    this.reject = reject
  })
}

/**
 * Settles like the promise, or rejects with `timeoutError()` when that takes longer than `ms`. After a pause of the process timers come
 * before what arrived meanwhile, so the timeout counts one turn later.
 */
export async function withTimeout<T> (promise: Promise<T>, ms: number, timeoutError: () => Error): Promise<T> {
  const timeout = new Deferred<T>()
  const timer = setTimeout(() => { nextTurn().then(() => timeout.reject(timeoutError())) }, ms)
  try {
    return await Promise.race([promise, timeout.promise])
  } finally {
    clearTimeout(timer)
  }
}

/** Runs tasks one at a time, in the order of the calls of `run`. */
export class Sequencer {
  private last: Promise<unknown> = Promise.resolve()

  run<T> (task: () => Promise<T>): Promise<T> {
    const result = this.last.then(task, task)
    this.last = result.catch(() => {})
    return result
  }
}

/** Notifies all waiting tasks that a condition may have changed, so that they check it again. */
export class Signal {
  private readonly waiters = new Set<() => void>()

  /** Resolves at the next `notify`, or after `timeoutMs`, whichever comes first. */
  wait (timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      this.waiters.add(wake)
    })
  }

  notify (): void {
    for (const wake of [...this.waiters]) wake()
  }
}
