/** Queued calls that can no longer be served in time, since others are served before them. */
import type * as slotAssignment from './slotAssignment.js'
import type * as waitingQueue from './waitingQueue.js'

/** A call that waits for a slot. */
export interface Waiter extends waitingQueue.QueuedCall {
  readonly request: slotAssignment.SlotRequest
  readonly queuedAt: number
  readonly done: (outcome: slotAssignment.SlotOutcome) => void
  readonly cancelTimer: () => void
}

/** A call to refuse, with the time after which it would be served. */
export interface DisplacedCall {
  readonly waiter: Waiter
  readonly waitMs: number
}

/**
 * Returns the calls to refuse.
 * @param msPerCall time in which the queue moves up by one call.
 */
export function findDisplaced (queue: waitingQueue.WaitingQueue<Waiter>, msPerCall: number, now: number): readonly DisplacedCall[] {
  const displaced: DisplacedCall[] = []
  queue.snapshot().forEach((waiter, i) => {
    const { request: { lane, typicalMs }, queuedAt, deadlineAt } = waiter
    // The calls after a refused one move up.
    const waitMs = (i - displaced.length + 1) * msPerCall
    if (now + waitMs > Math.min(queuedAt + lane.maxWaitMs, deadlineAt - typicalMs)) displaced.push({ waiter, waitMs })
  })
  return displaced
}
