/** Parts of response bodies that are held back in memory. */
import * as byteBudget from './byteBudget.js'

const maxHeldBytes = 256 * 1024
const maxHeldBytesOfProcess = 8 * 1024 * 1024

const processBudget = new byteBudget.ByteBudget(maxHeldBytesOfProcess)

/** What has arrived of a body, within a limit of its own and one of the process. */
export class HeldBody {
  private chunks: Buffer[] = []
  private bytes = 0

  /** Adds a part of the body; returns false, without adding it, if a limit is reached. */
  add (chunk: Buffer): boolean {
    if (this.bytes + chunk.length > maxHeldBytes || !processBudget.take(chunk.length)) return false
    this.bytes += chunk.length
    this.chunks.push(chunk)
    return true
  }

  /** Returns the parts, and holds none of them any more. */
  release (): readonly Buffer[] {
    const { chunks } = this
    processBudget.giveBack(this.bytes)
    this.bytes = 0
    this.chunks = []
    return chunks
  }
}
