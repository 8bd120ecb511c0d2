/** Tests that configurations are compressed between processes. */
import * as net from 'node:net'
import * as tap from 'tap'
import * as inner from '../gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '../node/innerListener.js'
import * as peerLink from '../node/peerLink.js'

const identity = { cluster: 'c', token: 'a-token-of-the-tests', sourceHost: '127.0.0.1' }
const laneCount = 300
const document = JSON.stringify(Array.from({ length: laneCount }, (_value, i) => ({ service: `service-${i % 7}`, match: { pathPrefix: `/prefix${i}/` }, idempotent: true, deadlineMs: 1500 })))

/** Forwards connections to a port and counts the bytes of the responses. */
class CountingRelay {
  returnedBytes = 0
  readonly server: net.Server

  constructor (port: number) {
    this.server = net.createServer((incoming) => {
      const outgoing = net.connect(port, '127.0.0.1')
      outgoing.on('data', (chunk) => { this.returnedBytes += chunk.length })
      incoming.pipe(outgoing).pipe(incoming)
      incoming.on('error', () => outgoing.destroy())
      outgoing.on('error', () => incoming.destroy())
    })
  }

  async listen (): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    return (this.server.address() as net.AddressInfo).port
  }
}

async function findFreePort (): Promise<number> {
  const server = net.createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

tap.t.test('a configuration of hundreds of lanes is transferred in less than a fifth of its size', async (t) => {
  const listener = new innerListener.InnerListener(identity, (router) => {
    router.service(inner.EntryPeer, { fetchConfig: () => ({ version: 7n, documentJson: document }) })
  })
  const port = await findFreePort()
  await listener.listen(`127.0.0.1:${port}`)
  const relay = new CountingRelay(port)
  const link = new peerLink.PeerLink(inner.EntryPeer, `127.0.0.1:${await relay.listen()}`, identity)
  const res = await link.client.fetchConfig({})
  t.equal(res.documentJson, document)
  t.ok(relay.returnedBytes < document.length / 5, `${relay.returnedBytes} bytes for ${document.length}`)
  link.dispose()
  relay.server.close()
  listener.dispose()
})
