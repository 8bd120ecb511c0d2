/** Log entries in memory, and their conversion to and from protobuf messages. */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

/** The change that an entry makes to the replicated state. */
export type Command = Exclude<inner.LogEntry['command'], { case: undefined }>

/** An entry of the replicated log; the first one has index 1. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly command: Command
}

/** Converts an entry to its protobuf message. */
export function encodeEntry (entry: LogEntry): inner.LogEntry {
  return protobuf.create(inner.LogEntrySchema, {
    index: BigInt(entry.index),
    term: entry.term,
    command: entry.command
  })
}

/** Converts a protobuf message to an entry; throws `corrupt-record` for an unknown command. */
export function decodeEntry (entry: inner.LogEntry): LogEntry {
  if (entry.command.case === undefined) {
    throw new errors.RackError({ kind: 'corrupt-record', message: `log entry ${entry.index} has no known command` })
  }
  return { index: Number(entry.index), term: entry.term, command: entry.command }
}

/** Throws `bad-request` for a command that has no protobuf encoding, such as one with a number out of the range of its field. */
export function requireEncodable (command: Command): void {
  try {
    protobuf.toBinary(inner.LogEntrySchema, encodeEntry({ index: 0, term: 0, command }))
  } catch (err) {
    throw new errors.RackError({ kind: 'bad-request', message: errors.messageOf(err) })
  }
}

/** Serializes entries that are written and synced together. */
export function encodeBatch (entries: readonly LogEntry[]): Uint8Array {
  const batch = protobuf.create(inner.LogBatchSchema, { entries: entries.map(encodeEntry) })
  return protobuf.toBinary(inner.LogBatchSchema, batch)
}

/** Parses entries that were serialized as one batch. */
export function decodeBatch (payload: Uint8Array): readonly LogEntry[] {
  return protobuf.fromBinary(inner.LogBatchSchema, payload).entries.map(decodeEntry)
}

/** Size of an entry without its texts, in bytes. */
const entryOverheadBytes = 64

/** Returns the approximate size of an entry in bytes: that of its texts, which make up nearly all of a large one. */
export function sizeOf ({ command }: LogEntry): number {
  switch (command.case) {
    case 'put': return entryOverheadBytes + command.value.documentJson.length + command.value.extensionsJson.length + command.value.source.length
    case 'patch': return entryOverheadBytes + command.value.mergePatchJson.length
    case 'claims':
    case 'releases': return entryOverheadBytes + totalLength(command.value.keys) + totalLength(command.value.owners)
    case 'membership': return entryOverheadBytes * (1 + command.value.replicas.length)
    case 'departures': return entryOverheadBytes * (1 + command.value.announcements.length + command.value.evacuations.length)
    default: return entryOverheadBytes
  }
}

function totalLength (texts: readonly string[]): number {
  return texts.reduce((sum, { length }) => sum + length, 0)
}
