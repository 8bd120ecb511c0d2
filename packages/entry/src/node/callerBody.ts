/** Body of a caller's request: received once, and held while it may have to be sent again. */
import type * as http from 'node:http'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as bodyReader from './bodyReader.js'
import type * as bodyTransfers from './bodyTransfers.js'
import * as byteBudget from './byteBudget.js'
import * as heldChunks from './heldChunks.js'

const bytesPerMiB = 1024 * 1024
/** Bytes that are received before the first attempt. A body that ends within them is short, and doesn't count against the limits on held bytes. */
const firstPartBytes = 65_536
const maxHeldBytesOfBody = 8 * bytesPerMiB
const maxHeldBytesOfProcess = 32 * bytesPerMiB
/** First parts and short bodies of all requests. */
const maxFirstPartBytesOfProcess = 16 * bytesPerMiB
/** Bytes of each first part that count against no limit, so that ordinary bodies are received while others use all of it. */
const uncountedBytes = 4096
/** Limits on reading the rest of a body whose request already has its response. */
const maxDiscardedBytes = bytesPerMiB
const discardTimeoutMs = 5000

const processBudget = new byteBudget.ByteBudget(maxHeldBytesOfProcess)
const firstPartBudget = new byteBudget.ByteBudget(maxFirstPartBytesOfProcess)
const noMemoryFault = { kind: 'not-run', message: 'the instance holds as many request bodies as it can', retryAfterS: 1 } as const satisfies errors.Fault

/** Body limits of the lane. */
export interface BodyLimits {
  readonly maxBytes: number
  /** Longest time without data while the caller sends the body. */
  readonly progressTimeoutMs: number
  /** When the first part is due, on the process's monotonic clock: no attempt is made later. */
  readonly firstPartDueAt: number
}

/** Receives what an attempt has sent when it ends. */
export type TransferListener = (transfer: bodyTransfers.BodyTransfer) => void

/** Bytes of long bodies that this process holds. */
export function heldBytes (): number {
  return processBudget.takenBytes
}

/**
 * Receives a body as fast as the attempt that has got furthest reads it, and holds it from its first byte until `release`. Beyond the limits
 * on held bytes, only what that attempt has not read yet is held, and the body can't be sent again.
 */
export class CallerBody implements bodyReader.IChunkSource {
  readonly declaredBytes: number | undefined
  private readonly chunks: heldChunks.HeldChunks
  private received = 0
  private hasEnded = false
  private isShort = false
  /** True while all chunks are held from the first one on. */
  private isHeld = true
  /** True if the limits don't even allow to hold the first part. */
  private isSingleUse = false
  private readFault: errors.Fault | undefined
  private reading: Promise<void> | undefined
  private attempts = 0
  /** What the first part counts against its limit. */
  private countedFirstBytes = 0
  private readonly openReaders = new Set<bodyReader.BodyReader>()
  private joined: Buffer | undefined
  private readonly iterator: AsyncIterator<Buffer>

  private constructor (req: http.IncomingMessage, private readonly limits: BodyLimits, budget: byteBudget.ByteBudget, private readonly firstParts: byteBudget.ByteBudget, private readonly onTransfer: TransferListener) {
    const length = req.headers['content-length']
    this.declaredBytes = length === undefined ? undefined : Number(length)
    this.chunks = new heldChunks.HeldChunks(maxHeldBytesOfBody, budget)
    this.iterator = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  }

  /**
   * Receives the first part of the body. Throws `too-large`, `bad-request` when the body is incomplete or the caller
   * sends no data for a while, `request-timeout` when the first part is overdue, or `not-run` when there is no memory for it.
   * @param budget what the long bodies of the process share.
   * @param firstParts what the first parts and the short bodies of the process share.
   */
  static async open (req: http.IncomingMessage, limits: BodyLimits, onTransfer: TransferListener, budget = processBudget, firstParts = firstPartBudget): Promise<CallerBody> {
    const body = new CallerBody(req, limits, budget, firstParts, onTransfer)
    if ((body.declaredBytes ?? 0) > limits.maxBytes) throw newTooLargeError(limits)
    if (hasBody(req)) await body.receiveFirstPart()
    else body.hasEnded = true
    body.isShort = body.hasEnded && body.received <= firstPartBytes
    if (!body.isShort) {
      body.releaseFirstPart()
      body.isSingleUse = !body.chunks.countAll()
    }
    return body
  }

