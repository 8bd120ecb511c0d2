/** Tests that a configuration arrives that takes longer to transfer than a stream may be silent. */
import * as crypto from 'node:crypto'
import * as net from 'node:net'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as configFollower from '../node/configFollower.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
const host = '127.118.0.11'
const replicaPort = 17_462
const relayPort = 17_463
const bytesPerS = 30_000
const laneCount = 2400
const msPerSecond = 1000
const limitMs = 15_000

/** Passes the bytes from a replica on at a limited rate. */
class SlowRelay implements lifecycle.IDisposable {
  connectionCount = 0
  private readonly server = net.createServer((socket) => this.relay(socket))

  async listen (): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(relayPort, host, resolve))
  }

  dispose (): void {
    this.server.close()
  }

  private relay (downstream: net.Socket): void {
    this.connectionCount++
    const upstream = net.connect(replicaPort, host)
    downstream.pipe(upstream)
    downstream.on('error', () => upstream.destroy()).on('close', () => upstream.destroy())
    upstream.on('error', () => downstream.destroy()).on('close', () => downstream.destroy())
    upstream.on('data', (data: Buffer) => {
      upstream.pause()
      downstream.write(data)
      setTimeout(() => upstream.resume(), data.length / bytesPerS * msPerSecond)
    })
  }
}

/** Returns a document that compression hardly shortens. */
function createDocument (): string {
  const names = Array.from({ length: laneCount }, () => `n${crypto.randomBytes(60).toString('hex')}`)
  return JSON.stringify({ lanes: Object.fromEntries(names.map((name) => [name, { service: 's', match: { pathPrefix: `/${name}` }, idempotent: true, deadlineMs: 1, maxWaitMs: 1 }])) })
}

tap.t.test('a configuration arrives over a slow connection, on the first stream', async (t) => {
  const documentJson = createDocument()
  const replica = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      follow: async function * (_req, context) {
        yield { confirmed: true, confirmedVersion: 1n, config: { version: 1n, documentJson } }
        await async.sleep(limitMs, context.signal)
      }
    })
  })
  await replica.listen(`${host}:${replicaPort}`)
  const relay = new SlowRelay()
  await relay.listen()
  const follower = new configFollower.ConfigFollower('entry', [{ address: `${host}:${relayPort}` }], identity, new decisionLog.NullDecisionLog())
  const startedAt = performance.now()
  follower.start()
  t.equal(await follower.waitForConfirmation(limitMs), true)
  t.comment(`${documentJson.length} characters arrived after ${Math.round(performance.now() - startedAt)} ms`)
  t.same([follower.current.version, relay.connectionCount], [1, 1])
  follower.dispose()
  relay.dispose()
  replica.dispose()
})
