/** Body of a caller's request: small ones are kept whole so that they can be sent again, others stream. */
import type * as http from 'node:http'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'

const keepWholeBytes = 65_536

/** Body limits of the lane. */
export interface BodyLimits {
  readonly maxBytes: number
  /** Longest silence of the caller while it sends. */
  readonly progressTimeoutMs: number
}

/** Reads ahead until the body ends or is too large to keep. */
export class CallerBody {
  private readonly chunks: Buffer[] = []
  private size = 0
  private ended = false
  private streamed = false
  private streamFault: errors.Fault | undefined
  private readonly iterator: AsyncIterator<Buffer>

  private constructor (req: http.IncomingMessage, private readonly limits: BodyLimits) {
    this.iterator = req[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  }

  /** Throws `too-large`, or `bad-request` when the caller breaks off or falls silent. */
  static async open (req: http.IncomingMessage, limits: BodyLimits): Promise<CallerBody> {
    const announced = Number(req.headers['content-length'] ?? 0)
    if (announced > limits.maxBytes) throw tooLarge(limits)
    const body = new CallerBody(req, limits)
    if (hasBody(req)) await body.readAhead()
    else body.ended = true
    return body
  }

  /** The part that was read ahead: the whole body when `isWhole`. */
  get head (): Buffer {
    return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks)
  }

  get isWhole (): boolean {
    return this.ended
  }

  /** Fault of the caller while its body streamed. */
  get fault (): errors.Fault | undefined {
    return this.streamFault
  }

  /** True while the body can be sent from its start. */
  get isReplayable (): boolean {
    return this.ended || !this.streamed
  }

  /** What to send: nothing, the whole body, or a stream that can be taken once. */
  content (): Buffer | AsyncIterable<Buffer> | null {
    if (this.ended) return this.size === 0 ? null : this.head
    this.streamed = true
    return this.stream()
  }

  private async readAhead (): Promise<void> {
    while (!this.ended && this.size < keepWholeBytes) {
      const chunk = await this.next()
      if (chunk !== undefined) this.chunks.push(chunk)
    }
  }

  private async * stream (): AsyncGenerator<Buffer> {
    yield * this.chunks.splice(0)
    try {
      while (!this.ended) {
        const chunk = await this.next()
        if (chunk !== undefined) yield chunk
      }
    } catch (err) {
      this.streamFault = errors.faultOf(err)
      throw err
    }
  }

  private async next (): Promise<Buffer | undefined> {
    const result = await this.nextInTime()
    if (result.done === true) {
      this.ended = true
      return undefined
    }
    this.size += result.value.length
    if (this.size > this.limits.maxBytes) throw tooLarge(this.limits)
    return result.value
  }

  private async nextInTime (): Promise<IteratorResult<Buffer>> {
    try {
      return await async.within(this.iterator.next(), this.limits.progressTimeoutMs, () =>
        brokenOff('the caller fell silent while sending the body'))
    } catch (err) {
      throw err instanceof errors.RackError ? err : brokenOff('the caller broke off the body')
    }
  }
}

function hasBody (req: http.IncomingMessage): boolean {
  const length = req.headers['content-length']
  return (length !== undefined && length !== '0') || req.headers['transfer-encoding'] !== undefined
}

function tooLarge (limits: BodyLimits): errors.RackError {
  return new errors.RackError({ kind: 'too-large', message: `the body exceeds the lane's ${limits.maxBytes} bytes` })
}

function brokenOff (message: string): errors.RackError {
  return new errors.RackError({ kind: 'bad-request', message })
}
