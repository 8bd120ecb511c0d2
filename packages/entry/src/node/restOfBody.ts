/** Reads the rest of a request body that the target did not wait for, so that the next request of the connection can be read. */
import type * as http from 'node:http'
import type * as callerBody from './callerBody.js'

/**
 * Reads and discards the rest; closes the connection if that fails.
 * @param onFailed called with the error, unless the caller has closed the connection.
 */
export async function discardRest (req: http.IncomingMessage, body: callerBody.CallerBody, onFailed: (err: unknown) => void): Promise<void> {
  // Node.js ends a request with its connection only until the response is complete.
  const endWithConnection = (): void => { req.destroy() }
  req.socket.once('close', endWithConnection)
  try {
    await body.discardRest()
  } catch (err) {
    if (!req.socket.destroyed) onFailed(err)
    req.destroy()
  } finally {
    req.socket.off('close', endWithConnection)
  }
}
