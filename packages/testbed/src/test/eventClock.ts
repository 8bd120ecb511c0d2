/** A manual clock for many thousands of timers. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

interface Timer {
  readonly at: number
  readonly order: number
  run: (() => void) | undefined
}

/** Clock whose time changes only in `advance`; timers are kept in a binary heap. */
export class EventClock implements clock.IClock {
  private readonly heap: Timer[] = []
  private time = 0
  private order = 0

  now (): number {
    return this.time
  }

  after (ms: number, fn: () => void): () => void {
    const timer: Timer = { at: this.time + ms, order: this.order++, run: fn }
    let i = this.heap.push(timer) - 1
    for (let parent = (i - 1) >> 1; i > 0 && isBefore(timer, this.heap[parent]!); parent = (i - 1) >> 1) {
      this.heap[i] = this.heap[parent]!
      i = parent
    }
    this.heap[i] = timer
    return () => { timer.run = undefined }
  }

  advance (ms: number): void {
    const end = this.time + ms
    for (let next = this.heap[0]; next !== undefined && next.at <= end; next = this.heap[0]) {
      this.removeFirst()
      if (next.run === undefined) continue
      this.time = next.at
      next.run()
    }
    this.time = end
  }

  private removeFirst (): void {
    const last = this.heap.pop()!
    const { length } = this.heap
    if (length === 0) return
    let i = 0
    for (let child = 1; child < length; child = 2 * i + 1) {
      if (child + 1 < length && isBefore(this.heap[child + 1]!, this.heap[child]!)) child++
      if (!isBefore(this.heap[child]!, last)) break
      this.heap[i] = this.heap[child]!
      i = child
    }
    this.heap[i] = last
  }
}

function isBefore (a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