  /** The first 64 KiB, or the whole of a shorter body; to be read before the first attempt. */
  get firstPart (): Buffer {
    const [first, ...rest] = this.chunks.data
    const data = first !== undefined && rest.length === 0 ? first : Buffer.concat(this.chunks.data)
    return data.subarray(0, firstPartBytes)
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

  /** True while each attempt that is sending the body waits for the caller to send more. */
  get awaitsCaller (): boolean {
    return this.openReaders.size > 0 && [...this.openReaders].every(({ awaitsChunk }) => awaitsChunk)
  }

  get shortBody (): Buffer | undefined {
    if (!this.isShort) return undefined
    this.joined ??= this.firstPart
    return this.joined
  }

  /** True if the rest of the body is known to be short enough for `discardRest`. */
  get hasShortRest (): boolean {
    return this.hasEnded || (this.declaredBytes !== undefined && this.declaredBytes - this.received <= maxDiscardedBytes)
  }

  /** Returns the body for an attempt, which must close it. Throws if the body isn't replayable. */
  openReader (target: string): bodyReader.BodyReader {
    if (!this.isReplayable) throw new Error('the first part of the request body is no longer held')
    const reader = new bodyReader.BodyReader(target, ++this.attempts, this, (closed) => this.onReaderClosed(closed))
    this.openReaders.add(reader)
    if (this.isSingleUse) this.stopHolding()
    return reader
  }

  async chunkAt (index: number): Promise<Buffer | undefined> {
    while (index >= this.chunks.end && !this.hasEnded) await this.receive()
    if (index < this.chunks.start) throw new Error('a part of the request body is no longer held')
    const chunk = this.chunks.at(index)
    if (!this.isHeld) this.dropRead()
    return chunk
  }

  /** Gives the memory of a long body back, since no further attempt will be made. An attempt that is sending the body goes on. */
  release (): void {
    this.releaseFirstPart()
    if (!this.isShort) this.stopHolding()
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
    try {
      while (this.isReceivingFirstPart) await this.receive()
    } catch (err) {
      this.releaseFirstPart()
      throw err
    }
  }

  private addToFirstPart (data: Buffer): void {
    const bytes = Math.max(0, this.received - uncountedBytes) - this.countedFirstBytes
    if (!this.firstParts.take(bytes)) throw new errors.RackError(noMemoryFault)
    this.countedFirstBytes += bytes
    this.chunks.addJoined(data)
  }

  private releaseFirstPart (): void {
    this.firstParts.giveBack(this.countedFirstBytes)
    this.countedFirstBytes = 0
  }

  private get isReceivingFirstPart (): boolean {
    return !this.hasEnded && this.received < firstPartBytes
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
      const isFirstPart = this.received < firstPartBytes
      this.received += result.value.length
      if (this.received > this.limits.maxBytes) throw newTooLargeError(this.limits)
      if (isFirstPart) this.addToFirstPart(result.value)
      else this.addChunk(result.value)
    } catch (err) {
      this.readFault = errors.faultOf(err)
      throw err
    }
  }

  private addChunk (data: Buffer): void {
    if (this.isHeld && this.chunks.addCounted(data)) return
    if (this.isHeld) this.stopHolding()
    this.chunks.add(data)
    if (this.readers.length === 0) this.chunks.dropAll()
  }

  /** Attempts that have not taken the whole body. */
  private get readers (): readonly bodyReader.BodyReader[] {
    return [...this.openReaders].filter(({ isSent }) => !isSent)
  }

  private stopHolding (): void {
    this.isHeld = false
    this.dropRead()
  }

  /** Drops the chunks that the attempt that has got furthest has read, or all if none is reading. */
  private dropRead (): void {
    const { readers } = this
    if (readers.length === 0) this.chunks.dropAll()
    else this.chunks.dropBefore(Math.max(...readers.map(({ nextChunk }) => nextChunk)))
  }

  private onReaderClosed (reader: bodyReader.BodyReader): void {
    this.openReaders.delete(reader)
    if (!this.isHeld && this.readers.length === 0) this.chunks.dropAll()
    const { target, attempt, sentBytes } = reader
    if (this.hasEnded && this.received === 0) return
    this.onTransfer({ target, attempt, framing: this.declaredBytes === undefined ? 'chunks' : 'length', receivedBytes: this.received, isReceived: this.hasEnded, sentBytes })
  }

  private async readWithTimeout (): Promise<IteratorResult<Buffer>> {
    const { progressTimeoutMs, firstPartDueAt } = this.limits
    const leftMs = this.isReceivingFirstPart ? Math.max(0, firstPartDueAt - performance.now()) : Infinity
    try {
      return await async.withTimeout(this.iterator.next(), Math.min(progressTimeoutMs, leftMs), () => leftMs < progressTimeoutMs
        ? new errors.RackError({ kind: 'request-timeout', message: 'the body did not arrive before the deadline; the request was not run' })
        : newIncompleteError('the caller sent no data of the body in time'))
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

/**
 * Reads the rest of a request body that the target did not wait for, so that the next request of the connection can be read.
 * @param onFailed called with the reason when the rest cannot be read though the connection is open.
 */
export async function discardRestOf (req: http.IncomingMessage, body: CallerBody, onFailed: (why: string) => void): Promise<void> {
  // Node.js ends a request with its connection only until the response is complete.
  const endWithConnection = (): void => { req.destroy() }
  req.socket.once('close', endWithConnection)
  try {
    await body.discardRest()
  } catch (err) {
    if (!req.socket.destroyed) onFailed(errors.messageOf(err))
    req.destroy()
  } finally {
    req.socket.off('close', endWithConnection)
  }
}
