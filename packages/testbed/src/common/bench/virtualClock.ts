/** Clock of a simulation: it advances to the time of each event, so results do not depend on the machine's speed. */
import * as tinyQueue from 'tinyqueue'
import type * as clock from '@rosemaryrack/base/common/clock.js'

const TinyQueue = tinyQueue.default

interface TimedEvent {
  readonly at: number
  readonly order: number
  fn: (() => void) | undefined
}

/** Runs events in order of time; events of the same time run in the order in which they were added. */
export class VirtualClock implements clock.IClock {
  private readonly queue = new TinyQueue<TimedEvent>([], (a, b) => a.at - b.at || a.order - b.order)
  private time = 0
  private addedCount = 0

  now (): number {
    return this.time
  }

  after (ms: number, fn: () => void): () => void {
    const event: TimedEvent = { at: this.time + Math.max(0, ms), order: this.addedCount++, fn }
    this.queue.push(event)
    return () => { event.fn = undefined }
  }

  /** Runs all events up to and including a time. */
  runUntil (end: number): void {
    for (let next = this.queue.peek(); next !== undefined && next.at <= end; next = this.queue.peek()) {
      this.queue.pop()
      this.time = next.at
      next.fn?.()
    }
    this.time = end
  }
}
