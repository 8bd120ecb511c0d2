/** Assembles messages that arrive in parts. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as errors from '@rosemaryrack/base/common/errors.js'

/** Largest message that is assembled in memory. */
const maxMessageBytes = 268_435_456

/** The parts of one message that have been received. */
interface Transfer {
  readonly key: string
  readonly parts: Uint8Array[]
  receivedBytes: number
}

/** Receives one message at a time; a part of another message discards the previous one. */
export class PartReceiver {
  private transfer: Transfer = { key: '', parts: [], receivedBytes: 0 }

  /** Number of bytes of the current message that have been received. */
  get receivedBytes (): number {
    return this.transfer.receivedBytes
  }

  /** Adds a part, unless it was received before; returns the message once it is complete. */
  add (part: inner.ReplicationPart): Uint8Array | undefined {
    const totalBytes = Number(part.totalBytes)
    if (totalBytes > maxMessageBytes) throw new errors.RackError({ kind: 'too-large', message: `a message of ${totalBytes} bytes; at most ${maxMessageBytes} are accepted` })
    const key = keyOf(part)
    if (this.transfer.key !== key) this.transfer = { key, parts: [], receivedBytes: 0 }
    if (Number(part.offset) === this.transfer.receivedBytes) {
      this.transfer.parts.push(part.data)
      this.transfer.receivedBytes += part.data.length
    }
    return this.transfer.receivedBytes >= totalBytes ? Buffer.concat(this.transfer.parts) : undefined
  }

  /** Discards the message that a part belongs to. */
  discard (part: inner.ReplicationPart): void {
    if (this.transfer.key === keyOf(part)) this.transfer = { key: '', parts: [], receivedBytes: 0 }
  }
}

function keyOf ({ term, leaderId, transferId, totalBytes }: inner.ReplicationPart): string {
  return `${term} ${leaderId} ${transferId} ${totalBytes}`
}
