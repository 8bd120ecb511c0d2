/** Interfaces of the transport that carries attempts to targets. */
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'

/** Head of a response. */
export interface ResponseHead {
  readonly status: number
  /** True if the target states that it did not run the request. */
  readonly notRun: boolean
}

/**
 * Failure of an attempt before the head of a response: the target refused the connection, the request was not sent for another
 * reason, the connection was lost after the request was sent, or no response came in time.
 */
export type AttemptFailure =
  | { readonly kind: 'refused', readonly message: string }
  /** The request was certainly not sent. */
  | { readonly kind: 'not-written', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }
  /** The attempt timed out without a response. */
  | { readonly kind: 'silent', readonly message: string }

/** Receives the events of an attempt: either a failure, or a head and later the end of the body. */
export interface IAttemptEvents {
  onHead(head: ResponseHead): void
  /**
   * Called when a response has begun whose body ends with its connection. Returns whether it is held back until it is complete: if its
   * connection is reset then, the attempt fails as if no response had begun.
   */
  tryHoldBack(head: ResponseHead): boolean
  onFailure(failure: AttemptFailure): void
  /** Called when the response is complete, or the rest of its body will not be read. */
  onBodyEnd(): void
}

/** An attempt in flight. */
export interface IAttempt {
  /** True once a byte of the request may have reached the target. */
  readonly written: boolean
  /** Reports a response that is held back at once; does nothing if there is none. */
  deliverHeld(): void
  /** Cancels the attempt; no event follows, except `onBodyEnd` if the head was reported. */
  cancel(): void
  /** Cancels the attempt after a timeout; if its request was sent, the connections that are open to the target now are not reused. */
  abandon(): void
}

/** Result of a health check by new connections; `unsure`: one connection was accepted, which also happens while a process is ending. */
export type TargetHealth = 'down' | 'unsure' | 'up'

/** Sends attempts to targets. */
export interface ITransport {
  /** False while an attempt that is started would not be sent, whatever its target; without it, none is held back. */
  readonly canStart?: boolean
  /**
   * Starts an attempt.
   * @param isNewConnection whether to open a new connection, because the open ones may be broken.
   */
  start(endpoint: endpointTable.Endpoint, events: IAttemptEvents, isNewConnection: boolean): IAttempt
  /**
   * Checks whether a target still accepts connections after one was lost; the new connection is kept for reuse.
   * @param canCheckAgain returns whether the budget for health checks allows a second check, which is extra load on the target.
   */
  checkTarget(endpoint: endpointTable.Endpoint, canCheckAgain: () => boolean, done: (health: TargetHealth) => void): void
}
