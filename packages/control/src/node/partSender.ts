/** Sends messages that are too large for a single call in parts. */
import * as crypto from 'node:crypto'
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as replicaLinks from './replicaLinks.js'

const partBytes = 262_144
/** Messages up to this size are sent whole; batches of entries are limited to it. */
export const maxWholeMessageBytes = 1_048_576
/** Timeout of a part; the response to the last one waits for the receiver's disk. */
const partTimeoutMs = 30_000

/** Sender and receiver of the parts. */
export interface Addressing {
  readonly term: number
  readonly leaderId: string
  readonly toReplicaId: string
}

/** A message that is being sent. */
interface Transfer {
  readonly name: string
  readonly id: string
  readonly content: inner.ReplicationPart_Content
  readonly bytes: Uint8Array
}

/** Sends one message at a time. When a message with the same name is sent again after a failure, it goes on after the parts that were received. */
export class PartSender {
  private transfer: Transfer | undefined

  /** @param onProgress called for each part that was received. */
  constructor (private readonly link: replicaLinks.ReplicaLink, private readonly addressing: Addressing, private readonly onProgress: () => void = () => {}) {}

  /** Sends an append. @param sendWhole sends it in one message. */
  async sendAppend (name: string, req: inner.AppendReq, sendWhole: () => Promise<inner.AppendRes>): Promise<inner.AppendRes> {
    const encode = (): Uint8Array => protobuf.toBinary(inner.AppendReqSchema, req)
    const res = await this.send(name, inner.ReplicationPart_Content.APPEND, encode)
    if (res === undefined) return await sendWhole()
    return res.append ?? protobuf.create(inner.AppendResSchema, { term: res.term })
  }

  /** Sends a snapshot. @param sendWhole sends it in one message. */
  async sendSnapshot (name: string, req: inner.InstallSnapshotReq, sendWhole: () => Promise<inner.InstallSnapshotRes>): Promise<inner.InstallSnapshotRes> {
    const encode = (): Uint8Array => protobuf.toBinary(inner.InstallSnapshotReqSchema, req)
    const res = await this.send(name, inner.ReplicationPart_Content.SNAPSHOT, encode)
    if (res === undefined) return await sendWhole()
    return res.snapshot ?? protobuf.create(inner.InstallSnapshotResSchema, { term: res.term })
  }

  /** Resolves with the response to the last part; with undefined if the message is small or the receiver can't receive parts. */
  private async send (name: string, content: inner.ReplicationPart_Content, encode: () => Uint8Array): Promise<inner.ReplicationPartRes | undefined> {
    if (this.transfer?.name !== name) this.transfer = { name, id: crypto.randomUUID(), content, bytes: encode() }
    if (this.transfer.bytes.length <= maxWholeMessageBytes) return undefined
    const res = await this.sendParts(this.transfer)
    this.transfer = undefined
    return res
  }

  private async sendParts (transfer: Transfer): Promise<inner.ReplicationPartRes | undefined> {
    let offset = 0
    for (;;) {
      const res = await this.sendPart(transfer, offset)
      if (res === undefined || res.append !== undefined || res.snapshot !== undefined || res.term > this.addressing.term) return res
      const receivedBytes = Number(res.receivedBytes)
      if (receivedBytes <= offset) throw new errors.RackError({ kind: 'internal', message: `no progress of ${transfer.name} after ${offset} bytes` })
      offset = receivedBytes
      this.onProgress()
    }
  }

  /** Resolves with undefined if the receiver is of an earlier version, which doesn't know the call. */
  private async sendPart ({ id, content, bytes }: Transfer, offset: number): Promise<inner.ReplicationPartRes | undefined> {
    const part = protobuf.create(inner.ReplicationPartSchema, {
      ...this.addressing,
      transferId: id,
      totalBytes: BigInt(bytes.length),
      offset: BigInt(offset),
      data: bytes.subarray(offset, offset + partBytes),
      content
    })
    try {
      return await this.link.call(async (client, options) => await client.replicatePart(part, options), partTimeoutMs)
    } catch (err) {
      if (errors.faultOf(err).kind === 'unsupported') return undefined
      throw err
    }
  }
}
