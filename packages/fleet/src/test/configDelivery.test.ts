/** Tests that a configuration version that peers have reaches an instance although some of them don't respond. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as endpointTable from '../common/endpointTable.js'
import * as memberTable from '../common/memberTable.js'
import * as suspectTable from '../common/suspectTable.js'
import * as configFollower from '../node/configFollower.js'
import * as peerMesh from '../node/peerMesh.js'

const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
/** Less than the timeout of a fetch, and less than the time in which a version must be in force. */
const deliveryLimitMs = 1500
const heartbeatMs = 100
const endedStreamCount = 3
/** Longer than the timeout of a fetch. */
const hangMs = 4000
/** Time after which an instance that reaches the replicas again must follow them. */
const silenceLimitMs = 3000

class RecordingLog {
  readonly decisions: decisionLog.Decision[] = []

  record (decision: decisionLog.Decision): void {
    this.decisions.push(decision)
  }

  count (name: string): number {
    return this.decisions.filter(({ event: each }) => each === name).length
  }

  get log (): decisionLog.IDecisionLog {
    return this as unknown as decisionLog.IDecisionLog
  }
}

function configVersion (version: number, documentJson = '{"lanes":{}}'): inner.ConfigVersion {
  return { version: BigInt(version), documentJson, extensionsJson: '' } as unknown as inner.ConfigVersion
}

async function neverResponds (): Promise<inner.ConfigVersion> {
  return await new Promise(() => {})
}

/** Waits for a version to be in force. */
async function waitForVersion (follower: configFollower.ConfigFollower, version: number): Promise<boolean> {
  if (follower.current.version === version) return true
  const changed = new async.Deferred<void>()
  const subscription = follower.onChanged((config) => { if (config.version === version) changed.resolve() })
  const isInForce = await async.settlesWithin(changed.promise, deliveryLimitMs)
  subscription.dispose()
  return isInForce
}

tap.t.test('a peer that does not respond does not delay a version that another peer has', async (t) => {
  const follower = new configFollower.ConfigFollower('entry', [], identity, new RecordingLog().log)
  follower.handlePeerVersion(2, false, 0, neverResponds, 'hub-a')
  follower.handlePeerVersion(2, false, 0, async () => configVersion(2), 'hub-b')
  t.equal(await waitForVersion(follower, 2), true)
  follower.dispose()
})

tap.t.test('after a failed fetch, the version is fetched from the next peer at once', async (t) => {
  const log = new RecordingLog()
  const follower = new configFollower.ConfigFollower('entry', [], identity, log.log)
  follower.handlePeerVersion(2, false, 0, async () => { throw new Error('unreachable') }, 'hub-a')
  follower.handlePeerVersion(2, false, 0, async () => configVersion(2), 'hub-b')
  t.equal(await waitForVersion(follower, 2), true)
  t.match(log.decisions, [{ event: 'config-fetch', choice: 'failed', subject: 'hub-a', why: 'unreachable' }, { event: 'config-in-force', choice: '2' }])
  follower.dispose()
})

tap.t.test('a document that this build refuses is fetched and logged once, and does not prevent a later version', async (t) => {
  const log = new RecordingLog()
  const follower = new configFollower.ConfigFollower('entry', [], identity, log.log)
  let fetchCount = 0
  for (let i = 0; i < 5; i++) {
    follower.handlePeerVersion(2, false, 0, async () => {
      fetchCount++
      return configVersion(2, '{"lanes":{},"fieldOfNewerBuild":1}')
    }, 'hub-a')
    await async.nextTurn()
  }
  t.same([fetchCount, log.count('config-refused'), follower.missingVersion], [1, 1, 2])
  follower.handlePeerVersion(3, false, 0, async () => configVersion(3), 'hub-a')
  t.equal(await waitForVersion(follower, 3), true)
  t.equal(follower.missingVersion, undefined)
  follower.dispose()
})

tap.t.test('a stream of the configuration that ends is logged once, and its recovery', async (t) => {
  const address = '127.118.0.2:17452'
  const log = new RecordingLog()
  let streamCount = 0
  const replica = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      follow: async function * () {
        if (++streamCount > endedStreamCount) yield { confirmed: true }
      }
    })
  })
  await replica.listen(address)
  const follower = new configFollower.ConfigFollower('entry', [{ address }], identity, log.log)
  follower.start()
  t.equal(await follower.waitForConfirmation(hangMs), true)
  t.match(log.decisions, [
    { event: 'config-stream', choice: 'failed', subject: address, why: 'the replica ended the stream' },
    { event: 'config-stream', choice: 'recovered', failures: endedStreamCount }
  ])
  follower.dispose()
  replica.dispose()
})

tap.t.test('a claim that times out does not close the stream of the configuration', async (t) => {
  const address = '127.118.0.3:17453'
  let streamCount = 0
  const replica = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      follow: async function * (_req, context) {
        streamCount++
        while (!context.signal.aborted) {
          yield { confirmed: true }
          await async.sleep(heartbeatMs, context.signal)
        }
      },
      claim: async (_req, context) => {
        await async.sleep(hangMs, context.signal)
        return {}
      }
    })
  })
  await replica.listen(address)
  const follower = new configFollower.ConfigFollower('entry', [{ address }], identity, new RecordingLog().log)
  follower.start()
  t.equal(await follower.waitForConfirmation(hangMs), true)
  await t.rejects(follower.claim('key', 'owner'))
  await async.sleep(5 * heartbeatMs)
  t.equal(streamCount, 1)
  follower.dispose()
  replica.dispose()
})

