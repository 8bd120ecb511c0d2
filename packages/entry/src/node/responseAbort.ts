/** Ends incomplete responses. */
import type * as http from 'node:http'

/** Closes the connection of an incomplete response so that it does not look complete to its caller. */
export function abortResponse (res: http.ServerResponse): void {
  const { socket } = res
  // To an HTTP/1.0 caller an orderly close marks the end of a body without a length.
  if (res.req.httpVersion === '1.0' && socket !== null && !socket.destroyed) socket.resetAndDestroy()
  res.destroy()
}
