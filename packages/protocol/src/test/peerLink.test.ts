/** Tests a link whose peer stops responding: pending calls fail, the next call reconnects, and the process does not crash. A slow peer keeps its connection. */
import * as http2 from 'node:http2'
import type * as net from 'node:net'
import * as workerThreads from 'node:worker_threads'
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '../gen/rosemaryrack/inner/v1/inner_pb.js'
import * as peerLink from '../node/peerLink.js'

/** Accepts connections and never responds to calls; `silence` also stops reading, so that pings go unanswered. */
class SilentPeer {
  readonly sockets: net.Socket[] = []
  private readonly server = http2.createServer()

  async start (): Promise<string> {
    this.server.on('connection', (socket: net.Socket) => this.sockets.push(socket))
    this.server.on('sessionError', () => {})
    this.server.on('stream', (stream) => stream.on('error', () => {}))
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`
  }

  /** Stops reading on the socket's handle: the HTTP/2 session reads from the handle, which `socket.pause` does not affect. */
  silence (): void {
    for (const socket of this.sockets) (socket as unknown as { readonly _handle: { readStop(): void } })._handle.readStop()
  }

  dispose (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }
}

tap.t.test('resetting a link right after a ping timeout does not end the process', async (t) => {
  const peer = new SilentPeer()
  const address = await peer.start()
  const link = new peerLink.PeerLink(inner.EntryPeer, address, { cluster: 'c', token: 'a-token-of-the-tests', sourceHost: '127.0.0.1' })
  const updates = link.client.subscribe({})[Symbol.asyncIterator]()
  const first = updates.next()
  await new Promise((resolve) => setTimeout(resolve, 300))
  peer.silence()
  await t.rejects(first, 'the unanswered ping ends the stream')
  link.reset()
  const connectionsBefore = peer.sockets.length
  link.client.fetchConfig({}, { timeoutMs: 500 }).catch(() => {})
  await new Promise((resolve) => setTimeout(resolve, 1000))
  t.equal(peer.sockets.length, connectionsBefore + 1, 'the next call opens a new connection')
  link.dispose()
  peer.dispose()
})

for (const { onTimeout, isSilent, isKept } of [
  { onTimeout: 'verify', isSilent: false, isKept: true },
  { onTimeout: 'verify', isSilent: true, isKept: false },
  { onTimeout: 'reset', isSilent: false, isKept: false }
] as const) {
  tap.t.test(`a call that times out with "${onTimeout}" ${isKept ? 'keeps' : 'closes'} the connection of a peer that ${isSilent ? 'no longer responds' : 'responds to pings'}`, async (t) => {
    const peer = new SilentPeer()
    const link = new peerLink.PeerLink(inner.EntryPeer, await peer.start(), { cluster: 'c', token: 'a-token-of-the-tests', sourceHost: '127.0.0.1' })
    const updates = link.client.subscribe({})[Symbol.asyncIterator]()
    let hasStreamEnded = false
    const ended = updates.next().catch(() => { hasStreamEnded = true })
    await new Promise((resolve) => setTimeout(resolve, 300))
    if (isSilent) peer.silence()
    const call = link.call(async (client, options) => await client.fetchConfig({}, options), 100, onTimeout)
    t.match(await call.then(() => undefined, (err: unknown) => errors.faultOf(err)), onTimeout === 'verify' ? { kind: 'unknown', timedOut: true } : { kind: 'unreachable' })
    // Longer than the verification, and shorter than the pings of the connection itself.
    await new Promise((resolve) => setTimeout(resolve, 800))
    t.equal(hasStreamEnded, !isKept)
    link.dispose()
    peer.dispose()
    await ended
  })
}

tap.t.test('a response that arrived during a pause of this process is no timeout', async (t) => {
  const callTimeoutMs = 200
  const responseMs = 50
  const peer = new workerThreads.Worker(`
    const server = require('node:http2').createServer()
    server.on('stream', (stream) => setTimeout(() => stream.respond({ ':status': 200, 'content-type': 'application/proto' }, { endStream: true }), ${responseMs}))
    server.listen(0, '127.0.0.1', () => require('node:worker_threads').parentPort.postMessage(server.address().port))`, { eval: true, execArgv: [] })
  const port = await new Promise<number>((resolve) => peer.once('message', resolve))
  const link = new peerLink.PeerLink(inner.EntryPeer, `127.0.0.1:${port}`, { cluster: 'c', token: 'a-token-of-the-tests', sourceHost: '127.0.0.1' })
  const fetchConfig = async (timeoutMs: number): Promise<string> =>
    await link.call(async (client, options) => await client.fetchConfig({}, options), timeoutMs).then(() => 'response', (err: unknown) => errors.messageOf(err))
  // The connection exists before the call.
  t.equal(await fetchConfig(10_000), 'response')
  const outcome = fetchConfig(callTimeoutMs)
  await new Promise((resolve) => setTimeout(resolve, responseMs / 2))
  // At the end of a turn, so that timers come next.
  await new Promise((resolve) => setImmediate(resolve))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2 * callTimeoutMs)
  t.equal(await outcome, 'response')
  link.dispose()
  await peer.terminate()
})
