/** Events: an emitter calls its listeners in the order of their registration. */
import * as lifecycle from './lifecycle.js'

/** Registers a listener; disposing the result unregisters it. */
export type Event<T> = (listener: (value: T) => void) => lifecycle.IDisposable

/** Fires an event to its listeners. */
export class Emitter<T> implements lifecycle.IDisposable {
  private readonly listeners = new Set<(value: T) => void>()

  readonly event: Event<T> = (listener) => {
    this.listeners.add(listener)
    return lifecycle.toDisposable(() => this.listeners.delete(listener))
  }

  fire (value: T): void {
    for (const listener of [...this.listeners]) listener(value)
  }

  dispose (): void {
    this.listeners.clear()
  }
}
