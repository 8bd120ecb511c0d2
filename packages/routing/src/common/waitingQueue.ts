/** Queue of calls that wait for a slot, ordered by priority and then by deadline. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

const namedRanks: { readonly [P in Extract<configDocument.LanePriority, string>]: number } = { urgent: 0, normal: 1, bulk: 2 }

/** Returns the rank of a priority; the lowest rank is served first. */
function rankOf (priority: configDocument.LanePriority): number {
  return typeof priority === 'number' ? priority : namedRanks[priority]
}

/** Holds what determines the position of a call in the queue. */
export interface QueuedCall {
  readonly priority: configDocument.LanePriority
  readonly deadlineAt: number
}

/** Sorted array. Insertion moves the items behind the new one, which is cheap because deadlines limit the wait and so keep queues short. */
export class WaitingQueue<T extends QueuedCall> {
  private items: T[] = []

  get length (): number {
    return this.items.length
  }

  add (item: T): void {
    this.items.splice(this.position(item), 0, item)
  }

  remove (item: T): void {
    const index = this.items.indexOf(item)
    if (index >= 0) this.items.splice(index, 1)
  }

  /** Returns a copy of the items in order. */
  snapshot (): readonly T[] {
    return [...this.items]
  }

  /** Yields the items in order, without those that are removed meanwhile. */
  * waiting (): Generator<T> {
    for (const item of this.snapshot()) {
      if (this.items.includes(item)) yield item
    }
  }

  /** Returns the number of items that would be served before a call. */
  position (item: QueuedCall): number {
    let low = 0
    let high = this.items.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (isBefore(item, this.items[middle]!)) high = middle
      else low = middle + 1
    }
    return low
  }
}

function isBefore (a: QueuedCall, b: QueuedCall): boolean {
  const rankDifference = rankOf(a.priority) - rankOf(b.priority)
  return rankDifference !== 0 ? rankDifference < 0 : a.deadlineAt < b.deadlineAt
}
