/** Tests that an entry instance first connects to one control replica and one hub, and to others later, since each further connection delays its first requests. */
import * as net from 'node:net'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as endpointTable from '../common/endpointTable.js'
import * as memberTable from '../common/memberTable.js'
import * as suspectTable from '../common/suspectTable.js'
import * as configFollower from '../node/configFollower.js'
import * as peerMesh from '../node/peerMesh.js'

/** Connections at least this far apart count as delayed. */
const delayThresholdMs = 150
const silentStreamMs = 1000
const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }

/** Servers that accept connections and send nothing. */
class SilentServers implements lifecycle.IDisposable {
  readonly addresses: string[] = []
  private readonly servers: net.Server[] = []
  private readonly sockets: net.Socket[] = []
  private readonly connected: Array<{ readonly port: number, readonly at: number }> = []
  private wake = (): void => {}

  async listen (count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const server = net.createServer((socket) => {
        this.sockets.push(socket)
        this.connected.push({ port: socket.localPort ?? 0, at: performance.now() })
        this.wake()
      })
      await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
      this.servers.push(server)
      this.addresses.push(`127.0.0.1:${(server.address() as net.AddressInfo).port}`)
    }
  }

  /** Number of servers that received a connection. */
  get connectedCount (): number {
    return new Set(this.connected.map(({ port }) => port)).size
  }

  /** Resolves to the times of the first connections once `count` different servers received one. */
  async firstConnections (count: number): Promise<readonly number[]> {
    for (;;) {
      const firstConnectedAt = new Map<number, number>()
      for (const { port, at } of this.connected) if (!firstConnectedAt.has(port)) firstConnectedAt.set(port, at)
      if (firstConnectedAt.size >= count) return [...firstConnectedAt.values()]
      await new Promise<void>((resolve) => { this.wake = resolve })
    }
  }

  dispose (): void {
    for (const socket of this.sockets) socket.destroy()
    for (const server of this.servers) server.close()
  }
}

tap.t.test('the configuration is requested from one replica, then from a second one', async (t) => {
  const replicas = new SilentServers()
  await replicas.listen(3)
  const follower = new configFollower.ConfigFollower('entry', replicas.addresses.map((address) => ({ address })), identity, new decisionLog.NullDecisionLog())
  follower.start()
  const [first, second] = await replicas.firstConnections(2)
  t.ok(second! - first! >= delayThresholdMs, `${Math.round(second! - first!)} ms apart`)
  follower.dispose()
  replicas.dispose()
})

tap.t.test('does not wait for a replica that reports no confirmation', async (t) => {
  const [host, port] = ['127.77.0.1', 17_431]
  const replica = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      follow: async function * () {
        // An update without a confirmation.
        yield {}
        await async.sleep(silentStreamMs)
      }
    })
  })
  await replica.listen(`${host}:${port}`)
  const times: number[] = []
  for (let run = 0; run < 5; run++) {
    const follower = new configFollower.ConfigFollower('entry', [{ address: `${host}:${port}` }], identity, new decisionLog.NullDecisionLog())
    const startedAt = performance.now()
    follower.start()
    t.equal(await follower.waitForFirstStream(), false)
    times.push(performance.now() - startedAt)
    follower.dispose()
  }
  const shortestMs = Math.min(...times)
  t.ok(shortestMs < delayThresholdMs, `resolved after ${Math.round(shortestMs)} ms`)
  replica.dispose()
})

/** Creates the mesh of a spoke; it and its dependencies are disposed with the store. */
function createSpoke (hubs: readonly string[], disposables: lifecycle.DisposableStore): peerMesh.PeerMesh {
  const systemClock = new clock.SystemClock()
  const tables = {
    members: disposables.add(new memberTable.MemberTable(systemClock, 'entry')),
    endpoints: disposables.add(new endpointTable.EndpointTable(systemClock)),
    suspects: disposables.add(new suspectTable.SuspectTable(systemClock)),
    configs: disposables.add(new configFollower.ConfigFollower('entry', [], identity, new decisionLog.NullDecisionLog()))
  }
  const self = { instance: 'entry', address: '127.0.0.1:1', failureDomain: 'a', incarnation: 1, role: 'spoke' } as const
  return disposables.add(new peerMesh.PeerMesh(self, hubs, identity, tables, disposables.add(new pauseDetector.PauseDetector()), new decisionLog.NullDecisionLog()))
}

tap.t.test('a spoke subscribes to one hub, then to all others at the same time', async (t) => {
  const hubs = new SilentServers()
  await hubs.listen(3)
  const disposables = new lifecycle.DisposableStore()
  createSpoke(hubs.addresses, disposables).start()
  const [first, second, third] = await hubs.firstConnections(3)
  t.ok(second! - first! >= delayThresholdMs, `${Math.round(second! - first!)} ms apart`)
  t.ok(third! - second! < delayThresholdMs, 'all others at the same time')
  disposables.dispose()
  hubs.dispose()
})

tap.t.test('a spoke that is disposed after its first subscription makes no other', async (t) => {
  const hubs = new SilentServers()
  t.teardown(() => hubs.dispose())
  await hubs.listen(3)
  const disposables = new lifecycle.DisposableStore()
  const startPromise = createSpoke(hubs.addresses, disposables).start()
  await hubs.firstConnections(1)
  disposables.dispose()
  await startPromise
  await async.sleep(delayThresholdMs)
  t.equal(hubs.connectedCount, 1)
})
