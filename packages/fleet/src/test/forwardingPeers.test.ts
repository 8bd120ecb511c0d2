/** Which entry instances are named to one that is cut off from the targets, and when. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as endpointTable from '../common/endpointTable.js'
import * as fleetCodec from '../common/fleetCodec.js'
import * as forwardingPeers from '../common/forwardingPeers.js'
import * as memberTable from '../common/memberTable.js'
import * as suspectTable from '../common/suspectTable.js'
import * as forwardingFeed from '../node/forwardingFeed.js'
import type * as meshTables from '../node/meshTables.js'
import * as peerMesh from '../node/peerMesh.js'

const random = { next: Math.random }
const maxPeerCount = 12
const silenceMs = 3000
const eventTimeoutMs = 10_000
const pollMs = 5
/** A change must reach the instance that is cut off long before the next list of members would. */
const promptMs = 1000

function entryMember (instance: string, failureDomain: string, state: Partial<memberTable.Member> = {}): Omit<memberTable.Member, 'lastSeenAt'> {
  return { instance, address: `${instance}:7200`, failureDomain, incarnation: 1, hub: false, forwardAddress: `${instance}:7201`, cutOff: false, ...state }
}

function instancesOf (members: ReadonlyArray<{ readonly instance: string }>): readonly string[] {
  return members.map(({ instance }) => instance).sort()
}

tap.t.test('members that are cut off, stopping, silent or without an address forward nothing', async (t) => {
  const time = new manualClock.ManualClock()
  const table = new memberTable.MemberTable(time, 'hub-1', true)
  for (const name of ['entry-1', 'entry-2', 'entry-3', 'entry-4']) table.apply(entryMember(name, 'a'), 0)
  table.apply({ ...entryMember('hub-2', 'a'), hub: true, forwardAddress: undefined }, 0)
  const changed: string[] = []
  table.onForwardingChanged(({ instance, cutOff }) => changed.push(`${instance} ${String(cutOff)}`))
  time.advance(silenceMs - 1)
  table.apply(entryMember('entry-1', 'a'), 0)
  table.apply(entryMember('entry-2', 'a', { cutOff: true }), 0)
  table.apply(entryMember('entry-3', 'a', { forwardAddress: undefined }), 0)
  t.same(instancesOf(table.forwardingMembers()), ['entry-1', 'entry-4'])
  time.advance(1)
  t.same(instancesOf(table.forwardingMembers()), ['entry-1'])
  t.same(changed, ['entry-2 true', 'entry-3 false'])
})

tap.t.test('what a third member relays does not override a newer state', async (t) => {
  const time = new manualClock.ManualClock()
  const table = new memberTable.MemberTable(time, 'entry-1')
  time.advance(1000)
  table.apply(entryMember('entry-2', 'a', { cutOff: true }), 0)
  table.apply(entryMember('entry-2', 'a'), 500)
  t.equal(table.get('entry-2')?.cutOff, true)
  time.advance(100)
  table.apply(entryMember('entry-2', 'a'), 0)
  t.equal(table.get('entry-2')?.cutOff, false)
  table.apply(entryMember('entry-2', 'a', { cutOff: true, incarnation: 2 }), 50)
  t.equal(table.get('entry-2')?.cutOff, true, 'an older report of a newer incarnation')
})

tap.t.test('a selection is bounded, prefers the own failure domain and keeps eligible peers', async (t) => {
  const members = (failureDomain: string, count: number): readonly memberTable.Member[] =>
    Array.from({ length: count }, (_value, i) => ({ ...entryMember(`${failureDomain}-${i}`, failureDomain), lastSeenAt: 0 }))
  const own = members('a', 5)
  const others = members('b', 100)
  const selection = new forwardingPeers.PeerSelection('a', random)
  const first = selection.select([...others, ...own])
  t.equal(first.length, maxPeerCount)
  t.same(instancesOf(first.slice(0, 5)), instancesOf(own))
  t.same(instancesOf(selection.select([...own, ...others])), instancesOf(first))
  const [lost] = first
  const second = selection.select([...own, ...others].filter((member) => member.instance !== lost!.instance))
  t.equal(second.filter((member) => first.includes(member)).length, maxPeerCount - 1)
  const drawn = new Set(Array.from({ length: 100 }, () => new forwardingPeers.PeerSelection('c', random).select(others).map(({ instance }) => instance)).flat())
  t.ok(drawn.size > 90, 'subscribers get different peers')
})

