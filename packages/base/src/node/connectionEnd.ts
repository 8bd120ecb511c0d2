/** Tells the orderly end of a TCP connection from a reset. */
import type * as net from 'node:net'

const noBytes = Buffer.alloc(0)
const resetCode = 'ECONNRESET'

/**
 * Finds out whether a connection whose end was just read was in fact reset: libuv reports a reset that arrives together with data as an
 * orderly end, but a write still fails with it. To be called before the own side of the connection is ended.
 * @param done called with the error of the reset, or with undefined if the end is orderly; not called if the socket is destroyed meanwhile.
 */
export function checkEnd (socket: net.Socket, done: (reset: Error | undefined) => void): void {
  // A pending write fails with the reset before the next turn of the event loop.
  if (socket.writableLength > 0) {
    setImmediate(() => { if (!socket.destroyed) done(undefined) })
    return
  }
  // Unlike `write`, this does not destroy the socket if the peer has closed it in order and refuses further data.
  socket._write(noBytes, 'buffer' as BufferEncoding, (err) => { if (!socket.destroyed) done(isReset(err) ? err! : undefined) })
}

/** Returns whether an error is the reset of a connection by the peer. */
export function isReset (err: Error | null | undefined): boolean {
  return (err as NodeJS.ErrnoException | null | undefined)?.code === resetCode
}
