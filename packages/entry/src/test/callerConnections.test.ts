/** Tests which connections of callers count as idle. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as callerConnections from '../node/callerConnections.js'

/** More than the sockets between server and caller hold. */
const largeBodyBytes = 32 * 1024 * 1024
const settleMs = 50
const smallRequest = 'GET /10 HTTP/1.1\r\nHost: a\r\n\r\n'
const partialRequest = 'GET /10 HTTP/1.1\r\nHo'
const keepAliveTimeoutMs = 100
/** Node.js adds a second to the timeout that it announces. */
const idleCloseMs = keepAliveTimeoutMs + 1000
const unknownExpectation = 'GET /10 HTTP/1.1\r\nHost: a\r\nExpect: other\r\n\r\n'

interface Case {
  readonly name: string
  /** What the caller sends, with a pause after each part. It reads nothing. */
  readonly sent: readonly string[]
  readonly isIdle: boolean
}

interface Connected {
  readonly connections: callerConnections.CallerConnections
  readonly socket: net.Socket
  readonly dispose: () => void
}

/** Connects to a server that responds with a body of the size in the path, or not at all to `/silent`. */
async function connect (options: http.ServerOptions): Promise<Connected> {
  const server = http.createServer(options)
  const connections = new callerConnections.CallerConnections(server, new decisionLog.NullDecisionLog(), {
    serve: (req, res) => { if (req.url !== '/silent') res.end(Buffer.alloc(Number(req.url!.slice(1)))) },
    end: () => {}
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
  const dispose = (): void => {
    socket.destroy()
    server.close()
    server.closeAllConnections()
  }
  return { connections, socket, dispose }
}

const cases: readonly Case[] = [
  { name: 'without a request', sent: [], isIdle: true },
  { name: 'whose response was sent', sent: [smallRequest], isIdle: true },
  { name: 'whose two responses were sent', sent: [smallRequest, smallRequest], isIdle: true },
  { name: 'whose two requests came together', sent: [smallRequest + smallRequest], isIdle: true },
  { name: 'whose response is ended but waits for the caller to read', sent: [`GET /${largeBodyBytes} HTTP/1.1\r\nHost: a\r\n\r\n`], isIdle: false },
  { name: 'whose response has not begun', sent: ['GET /silent HTTP/1.1\r\nHost: a\r\n\r\n'], isIdle: false },
  { name: 'with a part of a request', sent: [partialRequest], isIdle: false },
  { name: 'with a part of the second request', sent: [smallRequest, partialRequest], isIdle: false },
  { name: 'with a part of a body', sent: ['POST /silent HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab'], isIdle: false }
]

for (const { name, sent, isIdle } of cases) {
  tap.t.test(`a connection ${name} is ${isIdle ? 'closed' : 'kept'}`, async (t) => {
    const { connections, socket, dispose } = await connect({})
    t.teardown(dispose)
    socket.pause()
    for (const part of sent) {
      socket.write(part)
      await timers.setTimeout(settleMs)
    }
    while (connections.size === 0) await timers.setTimeout(1)
    connections.closeIdle()
    await timers.setTimeout(settleMs)
    t.equal(connections.size, isIdle ? 0 : 1)
  })
}

for (const [name, sent, isClosed] of [
  ['whose response was sent', smallRequest, true],
  ['with an empty line after a request', `${smallRequest}\r\n`, true],
  ['whose request had an unknown expectation', unknownExpectation, true],
  ['whose response has not begun', 'GET /silent HTTP/1.1\r\nHost: a\r\n\r\n', false]
] as const) {
  tap.t.test(`a connection ${name} is ${isClosed ? 'closed' : 'kept'} at its idle timeout`, async (t) => {
    const { connections, socket, dispose } = await connect({ keepAliveTimeout: keepAliveTimeoutMs })
    t.teardown(dispose)
    socket.resume()
    socket.write(sent)
    await timers.setTimeout(settleMs)
    t.equal(connections.size, 1)
    await timers.setTimeout(idleCloseMs + 2 * settleMs)
    t.equal(connections.size, isClosed ? 0 : 1)
  })
}
