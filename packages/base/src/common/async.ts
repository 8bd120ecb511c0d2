/** Small helpers for tasks that wait. */

/** Resolves after `ms`, or at once when the signal aborts. */
export function sleep (ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) return resolve()
    const done = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', done)
      resolve()
    }
    const timer = setTimeout(done, ms)
    signal?.addEventListener('abort', done)
  })
}

/** Resolves with true when the promise settles within `ms`, else with false. */
export async function settlesWithin (promise: Promise<unknown>, ms: number): Promise<boolean> {
  const stop = new AbortController()
  const outcome = await Promise.race([promise.then(() => true, () => true), sleep(ms, stop.signal).then(() => false)])
  stop.abort()
  return outcome
}

/** Resolves once the event loop has come round and written what tasks handed to sockets before. */
export function nextTurn (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

/** A promise with its resolver at hand. */
export class Deferred<T> {
  resolve!: (value: T) => void
  reject!: (err: Error) => void
  readonly promise = new Promise<T>((resolve, reject) => {
    this.resolve = resolve
    this.reject = reject
  })
}

/** Settles as the promise does, or rejects with `lateError()` when that takes longer than `ms`. */
export async function within<T> (promise: Promise<T>, ms: number, lateError: () => Error): Promise<T> {
  const late = new Deferred<T>()
  const timer = setTimeout(() => late.reject(lateError()), ms)
  try {
    return await Promise.race([promise, late.promise])
  } finally {
    clearTimeout(timer)
  }
}

/** Runs tasks one after the other in the order they were given. */
export class Sequencer {
  private last: Promise<unknown> = Promise.resolve()

  run<T> (task: () => Promise<T>): Promise<T> {
    const result = this.last.then(task, task)
    this.last = result.catch(() => {})
    return result
  }
}

/** Wakes all tasks that wait for a condition to be looked at again. */
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