tap.t.test('a stream that goes silent is replaced as soon as one that a quorum no longer confirms', async (t) => {
  const address = '127.118.0.5:17455'
  const startTimes: number[] = []
  const replaced = new async.Deferred<void>()
  const replica = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
    router.service(inner.ControlReplica, {
      follow: async function * (_req, context) {
        startTimes.push(performance.now())
        if (startTimes.length > 1) replaced.resolve()
        yield { confirmed: true }
        await async.sleep(hangMs, context.signal)
      }
    })
  })
  await replica.listen(address)
  const follower = new configFollower.ConfigFollower('entry', [{ address }], identity, new RecordingLog().log)
  follower.start()
  t.ok(await async.settlesWithin(replaced.promise, hangMs))
  const replacedAfterMs = startTimes[1]! - startTimes[0]!
  t.ok(replacedAfterMs < silenceLimitMs, `after ${Math.round(replacedAfterMs)} ms`)
  follower.dispose()
  replica.dispose()
})

/** A hub that reports a version but does not respond to fetches. */
class HangingHub implements lifecycle.IDisposable {
  readonly address = '127.118.0.1:17451'
  subscriptionCount = 0
  private readonly listener: innerListener.InnerListener

  constructor () {
    this.listener = new innerListener.InnerListener({ cluster: identity.cluster, token: identity.token }, (router) => {
      router.service(inner.EntryPeer, {
        subscribe: (_req, context) => this.sendHeartbeats(context.signal),
        fetchConfig: async (_req, context) => {
          await async.sleep(hangMs, context.signal)
          return {}
        }
      })
    })
  }

  async listen (): Promise<void> {
    await this.listener.listen(this.address)
  }

  private async * sendHeartbeats (signal: AbortSignal): AsyncGenerator<{ readonly configVersion: bigint, readonly self: { readonly instance: string, readonly address: string, readonly hub: boolean } }> {
    this.subscriptionCount++
    while (!signal.aborted) {
      yield { configVersion: 2n, self: { instance: 'hub', address: this.address, hub: true } }
      await async.sleep(heartbeatMs, signal)
    }
  }

  dispose (): void {
    this.listener.dispose()
  }
}

/** A spoke of the hub, whose configuration versions the test receives. */
class Spoke implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly time = new clock.SystemClock()
  readonly log = new RecordingLog()
  readonly members = this.disposables.add(new memberTable.MemberTable(this.time, 'entry'))
  private readonly mesh: peerMesh.PeerMesh

  constructor (hub: HangingHub, handleVersion: (fetch: () => Promise<inner.ConfigVersion>) => void) {
    const configs = {
      current: { version: 1, document: { lanes: {} } },
      currentEncoded: { documentJson: '{}', extensionsJson: '' },
      confirmedAgeMs: Infinity,
      onChanged: new event.Emitter<unknown>().event,
      waitForFirstStream: async () => false,
      handlePeerVersion: (_version: number, _confirmed: boolean, _ageMs: number, fetch: () => Promise<inner.ConfigVersion>) => handleVersion(fetch)
    }
    const tables = {
      members: this.members,
      endpoints: this.disposables.add(new endpointTable.EndpointTable(this.time)),
      suspects: this.disposables.add(new suspectTable.SuspectTable(this.time)),
      configs
    }
    const self = { instance: 'entry', address: '127.0.0.1:1', failureDomain: 'a', incarnation: 1, role: 'spoke' } as const
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(self, [hub.address], identity, tables, this.disposables.add(new pauseDetector.PauseDetector()), this.log.log))
  }

  start (): void {
    this.mesh.start()
  }

  dispose (): void {
    this.disposables.dispose()
  }
}

tap.t.test('a fetch that times out does not close the stream of updates', async (t) => {
  const hub = new HangingHub()
  await hub.listen()
  const timedOut = new async.Deferred<void>()
  let isFirst = true
  const spoke = new Spoke(hub, (fetch) => {
    if (isFirst) fetch().catch(() => timedOut.resolve())
    isFirst = false
  })
  spoke.start()
  await timedOut.promise
  await async.sleep(5 * heartbeatMs)
  t.equal(hub.subscriptionCount, 1)
  spoke.dispose()
  hub.dispose()
})

tap.t.test('an update that can\'t be applied as a whole still reports the configuration version, and is logged once', async (t) => {
  const hub = new HangingHub()
  await hub.listen()
  const reported = new async.Deferred<void>()
  let reportCount = 0
  const spoke = new Spoke(hub, () => { if (++reportCount === 3) reported.resolve() })
  spoke.members.apply = () => { throw new Error('unknown kind of member') }
  spoke.start()
  t.equal(await async.settlesWithin(reported.promise, deliveryLimitMs), true)
  t.same([hub.subscriptionCount, spoke.log.count('peer-update')], [1, 1])
  spoke.dispose()
  hub.dispose()
})
