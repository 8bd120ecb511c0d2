/** Compresses equal messages that are sent at about the same time once, such as a new configuration on all streams. */
import type * as connect from '@connectrpc/connect/protocol'

/** Time for which a compressed message is used again. */
const shareMs = 200
/** Number of messages that are kept at most. */
const maxKept = 4

interface CompressedMessage {
  readonly bytes: Uint8Array
  readonly compressed: Promise<Uint8Array<ArrayBuffer>>
}

/** A compression that compares each message with the latest ones. */
export class SharedCompression implements connect.Compression {
  readonly name: string
  private kept: readonly CompressedMessage[] = []
  private compressions = 0

  constructor (private readonly compression: connect.Compression) {
    this.name = compression.name
  }

  /** Number of messages compressed so far, each one once. */
  get compressedCount (): number {
    return this.compressions
  }

  /** The result must not be changed, since other messages may have the same one. */
  async compress (bytes: Uint8Array): Promise<Uint8Array<ArrayBuffer>> {
    const known = this.kept.find((each) => Buffer.compare(each.bytes, bytes) === 0)
    return await (known ?? this.compressNew(bytes)).compressed
  }

  async decompress (bytes: Uint8Array, readMaxBytes: number): Promise<Uint8Array<ArrayBuffer>> {
    return await this.compression.decompress(bytes, readMaxBytes)
  }

  private compressNew (bytes: Uint8Array): CompressedMessage {
    this.compressions++
    const message = { bytes, compressed: this.compression.compress(bytes) }
    this.kept = [message, ...this.kept].slice(0, maxKept)
    setTimeout(() => { this.kept = this.kept.filter((each) => each !== message) }, shareMs).unref()
    return message
  }
}
