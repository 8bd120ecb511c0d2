/** Parts of a message as they are written to a plain socket. */
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'

/** A part of a message on its connection: bytes, a pause in milliseconds, or the end of the connection. */
export type Step = Buffer | number | 'end' | 'reset'

/** Writes one step after the other; stops once the connection has ended. */
export async function play (socket: net.Socket, steps: readonly Step[]): Promise<void> {
  for (const step of steps) {
    if (typeof step === 'number') await async.sleep(step)
    else if (step === 'end') socket.end()
    else if (step === 'reset') reset(socket)
    else await new Promise((resolve) => { socket.write(step, resolve) })
    if (socket.destroyed) return
  }
}

/** Resets a connection, except while its end is being sent: Node.js would never close it then, nor exit. */
export function reset (socket: net.Socket): void {
  if (!socket.writableEnded || socket.writableFinished) socket.resetAndDestroy()
}
