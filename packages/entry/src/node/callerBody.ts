/** Body of a caller's request: received once, and held while it may have to be sent again. */
import type * as http from 'node:http'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as bodyContent from './bodyContent.js'
import type * as bodyTransfers from './bodyTransfers.js'
import * as byteBudget from './byteBudget.js'

/** Bytes that are received before the first attempt; a body that ends within them doesn't count against the limits on held bytes. */
const shortBodyBytes = 65_536
const maxHeldBytesOfBody = 8 * 1024 * 1024
const maxHeldBytesOfProcess = 32 * 1024 * 1024
/** Memory of a held chunk besides its bytes. */
const chunkOverheadBytes = 256
/** Limits on reading the rest of a body whose request already has its response. */
const maxDiscardedBytes = 1_048_576
const discardTimeoutMs = 5000

const processBudget = new byteBudget.ByteBudget(maxHeldBytesOfProcess)

/** Body limits of the lane. */
export interface BodyLimits {
  readonly maxBytes: number
  /** Longest time without data while the caller sends the body. */
  readonly progressTimeoutMs: number
}

/** Receives what an attempt has sent when it ends. */
export type TransferListener = (transfer: bodyTransfers.BodyTransfer) => void

/** Bytes of long bodies that this process holds. */
export function heldBytes (): number {
  return processBudget.takenBytes
}

interface HeldChunk {
  readonly data: Buffer
  /** What it counts against the limits. */
  readonly countedBytes: number
}

/**
 * Receives a body as fast as the attempt that has got furthest reads it, and holds it from its first byte until `release`. Beyond the limits
 * on held bytes, only what that attempt has not read yet is held, and the body can't be sent again.
 */
export class CallerBody implements bodyContent.IChunkSource {
  readonly declaredBytes: number | undefined
  /** Chunks that are held, in their order; `droppedChunks` precede them. */
  private readonly chunks: HeldChunk[] = []
  private droppedChunks = 0
  private received = 0
  private hasEnded = false
  private isHeld = true
  /** Held bytes that count against the limits. */
  private countedBytes = 0
  private readFault: errors.Fault | undefined
  private reading: Promise<void> | undefined
  private attempts = 0
  private readonly openContents = new Set<bodyContent.BodyContent>()
  private joined: Buffer | undefined
  private readonly iterator: AsyncIterator<Buffer>

  private constructor (req: http.IncomingMessage, private readonly limits: BodyLimits, private readonly budget: byteBudget.ByteBudget, private readonly onTransfer: TransferListener) {
    const length = req.headers['content-length']
    this.declaredBytes = length === undefined ? undefined : Number(length)
    this.iterator = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  }

  /**
   * Receives the first part of the body. Throws `too-large`, or `bad-request` when the body is incomplete or the caller
   * sends no data in time.
   * @param budget what the long bodies of the process share.
   */
  static async open (req: http.IncomingMessage, limits: BodyLimits, onTransfer: TransferListener, budget = processBudget): Promise<CallerBody> {
    const body = new CallerBody(req, limits, budget, onTransfer)
    if ((body.declaredBytes ?? 0) > limits.maxBytes) throw newTooLargeError(limits)
    if (hasBody(req)) await body.receiveFirstPart()
    else body.hasEnded = true
    return body
  }

  /** What has been received before the first attempt. */
  get firstPart (): Buffer {
    return this.chunks.length === 1 ? this.chunks[0]!.data : Buffer.concat(this.chunks.map(({ data }) => data))
  }

  get receivedBytes (): number {
    return this.received
  }

  get isReceived (): boolean {
    return this.hasEnded
  }

  /** Error that the caller has caused while its body was received. */
  get fault (): errors.Fault | undefined {
    return this.readFault
  }

  /** True while the body can be sent from its first byte. */
  get isReplayable (): boolean {
    return this.isHeld && this.readFault === undefined
  }

  get shortBody (): Buffer | undefined {
    if (!this.hasEnded || !this.isHeld || this.received > shortBodyBytes) return undefined
    this.joined ??= this.firstPart
    return this.joined
  }

  /** True if the rest of the body is known to be short enough for `discardRest`. */
  get hasShortRest (): boolean {
    return this.hasEnded || (this.declaredBytes !== undefined && this.declaredBytes - this.received <= maxDiscardedBytes)
  }

  /** Returns the body for an attempt, which must close it. Throws if the body isn't replayable. */
  openContent (target: string): bodyContent.BodyContent {
    if (!this.isReplayable) throw new Error('the first part of the request body is no longer held')
    const content = new bodyContent.BodyContent(target, ++this.attempts, this, (closed) => this.onContentClosed(closed))
    this.openContents.add(content)
    return content
  }

  async chunkAt (index: number): Promise<Buffer | undefined> {
    while (index >= this.droppedChunks + this.chunks.length && !this.hasEnded) await this.receive()
    if (index < this.droppedChunks) throw new Error('a part of the request body is no longer held')
    const chunk = this.chunks[index - this.droppedChunks]
    if (!this.isHeld) this.dropBefore(this.furthestChunk)
    return chunk?.data
  }