tap.t.test('lists of several hubs are merged, those of a lost hub are dropped', async (t) => {
  const time = new manualClock.ManualClock()
  const table = new memberTable.MemberTable(time, 'entry-1')
  const peers = new forwardingPeers.ForwardingPeers(table, 'a', random, time)
  const peer = (instance: string, failureDomain: string): forwardingPeers.ForwardingPeer => ({ instance, forwardAddress: `${instance}:7201`, failureDomain })
  peers.applyList('hub-1', [peer('entry-2', 'b'), peer('entry-3', 'a')])
  peers.applyList('hub-2', [peer('entry-3', 'a'), peer('entry-4', 'b')])
  t.same(peers.peers().map(({ failureDomain }) => failureDomain), ['a', 'b', 'b'])
  time.advance(60_000)
  t.equal(peers.peers().length, 3, 'old lists stay while all hubs are lost')
  peers.applyList('hub-1', [peer('entry-2', 'b')])
  t.same(instancesOf(peers.peers()), ['entry-2'])
  peers.applyList('hub-1', [])
  t.same(peers.peers(), [])
})

tap.t.test('in a full mesh the own table of members is enough', async (t) => {
  const time = new manualClock.ManualClock()
  const table = new memberTable.MemberTable(time, 'entry-1')
  const peers = new forwardingPeers.ForwardingPeers(table, 'a', random, time)
  table.apply(entryMember('entry-2', 'b'), 0)
  table.apply(entryMember('entry-3', 'a'), 0)
  table.apply(entryMember('entry-4', 'a', { cutOff: true }), 0)
  t.same(peers.peers(), [
    { instance: 'entry-3', forwardAddress: 'entry-3:7201', failureDomain: 'a' },
    { instance: 'entry-2', forwardAddress: 'entry-2:7201', failureDomain: 'b' }
  ])
})

tap.t.test('a hub sends lists only to a subscriber that is cut off, on changes and once a second', async (t) => {
  const time = new manualClock.ManualClock()
  const table = new memberTable.MemberTable(time, 'hub-1', true)
  for (let i = 1; i <= 120; i++) table.apply(entryMember(`entry-${i}`, 'a'), 0)
  const scheduled: string[] = []
  const outbox = { scheduleImmediately: () => { scheduled.push('now') }, scheduleSoon: () => { scheduled.push('soon') } }
  const feed = new forwardingFeed.ForwardingFeed({ instance: 'entry-1', failureDomain: 'a' }, table, outbox, random)
  t.equal(feed.takeList(time.now()), undefined)
  table.apply(entryMember('entry-2', 'a', { forwardAddress: undefined }), 0)
  t.same(scheduled, [], 'nothing is sent while nobody is cut off')
  table.apply(entryMember('entry-1', 'a', { cutOff: true }), 0)
  t.same(scheduled, ['now'])
  t.equal(feed.takeList(time.now())?.peers.length, maxPeerCount)
  t.equal(feed.takeList(time.now()), undefined)
  table.apply(entryMember('entry-3', 'a', { cutOff: true }), 0)
  t.same(scheduled, ['now', 'soon'])
  t.equal(feed.takeList(time.now())?.peers.some(({ instance }) => instance === 'entry-3'), false)
  time.advance(1000)
  t.equal(feed.takeList(time.now())?.peers.length, maxPeerCount)
  for (let i = 4; i <= 120; i++) table.apply(entryMember(`entry-${i}`, 'a', { cutOff: true }), 0)
  table.apply(entryMember('entry-2', 'a', { cutOff: true }), 0)
  t.equal(feed.takeList(time.now())?.peers.length, 0, 'an empty list: no instance reaches targets')
  table.apply(entryMember('entry-1', 'a'), 0)
  t.equal(feed.takeList(time.now() + 1000), undefined)
  feed.dispose()
})

tap.t.test('members and updates of a build without forwarding are understood, and the reverse', async (t) => {
  const oldMember = protobuf.create(inner.MemberSchema, { instance: 'entry-2', address: '10.0.0.2:7200', failureDomain: 'a', incarnation: 1n })
  const decoded = fleetCodec.decodeMember(protobuf.fromBinary(inner.MemberSchema, protobuf.toBinary(inner.MemberSchema, oldMember)))
  t.equal(decoded.forwardAddress, undefined)
  t.equal(decoded.cutOff, false)
  const encoded = fleetCodec.encodeMember({ ...entryMember('entry-3', 'a', { cutOff: true }), lastSeenAt: 0 }, 0)
  t.same(fleetCodec.decodeMember(encoded), entryMember('entry-3', 'a', { cutOff: true }))
  const list = protobuf.create(inner.ForwardingPeersSchema, { peers: [oldMember, { ...oldMember, forwardAddress: 'not an address' }, { ...oldMember, forwardAddress: '10.0.0.2:7201' }] })
  t.same(fleetCodec.decodeForwardingPeers(list).map(({ forwardAddress }) => forwardAddress), ['10.0.0.2:7201'])
})

