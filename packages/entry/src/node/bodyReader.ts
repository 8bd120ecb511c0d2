/** The body of a caller's request as one attempt sends it: whole and from its first byte, or the attempt is broken off. */

/** The chunks of a body that is still being received. */
export interface IChunkSource {
  readonly receivedBytes: number
  /** Length that the caller has stated; undefined for a body in chunks. */
  readonly declaredBytes: number | undefined
  /** True once the whole body has been received. */
  readonly isReceived: boolean
  /**
   * Resolves with a chunk once it has been received, with undefined behind the last one. Rejects when the caller fails to send it, or when
   * it is no longer held.
   */
  chunkAt(index: number): Promise<Buffer | undefined>
  /** Returns the whole body if it is short and has been received. */
  readonly shortBody: Buffer | undefined
}

/** Reads the chunks of a body independently of other attempts. */
export class BodyReader {
  private position = 0
  private takenBytes = 0
  private isWaiting = false
  private isWhole = false
  private isClosed = false

  /**
   * @param target address that the body is sent to.
   * @param attempt number of the attempt among those that were given the body, from 1.
   */
  constructor (readonly target: string, readonly attempt: number, private readonly source: IChunkSource, private readonly onClose: (reader: BodyReader) => void) {}

  /** Returns what the HTTP client sends: null for no body, the whole body, or a stream that can be read once. Throws if the whole body isn't what was received. */
  take (): Buffer | AsyncIterable<Buffer> | null {
    const { shortBody } = this.source
    if (shortBody === undefined) return this.read()
    this.takenBytes = shortBody.length
    this.finish()
    return shortBody.length === 0 ? null : shortBody
  }

  /** Length of the body, if it is known before the end. */
  get length (): number | undefined {
    const { declaredBytes, isReceived, receivedBytes } = this.source
    return declaredBytes ?? (isReceived ? receivedBytes : undefined)
  }

  /** Index of the first chunk that has not been read. */
  get nextChunk (): number {
    return this.position
  }

  /** True while the HTTP client waits for a chunk. */
  get awaitsChunk (): boolean {
    return this.isWaiting
  }

  /** Bytes that the HTTP client has taken. */
  get sentBytes (): number {
    return this.takenBytes
  }

  /** True once the HTTP client has taken the whole body. */
  get isSent (): boolean {
    return this.isWhole
  }

  /** Ends the stream with an error, unless it has been read to its end. */
  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.onClose(this)
  }

  private async * read (): AsyncGenerator<Buffer> {
    for (;;) {
      if (this.isClosed) throw new Error('the attempt has ended')
      this.isWaiting = true
      const chunk = await this.source.chunkAt(this.position)
      this.isWaiting = false
      if (this.isClosed) throw new Error('the attempt has ended')
      if (chunk === undefined) break
      this.position++
      this.takenBytes += chunk.length
      yield chunk
    }
    this.finish()
  }

  /** Throws if the bytes taken aren't the whole body: the HTTP client would mark the end of the request all the same. */
  private finish (): void {
    const { isReceived, receivedBytes, declaredBytes = receivedBytes } = this.source
    if (!isReceived) throw new Error(`${this.takenBytes} bytes of the body were taken, and it is still being received`)
    if (this.takenBytes !== receivedBytes || this.takenBytes !== declaredBytes) throw new Error(`${this.takenBytes} bytes of the body were taken, ${receivedBytes} received, ${declaredBytes} declared`)
    this.isWhole = true
  }
}
