/** A clock that jumps from event to event, so that a run takes as long on any machine. */
import * as tinyQueue from 'tinyqueue'
import type * as clock from '@rosemaryrack/base/common/clock.js'

const TinyQueue = tinyQueue.default

interface TimedEvent {
  readonly at: number
  readonly order: number
  fn: (() => void) | undefined
}

/** Events at the same time run in the order they were added. */
export class VirtualClock implements clock.IClock {
  private readonly queue = new TinyQueue<TimedEvent>([], (a, b) => a.at - b.at || a.order - b.order)
  private time = 0
  private added = 0

  now (): number {
    return this.time
  }

  after (ms: number, fn: () => void): () => void {
    const timed: TimedEvent = { at: this.time + Math.max(0, ms), order: this.added++, fn }
    this.queue.push(timed)
    return () => { timed.fn = undefined }
  }

  /** Runs all events up to a time. */
  runUntil (end: number): void {
    for (let next = this.queue.peek(); next !== undefined && next.at <= end; next = this.queue.peek()) {
      this.queue.pop()
      this.time = next.at
      next.fn?.()
    }
    this.time = end
  }
}
