/** Objects that hold resources and release them. */

/** Something that holds a resource until it is disposed. */
export interface IDisposable {
  dispose(): void
}

/** Wraps a function as a disposable that runs it once. */
export function toDisposable (fn: () => void): IDisposable {
  let done = false
  return {
    dispose () {
      if (done) return
      done = true
      fn()
    }
  }
}

/** Disposes all items that were added to it, last one first. */
export class DisposableStore implements IDisposable {
  private readonly items: IDisposable[] = []
  private disposed = false

  /** Adds an item; disposes it immediately if the store is already disposed. */
  add<T extends IDisposable> (item: T): T {
    if (this.disposed) item.dispose()
    else this.items.push(item)
    return item
  }

  /** Runs `fn` every `intervalMs` until the store is disposed. */
  addInterval (fn: () => void, intervalMs: number): void {
    const timer = setInterval(fn, intervalMs)
    this.add(toDisposable(() => clearInterval(timer)))
  }

  dispose (): void {
    this.disposed = true
    for (const item of this.items.splice(0).reverse()) item.dispose()
  }
}
