/** Answers whose end is the end of the connection, while the caller of the attempt doesn't read or has gone. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as httpAttempt from '../node/httpAttempt.js'
import * as targetConnections from '../node/targetConnections.js'

const chunk = Buffer.alloc(8 * 1024)
const aMomentMs = 50

/** One exchange with a target that sends an unframed answer. */
class Exchange implements httpAttempt.IBodySink {
  readonly connections = new targetConnections.TargetConnections()
  readonly seen: string[] = []
  readonly server = net.createServer((socket) => this.answer(socket))
  atTarget: net.Socket | undefined
  private attempt: httpAttempt.HttpAttempt | undefined

  /** @param endsAtOnce the target ends the connection together with the last data. */
  constructor (private readonly reads: boolean, private readonly endsAtOnce = false) {}

  async begin (): Promise<httpAttempt.HttpAttempt> {
    this.server.listen(0, '127.0.0.1')
    await new Promise((resolve) => this.server.once('listening', resolve))
    const { port } = this.server.address() as net.AddressInfo
    const endpoint = { endpoint: 'e', service: 's', address: `127.0.0.1:${port}` } as unknown as Parameters<httpAttempt.HttpTransport['start']>[0]
    const transport = new httpAttempt.HttpTransport({
      method: 'GET',
      target: '/',
      headers: [],
      body: { content: () => null } as unknown as httpAttempt.TargetReq['body'],
      deadlineAt: Infinity,
      idempotent: true,
      requestId: '7',
      names: { requestId: 'x-id', deadline: 'x-deadline', notRun: { name: 'x-not-run' } }
    }, this.connections)
    this.attempt = transport.start(endpoint, {
      onHead: () => this.attempt!.pipe(this),
      onBodyEnd: () => {},
      onFailure: ({ kind }) => this.seen.push(kind)
    }, false)
    while (!this.seen.includes('data')) await timers.setTimeout(1)
    return this.attempt
  }

  onData (): boolean {
    if (!this.seen.includes('data')) this.seen.push('data')
    return this.reads
  }

  onEnd (): void {
    this.seen.push('end')
  }

  onBroken (): void {
    this.seen.push('broken')
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.connections.dispose()
    this.atTarget?.destroy()
    this.server.close()
    await new Promise((resolve) => this.server.once('close', resolve))
  }

  private answer (socket: net.Socket): void {
    this.atTarget = socket
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n')
      if (this.endsAtOnce) socket.end(chunk)
      else socket.write(chunk)
    })
  }
}

tap.t.test('an answer that nobody reads any more is given up', async (t) => {
  await using exchange = new Exchange(false)
  const attempt = await exchange.begin()
  attempt.cancel()
  await timers.setTimeout(aMomentMs)
  t.same(exchange.seen, ['data'])
})

for (const [name, reads] of [
  ['a target resets while its answer waits to be read', false],
  ['an answer without a length that ends by a reset is incomplete', true]
] as const) {
  tap.t.test(name, async (t) => {
    await using exchange = new Exchange(reads)
    await exchange.begin()
    exchange.atTarget!.resetAndDestroy()
    await timers.setTimeout(aMomentMs)
    t.same(exchange.seen, ['data', 'broken'])
  })
}

tap.t.test('a target ends its answer while the last of it waits to be read', async (t) => {
  await using exchange = new Exchange(false, true)
  const attempt = await exchange.begin()
  await timers.setTimeout(aMomentMs)
  t.same(exchange.seen, ['data'])
  attempt.resume()
  await timers.setTimeout(aMomentMs)
  t.same(exchange.seen, ['data', 'end'])
})

tap.t.test('an answer without a length ends with its connection', async (t) => {
  await using exchange = new Exchange(true)
  await exchange.begin()
  exchange.atTarget!.end()
  await timers.setTimeout(aMomentMs)
  t.same(exchange.seen, ['data', 'end'])
})
