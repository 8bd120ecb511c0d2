/** Signals that may arrive before the process can act on them. */

/** Keeps a signal from its construction on, instead of its default action, and passes it on once there is a handler. */
export class HeldSignal {
  private isPending = false
  private handler: (() => void) | undefined

  constructor (name: NodeJS.Signals) {
    process.on(name, () => {
      if (this.handler === undefined) this.isPending = true
      else this.handler()
    })
  }

  /** Calls the handler at each signal from now on, and now if the signal has already arrived. */
  handle (handler: () => void): void {
    this.handler = handler
    if (this.isPending) handler()
    this.isPending = false
  }
}
