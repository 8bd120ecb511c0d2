/** A link whose peer falls silent: calls fail, the next one connects anew, and the process goes on. */
import * as http2 from 'node:http2'
import type * as net from 'node:net'
import * as tap from 'tap'
import * as inner from '../gen/rosemaryrack/inner/v1/inner_pb.js'
import * as peerLink from '../node/peerLink.js'

/** Accepts connections and answers nothing; `silence` stops it from reading too, so that pings go unanswered. */
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

  /** The session reads at the level of the handle, beneath the socket's own `pause`. */
  silence (): void {
    for (const socket of this.sockets) (socket as unknown as { readonly _handle: { readStop(): void } })._handle.readStop()
  }

  dispose (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }
}

tap.t.test('a link that is reset as soon as its silent peer is noticed doesn\'t end the process', async (t) => {
  const peer = new SilentPeer()
  const address = await peer.start()
  const link = new peerLink.PeerLink(inner.EntryPeer, address, { cluster: 'c', token: 'a-token-of-the-tests', sourceHost: '127.0.0.1' })
  const updates = link.client.subscribe({})[Symbol.asyncIterator]()
  const first = updates.next()
  await new Promise((resolve) => setTimeout(resolve, 300))
  peer.silence()
  await t.rejects(first, 'the ping goes unanswered')
  link.reset()
  const calls = peer.sockets.length
  link.client.fetchConfig({}, { timeoutMs: 500 }).catch(() => {})
  await new Promise((resolve) => setTimeout(resolve, 1000))
  t.equal(peer.sockets.length, calls + 1, 'the next call connects anew')
  link.dispose()
  peer.dispose()
})