  /** Gives the memory of a long body back, since no further attempt will be made. An attempt that is sending the body goes on. */
  release (): void {
    if (this.countedBytes > 0 || !this.hasEnded) this.stopHolding()
  }

  /** Reads and discards the rest of the body. Throws when it does not end within the limits. */
  async discardRest (): Promise<void> {
    const maxReceivedBytes = this.received + maxDiscardedBytes
    const deadline = performance.now() + discardTimeoutMs
    while (!this.hasEnded) {
      await async.withTimeout(this.receive(), deadline - performance.now(), () => newIncompleteError('the rest of the body did not arrive in time'))
      if (this.received > maxReceivedBytes) throw newIncompleteError('the rest of the body is too long to be discarded')
    }
  }

  private async receiveFirstPart (): Promise<void> {
    while (!this.hasEnded && this.received < shortBodyBytes) await this.receive()
  }

  /** Receives the next chunk or the end; attempts that wait for the same chunk share this. */
  private async receive (): Promise<void> {
    this.reading ??= this.receiveChunk().finally(() => { this.reading = undefined })
    await this.reading
  }

  private async receiveChunk (): Promise<void> {
    try {
      if (this.readFault !== undefined) throw new errors.RackError(this.readFault)
      const result = await this.readWithTimeout()
      if (result.done === true) {
        this.hasEnded = true
        return
      }
      const isCounted = this.received >= shortBodyBytes
      this.received += result.value.length
      if (this.received > this.limits.maxBytes) throw newTooLargeError(this.limits)
      this.keep(result.value, isCounted)
    } catch (err) {
      this.readFault = errors.faultOf(err)
      throw err
    }
  }

  private keep (data: Buffer, isCounted: boolean): void {
    let countedBytes = 0
    if (isCounted && this.isHeld) {
      countedBytes = this.takeBudget(data.length + chunkOverheadBytes)
      if (countedBytes === 0) this.stopHolding()
    }
    if (this.isHeld || this.readers.length > 0) this.chunks.push({ data, countedBytes })
    else this.droppedChunks++
  }

  /** Returns the bytes, or 0 if a limit is reached. */
  private takeBudget (bytes: number): number {
    if (this.countedBytes + bytes > maxHeldBytesOfBody || !this.budget.take(bytes)) return 0
    this.countedBytes += bytes
    return bytes
  }

  private stopHolding (): void {
    this.isHeld = false
    this.joined = undefined
    this.dropBefore(this.furthestChunk)
    this.dropUnneeded()
  }

  /** Attempts that have not taken the whole body. */
  private get readers (): readonly bodyContent.BodyContent[] {
    return [...this.openContents].filter(({ isSent }) => !isSent)
  }

  /** Index of the first chunk that none of them has read. */
  private get furthestChunk (): number {
    return Math.max(0, ...this.readers.map(({ nextChunk }) => nextChunk))
  }

  private dropBefore (index: number): void {
    const dropped = this.chunks.splice(0, Math.max(0, index - this.droppedChunks))
    this.droppedChunks += dropped.length
    const countedBytes = dropped.reduce((sum, chunk) => sum + chunk.countedBytes, 0)
    this.countedBytes -= countedBytes
    this.budget.giveBack(countedBytes)
  }

  /** Drops what is left when no attempt needs it. */
  private dropUnneeded (): void {
    if (!this.isHeld && this.readers.length === 0) this.dropBefore(this.droppedChunks + this.chunks.length)
  }

  private onContentClosed (content: bodyContent.BodyContent): void {
    this.openContents.delete(content)
    this.dropUnneeded()
    const { target, attempt, sentBytes } = content
    if (this.hasEnded && this.received === 0) return
    this.onTransfer({ target, attempt, framing: this.declaredBytes === undefined ? 'chunks' : 'length', receivedBytes: this.received, isReceived: this.hasEnded, sentBytes })
  }

  private async readWithTimeout (): Promise<IteratorResult<Buffer>> {
    try {
      return await async.withTimeout(this.iterator.next(), this.limits.progressTimeoutMs, () =>
        newIncompleteError('the caller sent no data of the body in time'))
    } catch (err) {
      throw err instanceof errors.RackError ? err : newIncompleteError('the request body is incomplete')
    }
  }
}

function hasBody (req: http.IncomingMessage): boolean {
  const length = req.headers['content-length']
  return (length !== undefined && length !== '0') || req.headers['transfer-encoding'] !== undefined
}

function newTooLargeError (limits: BodyLimits): errors.RackError {
  return new errors.RackError({ kind: 'too-large', message: `the body exceeds the lane's limit of ${limits.maxBytes} bytes` })
}

function newIncompleteError (message: string): errors.RackError {
  return new errors.RackError({ kind: 'bad-request', message })
}
