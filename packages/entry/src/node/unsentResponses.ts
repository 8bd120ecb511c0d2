/** Limits on the bytes of responses that wait in this process until callers read them. */
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Limits in bytes. */
export interface UnsentLimits {
  readonly unsentBytesPerConnection: number
  readonly unsentBytes: number
}

/** Returns the bytes that wait on a connection. */
export function countUnsent (socket: net.Socket, responses: Iterable<http.ServerResponse>): number {
  let bytes = socket.writableLength
  for (const res of responses) {
    // The length of the response that is being sent includes what waits in the socket.
    bytes += res.socket === null ? res.writableLength : res.writableLength - res.socket.writableLength
  }
  return bytes
}

/** Returns the connections that must be closed to keep the limits: those with the most bytes first. */
export function findExcess<T> (unsentBytes: ReadonlyMap<T, number>, limits: UnsentLimits): readonly T[] {
  const excess: T[] = []
  let total = [...unsentBytes.values()].reduce((sum, bytes) => sum + bytes, 0)
  for (const [connection, bytes] of [...unsentBytes].sort(([, a], [, b]) => b - a)) {
    if (bytes <= limits.unsentBytesPerConnection && total <= limits.unsentBytes) break
    excess.push(connection)
    total -= bytes
  }
  return excess
}
