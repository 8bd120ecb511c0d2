/** Body of a caller's request: a small one is buffered so that it can be sent again, a larger one is streamed. */
import type * as http from 'node:http'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as bodyTransfers from './bodyTransfers.js'

const maxBufferedBytes = 65_536
/** Limits on reading the rest of a body whose request already has its response. */
const maxDiscardedBytes = 1_048_576
const discardTimeoutMs = 5000

/** Body limits of the lane. */
export interface BodyLimits {
  readonly maxBytes: number
  /** Longest time without data while the caller sends the body. */
  readonly progressTimeoutMs: number
}

/** The body as it is given to one attempt. */
export interface BodyContent {
  /** Null for none, the whole body, or a stream that can be read only once. */
  readonly data: Buffer | AsyncIterable<Buffer> | null
  /** To be called at the end of the attempt. */
  readonly close: () => void
}

/** Receives what an attempt has sent when it ends. */
export type TransferListener = (transfer: bodyTransfers.BodyTransfer) => void

/** Buffers the body until it ends or is too large to buffer, then streams the rest. */
export class CallerBody {
  private readonly chunks: Buffer[] = []
  private receivedBytes = 0
  private hasEnded = false
  private isStreamed = false
  private streamFault: errors.Fault | undefined
  private readonly declaredBytes: number | undefined
  private readonly iterator: AsyncIterator<Buffer>

  private attempts = 0

  private constructor (req: http.IncomingMessage, private readonly limits: BodyLimits, private readonly onTransfer: TransferListener) {
    const length = req.headers['content-length']
    this.declaredBytes = length === undefined ? undefined : Number(length)
    this.iterator = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  }

  /**
   * Buffers the first part of the body. Throws `too-large`, or `bad-request` when the body is incomplete or the caller
   * sends no data in time.
   */
  static async open (req: http.IncomingMessage, limits: BodyLimits, onTransfer: TransferListener): Promise<CallerBody> {
    const declaredBytes = Number(req.headers['content-length'] ?? 0)
    if (declaredBytes > limits.maxBytes) throw newTooLargeError(limits)
    const body = new CallerBody(req, limits, onTransfer)
    if (hasBody(req)) await body.readAhead()
    else body.hasEnded = true
    return body
  }

  /** The buffered part: the whole body when `isFullyBuffered`. */
  get buffered (): Buffer {
    return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks)
  }

  /** True once the body has ended: after buffering if it was small enough, else also at the end of the streamed body. */
  get isFullyBuffered (): boolean {
    return this.hasEnded
  }

  /** Error caused by the caller while its body was streamed. */
  get fault (): errors.Fault | undefined {
    return this.streamFault
  }

  /** True while the body can still be sent from its start. */
  get isReplayable (): boolean {
    return this.hasEnded || !this.isStreamed
  }

  /** True if the rest of the body is known to be short enough for `discardRest`. */
  get hasShortRest (): boolean {
    return this.hasEnded || (this.declaredBytes !== undefined && this.declaredBytes - this.receivedBytes <= maxDiscardedBytes)
  }

  /** Reads and discards the rest of the body. Throws when it does not end within the limits. */
  async discardRest (): Promise<void> {
    const maxReceivedBytes = this.receivedBytes + maxDiscardedBytes
    const deadline = performance.now() + discardTimeoutMs
    while (!this.hasEnded) {
      await async.withTimeout(this.readChunk(), deadline - performance.now(), () => newIncompleteError('the rest of the body did not arrive in time'))
      if (this.receivedBytes > maxReceivedBytes) throw newIncompleteError('the rest of the body is too long to be discarded')
    }
  }

  /**
   * Returns the body for an attempt.
   * @param target address that it is sent to.
   */
  takeContent (target: string): BodyContent {
    if (this.hasEnded && this.receivedBytes === 0) return { data: null, close: () => {} }
    const progress = { sentBytes: 0 }
    const attempt = ++this.attempts
    const close = (): void => {
      const { receivedBytes, hasEnded: isReceived } = this
      this.onTransfer({ target, attempt, framing: this.declaredBytes === undefined ? 'chunks' : 'length', receivedBytes, isReceived, sentBytes: progress.sentBytes })
    }
    if (!this.hasEnded) {
      this.isStreamed = true
      return { data: this.stream(progress), close }
    }
    const data = this.buffered
    progress.sentBytes = data.length
    return { data, close }
  }

  private async readAhead (): Promise<void> {
    while (!this.hasEnded && this.receivedBytes < maxBufferedBytes) {
      const chunk = await this.readChunk()
      if (chunk !== undefined) this.chunks.push(chunk)
    }
  }

  private async * stream (progress: { sentBytes: number }): AsyncGenerator<Buffer> {
    for (const chunk of this.chunks.splice(0)) {
      progress.sentBytes += chunk.length
      yield chunk
    }
    try {
      while (!this.hasEnded) {
        const chunk = await this.readChunk()
        if (chunk === undefined) continue
        progress.sentBytes += chunk.length
        yield chunk
      }
    } catch (err) {
      this.streamFault = errors.faultOf(err)
      throw err
    }
  }

  private async readChunk (): Promise<Buffer | undefined> {
    const result = await this.readWithTimeout()
    if (result.done === true) {
      this.hasEnded = true
      return undefined
    }
    this.receivedBytes += result.value.length
    if (this.receivedBytes > this.limits.maxBytes) throw newTooLargeError(this.limits)
    return result.value
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
