/** Holds responses back whose end is known only by that of their connection. */
import * as byteBudget from './byteBudget.js'
import type * as httpAttempt from './httpAttempt.js'

/** Longest time for which a response is held back. */
const maxHoldMs = 1000
const maxHeldBytes = 256 * 1024
const maxHeldBytesOfProcess = 8 * 1024 * 1024

const processBudget = new byteBudget.ByteBudget(maxHeldBytesOfProcess)

/** The head of a response and what has arrived of its body. */
export class HeldResponse {
  private readonly chunks: Buffer[] = []
  private bytes = 0
  private readonly timer: NodeJS.Timeout

  /** @param onTimeout called when the response has been held back for as long as is allowed. */
  constructor (readonly head: httpAttempt.HttpHead, onTimeout: () => void) {
    this.timer = setTimeout(onTimeout, maxHoldMs)
  }

  /** Adds a part of the body; returns false, without adding it, if the response is too large to be held back. */
  add (chunk: Buffer): boolean {
    if (this.bytes + chunk.length > maxHeldBytes || !processBudget.take(chunk.length)) return false
    this.bytes += chunk.length
    this.chunks.push(chunk)
    return true
  }

  /** Ends the hold and returns the parts of the body; to be called once. */
  release (): readonly Buffer[] {
    clearTimeout(this.timer)
    processBudget.giveBack(this.bytes)
    return this.chunks
  }
}
