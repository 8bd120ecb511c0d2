/** The callers of the fixtures must not take a response that was reset on the way for a complete one. */
import * as net from 'node:net'
import * as tap from 'tap'
import * as callerFixture from './callerFixture.js'
import * as forwardingEntry from './forwardingEntry.js'

const repetitions = 100
const resetResponse = `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${'x'.repeat(1000)}`
const request = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'

/** Returns whether the response on a new connection looks complete to a caller. */
type Caller = (port: number) => Promise<boolean>

async function useConnection (port: number): Promise<boolean> {
  const caller = callerFixture.CallerConnection.open(port)
  caller.socket.write(request)
  await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed)
  caller.socket.destroy()
  return caller.hasEnded
}

async function useRequest (port: number): Promise<boolean> {
  return (await forwardingEntry.send(`127.0.0.1:${port}`)).isComplete
}

/** Counts the responses that look complete. */
async function countComplete (caller: Caller, respond: (socket: net.Socket) => void): Promise<number> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => respond(socket))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  let count = 0
  for (let i = 0; i < repetitions; i++) if (await caller(port)) count++
  server.close()
  return count
}

function respondWithReset (socket: net.Socket): void {
  socket.write(resetResponse)
  socket.resetAndDestroy()
}

for (const [name, caller] of [['CallerConnection', useConnection], ['send', useRequest]] as const) {
  // Guards against a test that passes though its caller got only a part of a response.
  tap.t.test(`${name} tells a reset that arrives together with data from the end of a response`, async (t) => {
    t.equal(await countComplete(caller, respondWithReset), 0)
    t.equal(await countComplete(caller, (socket) => { socket.end(resetResponse) }), repetitions)
  })
}