/** A process with a mesh and, for a hub, a listener. */
class MeshProcess implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  readonly members: memberTable.MemberTable
  readonly peers: forwardingPeers.ForwardingPeers
  readonly mesh: peerMesh.PeerMesh
  private readonly listener: innerListener.InnerListener

  constructor (readonly name: string, readonly address: string, role: meshTables.MeshRole, seeds: readonly string[]) {
    const time = new clock.SystemClock()
    this.members = this.disposables.add(new memberTable.MemberTable(time, name, role === 'hub'))
    this.peers = new forwardingPeers.ForwardingPeers(this.members, 'a', random, time)
    const configs = {
      current: { version: 1, document: { lanes: {} } } as unknown as meshTables.IMeshConfigs['current'],
      currentEncoded: { documentJson: '{}', extensionsJson: '' },
      confirmedAgeMs: 0,
      onChanged: new event.Emitter<unknown>().event,
      waitForFirstStream: async () => true,
      handlePeerVersion: () => {}
    }
    const tables = {
      members: this.members,
      endpoints: this.disposables.add(new endpointTable.EndpointTable(time)),
      suspects: this.disposables.add(new suspectTable.SuspectTable(time)),
      configs,
      forwardingPeers: this.peers
    }
    const self = { instance: name, address, failureDomain: 'a', incarnation: 1, role }
    const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(self, seeds, identity, tables, this.disposables.add(new pauseDetector.PauseDetector()), new decisionLog.NullDecisionLog()))
    this.listener = this.disposables.add(new innerListener.InnerListener({ cluster: 'c', token: identity.token }, (router) => this.mesh.registerRpc(router)))
  }

  async start (): Promise<void> {
    await this.listener.listen(this.address)
    this.mesh.start()
  }

  dispose (): void {
    this.disposables.dispose()
  }
}

async function waitFor (condition: () => boolean, timeoutMs = eventTimeoutMs): Promise<boolean> {
  const deadline = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > deadline) return false
    await async.sleep(pollMs)
  }
  return true
}

for (const role of ['spoke', 'peer'] as const) {
  tap.t.test(`an instance that is cut off learns promptly which others reach targets: ${role}s`, async (t) => {
    const host = role === 'spoke' ? '127.78.0' : '127.78.1'
    const seed = `${host}.100:17440`
    const entries = ['entry-1', 'entry-2', 'entry-3'].map((name, i) => new MeshProcess(name, `${host}.${i + 1}:17440`, role, role === 'spoke' ? [seed] : [`${host}.1:17440`]))
    const hubs = role === 'spoke' ? [new MeshProcess('hub-1', seed, 'hub', [])] : []
    const all = [...hubs, ...entries]
    try {
      for (const each of all) await each.start()
      for (const { mesh, name } of entries) mesh.publishForwarding({ forwardAddress: `10.0.0.${name.slice(-1)}:7201`, cutOff: false })
      const [first, second, third] = entries as [MeshProcess, MeshProcess, MeshProcess]
      const observer = hubs[0] ?? first
      t.ok(await waitFor(() => observer.members.forwardingMembers().length === (role === 'spoke' ? 3 : 2)))
      if (role === 'spoke') t.same(first.peers.peers(), [], 'hubs name nobody while nobody is cut off')
      first.mesh.publishForwarding({ forwardAddress: '10.0.0.1:7201', cutOff: true })
      t.ok(await waitFor(() => first.peers.peers().length === 2, promptMs))
      t.ok(await waitFor(() => !second.peers.peers().some(({ instance }) => instance === 'entry-1'), promptMs))
      if (role === 'spoke') t.same(second.peers.peers(), [], 'hubs name peers only to the instance that is cut off')
      second.mesh.publishForwarding({ forwardAddress: '10.0.0.2:7201', cutOff: true })
      t.ok(await waitFor(() => first.peers.peers().length === 1 && second.peers.peers().length === 1, promptMs))
      t.same(first.peers.peers(), [{ instance: 'entry-3', forwardAddress: '10.0.0.3:7201', failureDomain: 'a' }])
      third.mesh.publishForwarding({ forwardAddress: undefined, cutOff: false })
      t.ok(await waitFor(() => first.peers.peers().length === 0, promptMs), 'a stopping instance is named no longer')
      second.mesh.publishForwarding({ forwardAddress: '10.0.0.2:7201', cutOff: false })
      t.ok(await waitFor(() => first.peers.peers().length === 1, promptMs))
    } finally {
      for (const each of all) each.dispose()
    }
  })
}
