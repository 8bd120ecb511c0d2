/** Model of an endpoint with slots and a queue, for tests that simulate load. */
import type * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import type * as loadProbing from '../common/loadProbing.js'

/** Runs calls in order of arrival, as many at once as it has slots; subclasses determine how long a call takes. */
export abstract class SlottedEndpoint {
  protected running = 0
  private readonly queue: Array<() => void> = []

  constructor (protected readonly clock: manualClock.ManualClock, protected readonly slots: number) {}

  get report (): loadProbing.LoadReport {
    return { running: this.running, waiting: this.queue.length, slots: this.slots, slowdown: this.slowdown }
  }

  /** Runs a call, which may be queued first, and calls `done` at its end. */
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

  /** Factor on the processing time at this moment, 1 at the usual speed. */
  abstract readonly slowdown: number
  /** Processes a call and calls `done` at its end. */
  protected abstract work (done: () => void): void
}
