/** An attempt of a call from its start until the head of its response or its failure. */
import type * as slotAssignment from './slotAssignment.js'
import type * as transport from './transport.js'

/** An attempt in flight and the slot that it occupies. */
export interface RunningAttempt {
  readonly placement: slotAssignment.Placement
  readonly startedAt: number
  handle: transport.IAttempt | undefined
  /** Time on the clock at which a response began that is held back. */
  respondedAt?: number
  cancelTimeout: () => void
}

/** Returns whether a byte of any of the attempts may have reached its target. */
export function isAnySent (attempts: Iterable<RunningAttempt>): boolean {
  return [...attempts].some(({ handle }) => handle?.written === true)
}

/** Reports the responses that are held back. */
export function deliverHeld (attempts: ReadonlySet<RunningAttempt>): void {
  for (const { handle } of attempts) handle?.deliverHeld()
}
