/** Finds out which of several documents need not be read, because a later one replaces them. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import type * as logEntry from './logEntry.js'

/** A put whose document replaces those of all puts before it. */
export interface LastingPut {
  readonly index: number
  readonly version: number
  readonly put: inner.PutConfig
}

/**
 * Returns the put with the highest version among entries that are applied together, if it replaces an earlier one. Only puts before
 * the first patch are considered, since a patch depends on the document before it.
 */
export function findLastingPut (entries: Iterable<logEntry.LogEntry>, currentVersion: number): LastingPut | undefined {
  let lasting: LastingPut | undefined
  let newerCount = 0
  for (const { index, command } of entries) {
    if (command.case === 'patch') break
    if (command.case !== 'put') continue
    const version = configVersion.decode(command.value.version)
    if (version <= (lasting?.version ?? currentVersion)) continue
    lasting = { index, version, put: command.value }
    newerCount++
  }
  return newerCount > 1 ? lasting : undefined
}
