/** Calls that wait for a slot, the urgent lanes' first, within a priority the earliest deadline first. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

const namedRanks: { readonly [P in Extract<configDocument.LanePriority, string>]: number } = { urgent: 0, normal: 1, bulk: 2 }

/** Rank of a priority; the lowest goes first. */
function rankOf (priority: configDocument.LanePriority): number {
  return typeof priority === 'number' ? priority : namedRanks[priority]
}

/** What orders a waiting call. */
export interface Waiting {
  readonly priority: configDocument.LanePriority
  readonly deadlineAt: number
}

/** Small ordered list; queues are bounded by deadlines, so they stay short. */
export class WaitingQueue<T extends Waiting> {
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

  /** Items in order, as they stood at the call. */
  snapshot (): readonly T[] {
    return [...this.items]
  }

  /** How many would stand before a call. */
  position (item: Waiting): number {
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

function isBefore (a: Waiting, b: Waiting): boolean {
  const ranks = rankOf(a.priority) - rankOf(b.priority)
  return ranks !== 0 ? ranks < 0 : a.deadlineAt < b.deadlineAt
}
