/** Model of an endpoint with slots and a queue, for tests that play a load. */
import type * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import type * as loadProbing from '../common/loadProbing.js'

/** Runs calls in their order, as many at once as it has slots; how long one takes is up to the load that is played. */
export abstract class SlottedEndpoint {
  protected running = 0
  private readonly queue: Array<() => void> = []

  constructor (protected readonly clock: manualClock.ManualClock, protected readonly slots: number) {}

  get report (): loadProbing.LoadReport {
    return { running: this.running, waiting: this.queue.length, slots: this.slots, slowdown: this.slowdown }
  }

  /** Calls `done` at the end of a call, which may have to wait first. */
  serve (done: () => void): void {
    if (this.running === this.slots) {
      this.queue.push(() => this.serve(done))
      return
    }
    this.running++
    this.work(() => {
      this.running--
      done()
      this.queue.shift()?.()
    })
  }

  /** How long work takes at this moment, 1 as usual. */
  abstract readonly slowdown: number
  protected abstract work (done: () => void): void
}
