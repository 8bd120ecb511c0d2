/**
 * Record format of the stored files: length, checksum of the length, checksum of the payload, payload.
 * Records are written and synced one at a time, so only the last one can be torn.
 */
import * as zlib from 'node:zlib'
import * as errors from '@rosemaryrack/base/common/errors.js'

const headerBytes = 12
const lengthBytes = 4

/** Payloads of the intact records of a file, and the length of those records in bytes. */
export interface RecordScan {
  readonly payloads: readonly Uint8Array[]
  readonly intactBytes: number
}

/** Frames a payload as one record. */
export function frameRecord (payload: Uint8Array): Buffer {
  const header = Buffer.alloc(headerBytes)
  header.writeUInt32LE(payload.byteLength, 0)
  header.writeUInt32LE(zlib.crc32(header.subarray(0, lengthBytes)), 4)
  header.writeUInt32LE(zlib.crc32(payload), 8)
  return Buffer.concat([header, payload])
}

/** Reads all records; leaves out a torn last one, and throws `corrupt-record` for a damaged one before it. */
export function scanRecords (file: string, data: Buffer): RecordScan {
  const payloads: Uint8Array[] = []
  let offset = 0
  while (offset < data.length) {
    const payload = readRecord(data, offset)
    if (payload === undefined) {
      throwIfRecordFollows(file, data, offset)
      break
    }
    payloads.push(payload)
    offset += headerBytes + payload.length
  }
  return { payloads, intactBytes: offset }
}

/** Returns the payload of the record at an offset; undefined when the record is torn or damaged. */
function readRecord (data: Buffer, offset: number): Buffer | undefined {
  if (data.length - offset < headerBytes) return undefined
  const length = data.readUInt32LE(offset)
  if (length === 0) return undefined
  if (zlib.crc32(data.subarray(offset, offset + lengthBytes)) !== data.readUInt32LE(offset + 4)) return undefined
  const start = offset + headerBytes
  if (data.length - start < length) return undefined
  const payload = data.subarray(start, start + length)
  return zlib.crc32(payload) === data.readUInt32LE(offset + 8) ? payload : undefined
}

/** Throws when an intact record follows a bad one: in that case the bad record is damaged rather than an incomplete last write. */
function throwIfRecordFollows (file: string, data: Buffer, badOffset: number): void {
  for (let offset = badOffset + 1; offset + headerBytes < data.length; offset++) {
    if (readRecord(data, offset) === undefined) continue
    throw new errors.RackError({
      kind: 'corrupt-record',
      message: `${file}: the record at byte ${badOffset} is damaged and a whole one follows at byte ${offset}`
    })
  }
}
