/** Chunks of a request body that a process holds, and what they count against the limits on memory. */
import type * as byteBudget from './byteBudget.js'

/** Memory of a chunk besides its bytes. */
const chunkOverheadBytes = 512
/** Chunks that are shorter together are held as one, so that few hold much more memory than their bytes. */
const joinedBytes = 4096

interface HeldChunk {
  readonly data: Buffer
  /** What it counts against the limits. */
  readonly countedBytes: number
}

/** Chunks by their index in the body; the first ones may have been dropped. */
export class HeldChunks {
  private chunks: HeldChunk[] = []
  /** Memory of the last chunk, if it is made of several. */
  private block: Buffer | undefined
  private droppedCount = 0
  private countedBytes = 0

  /**
   * @param maxBytes that the chunks may count.
   * @param budget what all bodies of the process may count together.
   */
  constructor (private readonly maxBytes: number, private readonly budget: byteBudget.ByteBudget) {}

  /** Index of the first chunk that is held. */
  get start (): number {
    return this.droppedCount
  }

  /** Index behind the last chunk. */
  get end (): number {
    return this.droppedCount + this.chunks.length
  }

  /** The chunks that are held. */
  get data (): readonly Buffer[] {
    return this.chunks.map(({ data }) => data)
  }

  at (index: number): Buffer | undefined {
    return this.chunks[index - this.droppedCount]?.data
  }

  /** Adds a chunk that doesn't count. */
  add (data: Buffer): void {
    this.chunks.push({ data, countedBytes: 0 })
  }

  /** Adds a chunk that doesn't count, and joins it with the one before if both are short; must not be called once chunks are read. */
  addJoined (data: Buffer): void {
    const last = this.chunks.at(-1)
    if (last === undefined || last.data.length + data.length > joinedBytes) {
      this.add(data)
      return
    }
    // The first bytes of a new block are those that were held before; later ones are written behind them.
    const block = this.block?.buffer === last.data.buffer ? this.block : Buffer.allocUnsafeSlow(joinedBytes)
    if (block !== this.block) last.data.copy(block)
    data.copy(block, last.data.length)
    this.block = block
    this.chunks[this.chunks.length - 1] = { data: block.subarray(0, last.data.length + data.length), countedBytes: 0 }
  }

  /** Adds a chunk that counts; returns false, without adding it, if a limit is reached. */
  addCounted (data: Buffer): boolean {
    const countedBytes = data.length + chunkOverheadBytes
    if (!this.takeBudget(countedBytes)) return false
    this.chunks.push({ data, countedBytes })
    return true
  }

  /** Lets the chunks count that were added without; returns false, without change, if a limit is reached. */
  countAll (): boolean {
    const counted = this.chunks.map(({ data }) => ({ data, countedBytes: data.length + chunkOverheadBytes }))
    if (!this.takeBudget(sumCounted(counted) - sumCounted(this.chunks))) return false
    this.chunks = counted
    return true
  }

  dropBefore (index: number): void {
    const dropped = this.chunks.splice(0, Math.max(0, index - this.droppedCount))
    this.droppedCount += dropped.length
    const countedBytes = sumCounted(dropped)
    this.countedBytes -= countedBytes
    this.budget.giveBack(countedBytes)
  }

  /** Drops all chunks, and lets the next one follow them. */
  dropAll (): void {
    this.dropBefore(this.end)
  }

  private takeBudget (bytes: number): boolean {
    if (this.countedBytes + bytes > this.maxBytes || !this.budget.take(bytes)) return false
    this.countedBytes += bytes
    return true
  }
}

function sumCounted (chunks: readonly HeldChunk[]): number {
  return chunks.reduce((sum, { countedBytes }) => sum + countedBytes, 0)
}
