/** Events: a source fires, listeners are called in order. */
import * as lifecycle from './lifecycle.js'

/** Registers a listener; dispose the result to stop listening. */
export type Event<T> = (listener: (value: T) => void) => lifecycle.IDisposable

/** Source of an event. */
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
