/** Ends incomplete responses. */
import type * as http from 'node:http'

/** Closes the connection of an incomplete response so that it does not look complete to its caller. */
export function abortResponse (res: http.ServerResponse): void {
  const { socket } = res
  // Without chunks an orderly close marks the end of a body that has no length.
  if (!res.useChunkedEncodingByDefault && socket !== null && !socket.destroyed) socket.resetAndDestroy()
  res.destroy()
}
