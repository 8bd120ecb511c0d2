/** Assembles messages that arrive in parts. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as errors from '@rosemaryrack/base/common/errors.js'

/** Largest message that is assembled in memory. */
const maxAssembledBytes = 268_435_456

/** The parts of one message that have been received. */
interface Transfer {
  readonly key: string
  readonly parts: Uint8Array[]
  receivedBytes: number
  /** Response to the complete message while it is being handled. */
  handling?: Promise<Pick<ReceivedPart, 'append' | 'snapshot'>> | undefined
}

/** Handles the messages that arrive in parts. */
export interface IMessageHandler {
  handleAppend(req: inner.AppendReq): Promise<inner.AppendRes>
  handleInstallSnapshot(req: inner.InstallSnapshotReq): Promise<inner.InstallSnapshotRes>
}

/** What has been received, and the response to the message once it is complete. */
export interface ReceivedPart {
  readonly receivedBytes: bigint
  readonly append?: inner.AppendRes
  readonly snapshot?: inner.InstallSnapshotRes
}

/** Receives one message at a time; a part of another message discards the previous one. */
export class PartReceiver {
  private transfer: Transfer = emptyTransfer()

  /** Adds a part, and passes the message to the handler once it is complete. */
  async receive (part: inner.ReplicationPart, handler: IMessageHandler): Promise<ReceivedPart> {
    const isComplete = this.add(part)
    const { transfer } = this
    const receivedBytes = BigInt(transfer.receivedBytes)
    if (!isComplete) return { receivedBytes }
    // A sender that gets no response in time asks again: it joins what is in progress.
    transfer.handling ??= handleMessage(part.content, Buffer.concat(transfer.parts), handler).finally(() => { transfer.handling = undefined })
    const res = await transfer.handling
    if (this.transfer === transfer) this.transfer = emptyTransfer()
    return { receivedBytes, ...res }
  }

  /** Adds a part, unless it was received before; returns whether the message is complete. */
  private add (part: inner.ReplicationPart): boolean {
    const totalBytes = Number(part.totalBytes)
    if (totalBytes > maxAssembledBytes) throw new errors.RackError({ kind: 'too-large', message: `a message of ${totalBytes} bytes; at most ${maxAssembledBytes} are accepted` })
    const key = keyOf(part)
    if (this.transfer.key !== key) this.transfer = { key, parts: [], receivedBytes: 0 }
    if (Number(part.offset) === this.transfer.receivedBytes) {
      this.transfer.parts.push(part.data)
      this.transfer.receivedBytes += part.data.length
    }
    return this.transfer.receivedBytes >= totalBytes
  }
}

function emptyTransfer (): Transfer {
  return { key: '', parts: [], receivedBytes: 0 }
}

async function handleMessage (content: inner.ReplicationPart_Content, message: Uint8Array, handler: IMessageHandler): Promise<Pick<ReceivedPart, 'append' | 'snapshot'>> {
  switch (content) {
    case inner.ReplicationPart_Content.APPEND: return { append: await handler.handleAppend(protobuf.fromBinary(inner.AppendReqSchema, message)) }
    case inner.ReplicationPart_Content.SNAPSHOT: return { snapshot: await handler.handleInstallSnapshot(protobuf.fromBinary(inner.InstallSnapshotReqSchema, message)) }
    default: throw new errors.RackError({ kind: 'bad-request', message: `unknown content of a message in parts: ${content}` })
  }
}

function keyOf ({ term, leaderId, transferId, totalBytes }: inner.ReplicationPart): string {
  return `${term} ${leaderId} ${transferId} ${totalBytes}`
}
