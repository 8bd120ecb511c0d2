/** How the end of a TCP connection is told from a reset; depends on the operating system and on libuv. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as connectionEnd from '../node/connectionEnd.js'

const repetitions = 50
const data = Buffer.alloc(1000)
/** More than the buffers of a connection hold. */
const longData = Buffer.alloc(16 * 1024 * 1024)
const settleMs = 10

/** Records how the end of its connection was classified. */
class CheckedSocket extends net.Socket {
  readonly ends: string[] = []

  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk === null) connectionEnd.checkEnd(this, (reset) => this.ends.push(reset === undefined ? 'orderly' : 'reset'))
    return super.push(chunk, encoding)
  }
}

/** Connects to a peer that treats the connection as `serve` does once bytes have arrived; returns how the end was classified. */
async function classifyEnd (serve: (socket: net.Socket) => void, written: Buffer, onData: (socket: net.Socket) => void = () => {}): Promise<string> {
  const server = net.createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {})
    socket.once('data', () => serve(socket))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = new CheckedSocket().connect({ host: '127.0.0.1', port: (server.address() as net.AddressInfo).port })
  let failure: string | undefined
  socket.on('data', () => onData(socket))
  socket.on('error', (err: NodeJS.ErrnoException) => { failure = err.code })
  socket.write(written)
  await new Promise((resolve) => socket.once('close', resolve))
  server.close()
  return socket.ends[0] ?? failure ?? 'none'
}

for (const [name, expected, written, serve, onData] of [
  ['a reset that arrives together with data', ['reset', 'ECONNRESET'], data, (socket: net.Socket) => { socket.write(data); socket.resetAndDestroy() }],
  ['a reset after data', ['reset', 'ECONNRESET'], data, (socket: net.Socket) => { socket.write(data); setTimeout(() => socket.resetAndDestroy(), settleMs) }],
  ['an orderly close', ['orderly'], data, (socket: net.Socket) => { socket.end(data) }],
  ['an orderly close of a peer that refuses further data', ['orderly'], data, (socket: net.Socket) => { socket.end(data); setTimeout(() => socket.destroy(), settleMs) }, (socket: net.Socket) => { socket.write(data) }]
] as const) {
  // Guards against a part of a message that is taken for the whole one because its connection was reset.
  tap.t.test(`${name} is recognized`, async (t) => {
    const outcomes = new Set<string>()
    for (let i = 0; i < repetitions; i++) outcomes.add(await classifyEnd(serve, written, onData))
    t.ok([...outcomes].every((outcome) => (expected as readonly string[]).includes(outcome)), [...outcomes].join(', '))
  })
}

tap.t.test('a reset that arrives together with data while a write is pending is recognized', async (t) => {
  const outcomes = new Set<string>()
  for (let i = 0; i < repetitions; i++) {
    outcomes.add(await classifyEnd((socket) => {
      socket.pause()
      socket.write(data)
      socket.resetAndDestroy()
    }, longData))
    await timers.setImmediate()
  }
  t.notOk(outcomes.has('orderly'), [...outcomes].join(', '))
})
