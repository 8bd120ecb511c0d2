/** Holds a response back whose end is known only by that of its connection, so that another endpoint can be tried if it breaks off. */
import * as heldBody from './heldBody.js'
import type * as httpAttempt from './httpAttempt.js'

/** Longest time for which a response is held back. */
const maxHoldMs = 1000

/** The head of a response and what has arrived of its body. */
export class HeldResponse {
  private readonly body = new heldBody.HeldBody()
  private readonly timer: NodeJS.Timeout

  /** @param onTimeout called when the response has been held back for as long as is allowed. */
  constructor (readonly head: httpAttempt.HttpHead, onTimeout: () => void) {
    this.timer = setTimeout(onTimeout, maxHoldMs)
  }

  /** Adds a part of the body; returns false, without adding it, if the response is too large to be held back. */
  add (chunk: Buffer): boolean {
    return this.body.add(chunk)
  }

  /** Ends the hold and returns the parts of the body. */
  release (): readonly Buffer[] {
    clearTimeout(this.timer)
    return this.body.release()
  }
}
