/** Tests which listener of a peer a link with a preferred port connects to. */
import * as net from 'node:net'
import * as tap from 'tap'
import * as inner from '../gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '../node/innerListener.js'
import * as peerLink from '../node/peerLink.js'

const identity = { cluster: 'c', token: 'a-token-of-the-tests', sourceHost: '127.0.0.1' }
const host = '127.118.0.12'
const port = 17_500
const preferredPort = 17_501
const callTimeoutMs = 20_000
const waitingCount = 300
/** Turns in which a connection is accepted and a call on it answered. */
const maxTurns = 50

/** Listens at a port of the peer; the responses name it. */
async function listen (at: number): Promise<innerListener.InnerListener> {
  const listener = new innerListener.InnerListener(identity, (router) => {
    router.service(inner.ControlReplica, { describe: () => ({ replicaId: String(at) }) })
  })
  await listener.listen(`${host}:${at}`)
  return listener
}

async function describe (link: peerLink.PeerLink<typeof inner.ControlReplica>): Promise<string> {
  const { replicaId } = await link.call(async (client, options) => await client.describe({}, options), callTimeoutMs)
  return replicaId
}

tap.t.test('replicas reach each other at the port for replicas, and at the other one where an earlier build refuses it', async (t) => {
  const listeners = [await listen(port)]
  const link = new peerLink.PeerLink(inner.ControlReplica, `${host}:${port}`, identity, { preferredPort })
  t.teardown(() => {
    link.dispose()
    for (const listener of listeners) listener.dispose()
  })
  await t.rejects(describe(link), 'refused once')
  t.equal(await describe(link), String(port))
  listeners.push(await listen(preferredPort))
  const second = new peerLink.PeerLink(inner.ControlReplica, `${host}:${port}`, identity, { preferredPort })
  t.equal(await describe(second), String(preferredPort))
  second.dispose()
})

tap.t.test('a replica that was down is reached at the port for replicas', async (t) => {
  const link = new peerLink.PeerLink(inner.ControlReplica, `${host}:${port}`, identity, { preferredPort })
  await t.rejects(describe(link), 'the preferred port refuses')
  await t.rejects(describe(link), 'and so does the other one')
  const listeners = [await listen(port), await listen(preferredPort)]
  t.teardown(() => {
    link.dispose()
    for (const listener of listeners) listener.dispose()
  })
  t.equal(await describe(link), String(preferredPort))
})

tap.t.test('a connection of a replica does not wait until hundreds of others have been accepted', async (t) => {
  const busy = net.createServer()
  const accepted = { count: 0 }
  busy.on('connection', () => { accepted.count++ })
  await new Promise<void>((resolve) => { busy.listen(port, host, resolve) })
  const listener = await listen(preferredPort)
  const link = new peerLink.PeerLink(inner.ControlReplica, `${host}:${port}`, identity, { preferredPort })
  const waiting = Array.from({ length: waitingCount }, () => net.connect(port, host))
  t.teardown(() => {
    link.dispose()
    listener.dispose()
    for (const socket of waiting) socket.destroy()
    busy.close()
  })
  t.equal(await describe(link), String(preferredPort))
  t.ok(accepted.count <= maxTurns, `${accepted.count} of ${waitingCount} others accepted before`)
})
