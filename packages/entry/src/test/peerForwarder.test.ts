/** Which peer is chosen for a request. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import type * as forwardingPeers from '@rosemaryrack/fleet/common/forwardingPeers.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as peerForwarder from '../node/peerForwarder.js'

const avoidMs = 100
const local = ['l-1', 'l-2'].map((instance) => createPeer(instance, 'a'))
const remote = ['r-1', 'r-2', 'r-3'].map((instance) => createPeer(instance, 'b'))

function createPeer (instance: string, failureDomain: string): forwardingPeers.ForwardingPeer {
  return { instance, failureDomain, forwardAddress: '127.0.0.1:1' }
}

/** Returns a forwarder of the failure domain `a` whose random choices go through all values in turn. */
function createForwarder (peers: readonly forwardingPeers.ForwardingPeer[], clock = new manualClock.ManualClock()): peerForwarder.PeerForwarder {
  let step = 0
  return new peerForwarder.PeerForwarder({
    instance: 'sender',
    failureDomain: 'a',
    identity: { cluster: 'test', token: 'a-token-of-this-test', sourceHost: '127.0.0.1' },
    peers: { peers: () => peers },
    configVersion: () => 1,
    decisions: new decisionLog.NullDecisionLog(),
    metrics: new metrics.Metrics(() => ({ count: 0, record: () => {}, valueAtQuantile: () => 0 })),
    clock,
    random: { next: () => (step++ * 0.37) % 1 }
  })
}

/** Chooses peers for as many requests at a time; returns how many each of them got. */
function chooseMany (forwarder: peerForwarder.PeerForwarder, count: number): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (let i = 0; i < count; i++) {
    const peer = forwarder.choose(new Set())!
    forwarder.hold(peer)
    counts[peer.instance] = (counts[peer.instance] ?? 0) + 1
  }
  return counts
}

tap.t.test('peers of the own failure domain are chosen first', async (t) => {
  const forwarder = createForwarder([...local, ...remote])
  t.teardown(() => forwarder.dispose())
  t.same(chooseMany(forwarder, 16), { 'l-1': 8, 'l-2': 8 })
})

tap.t.test('more requests than peers of the own failure domain take at a time are spread over all', async (t) => {
  const forwarder = createForwarder([...local, ...remote])
  t.teardown(() => forwarder.dispose())
  const counts = chooseMany(forwarder, 116)
  for (const { instance } of [...local, ...remote]) t.ok(counts[instance]! >= 10, `${instance}: ${counts[instance]} of 116`)
})

tap.t.test('a peer whose requests have ended is chosen again', async (t) => {
  const forwarder = createForwarder([local[0]!, ...remote])
  t.teardown(() => forwarder.dispose())
  for (let i = 0; i < 100; i++) {
    const peer = forwarder.choose(new Set())!
    t.equal(peer.instance, 'l-1')
    const release = forwarder.hold(peer)
    release()
    release()
  }
})

tap.t.test('an avoided peer is chosen only when there is no other, until the time is over', async (t) => {
  const clock = new manualClock.ManualClock()
  const forwarder = createForwarder([local[0]!, remote[0]!], clock)
  t.teardown(() => forwarder.dispose())
  forwarder.avoid(local[0]!, avoidMs)
  t.equal(forwarder.choose(new Set())?.instance, 'r-1')
  t.equal(forwarder.choose(new Set(['r-1']))?.instance, 'l-1')
  t.equal(forwarder.choose(new Set(['r-1', 'l-1'])), undefined)
  clock.advance(avoidMs)
  t.equal(forwarder.choose(new Set())?.instance, 'l-1')
})
