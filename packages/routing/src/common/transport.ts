/** What carries a call's attempts to targets, and what it tells of them. */
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number
  /** The target itself says that it didn't run the request. */
  readonly notRun: boolean
}

/**
 * How an attempt failed before the head of an answer: the target refused the connection, it could not be
 * reached, the connection was lost after the request was sent, or nothing was heard.
 */
export type AttemptFailure =
  | { readonly kind: 'refused', readonly message: string }
  | { readonly kind: 'not-written', readonly message: string }
  | { readonly kind: 'lost', readonly message: string }
  | { readonly kind: 'silent', readonly message: string }

/** What a transport tells of an attempt: either a failure, or a head and later the end of the body. */
export interface IAttemptEvents {
  onHead(head: AnswerHead): void
  onFailure(failure: AttemptFailure): void
  /** The answer is complete, or its rest was given up. */
  onBodyEnd(): void
}

/** A running attempt. */
export interface IAttempt {
  /** True once a byte of the request may have reached the target. */
  readonly written: boolean
  /** Ends the attempt; no event follows. */
  cancel(): void
  /** Ends the attempt because nothing was heard: connections as old as its own are no longer trusted. */
  abandon(): void
}

/** What a new connection tells of a target: a process that is ending may accept it once more. */
export type TargetHealth = 'dead' | 'unsure' | 'alive'

/** Carries requests to targets. */
export interface ITransport {
  /** @param fresh asks for a new connection: those that are open may have gone silent. */
  start(endpoint: endpointTable.Endpoint, events: IAttemptEvents, fresh: boolean): IAttempt
  /**
   * Replaces a lost connection, which tells whether the target still accepts any.
   * @param mayMeasure asked before a second look, which is load that only measuring causes.
   */
  replaceConnection(endpoint: endpointTable.Endpoint, mayMeasure: () => boolean, done: (health: TargetHealth) => void): void
}
