/** Tests that the work of a hub for its subscribers doesn't grow with their number where they all get the same, and leaves turns of the event loop to other messages. */
import * as connect from '@connectrpc/connect'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as endpointTable from '../common/endpointTable.js'
import * as memberTable from '../common/memberTable.js'
import * as suspectTable from '../common/suspectTable.js'
import * as peerMesh from '../node/peerMesh.js'

const subscriberCount = 313
const endpointCount = 40
const leaseMs = 60_000
/** Encodings of each change that are allowed for all subscribers together: theirs that begin or end meanwhile see other states. */
const maxEncodingsPerEndpoint = 20
/** Countings of the members that are allowed for one update to each subscriber. */
const maxCountings = 20
/** Updates between two turns that leave time for the heartbeats of the log. */
const maxUpdatesPerTurn = 32
const address = '127.118.0.9:17470'
const identity = { cluster: 'c', token: 'token-of-this-test', sourceHost: '127.0.0.1' }

/** Counts how often the live entry instances, whose number grows with that of the subscribers, are counted. */
class CountedMembers extends memberTable.MemberTable {
  countings = 0

  override get liveEntryCount (): number {
    this.countings++
    return super.liveEntryCount
  }
}

/** A hub whose subscribers call it without a network. */
class HubFixture implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly stopped = new AbortController()
  private readonly configChanged = this.disposables.add(new event.Emitter<unknown>())
  private readonly endpoints = this.disposables.add(new endpointTable.EndpointTable(new clock.SystemClock()))
  private readonly received: Array<inner.PeerUpdate[]> = []
  private readonly arrived = new async.Signal()
  private sequence = 1
  readonly members = this.disposables.add(new CountedMembers(new clock.SystemClock(), 'hub', true))
  readonly mesh: peerMesh.PeerMesh

  constructor () {
    const configs = {
      current: configDocument.emptyConfig,
      currentEncoded: { documentJson: '{}', extensionsJson: '' },
      confirmedAgeMs: 0,
      onChanged: this.configChanged.event,
      waitForFirstStream: async () => true,
      handlePeerVersion: () => {}
    }
    const { members } = this
    const suspects = this.disposables.add(new suspectTable.SuspectTable(new clock.SystemClock()))
    const self = { instance: 'hub', address, failureDomain: 'a', incarnation: 1, role: 'hub' } as const
    this.mesh = this.disposables.add(new peerMesh.PeerMesh(self, [], identity, { members, endpoints: this.endpoints, suspects, configs }, this.disposables.add(new pauseDetector.PauseDetector()), new decisionLog.NullDecisionLog()))
    for (let i = 0; i < endpointCount; i++) this.announce(i)
  }

  /** Opens the streams and waits until each one has its first update. */
  async subscribe (count: number): Promise<void> {
    const transport = connect.createRouterTransport((router) => this.mesh.registerRpc(router))
    const client = connect.createClient(inner.EntryPeer, transport)
    for (let i = 0; i < count; i++) {
      const updates: inner.PeerUpdate[] = []
      this.received.push(updates)
      this.read(client.subscribe({}, { signal: this.stopped.signal }), updates)
    }
    await this.waitFor((updates) => updates.length > 0)
  }

  /** Renews an endpoint, or announces a new one. */
  announce (index: number): void {
    const endpoint = `endpoint-${index}`
    const outcome = this.endpoints.apply({ endpoint, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots: 1, connectionLimit: 1, state: 'ready', load: 0, incarnation: 1, sequence: this.sequence++, leaseMs }, 0)
    if (outcome === 'renewed') this.mesh.publishRenewal(endpoint, leaseMs)
  }

  /** Announces a new version of the configuration, which is due on all streams at once. */
  changeConfig (): void {
    this.configChanged.fire(undefined)
  }

  /** Forgets the updates received so far. */
  clear (): void {
    for (const updates of this.received) updates.length = 0
  }

  /** Waits until the updates of each subscriber meet the condition. */
  async waitFor (condition: (updates: readonly inner.PeerUpdate[]) => boolean): Promise<void> {
    while (!this.received.every(condition)) await this.arrived.wait(1000)
  }

  dispose (): void {
    this.stopped.abort()
    this.disposables.dispose()
  }

  private async read (stream: AsyncIterable<inner.PeerUpdate>, updates: inner.PeerUpdate[]): Promise<void> {
    try {
      for await (const update of stream) {
        updates.push(update)
        this.arrived.notify()
      }
    } catch {
      // The streams are aborted at the end of the test.
    }
  }
}

/** Returns the largest number of updates that were created in one turn of the event loop, until the task ends. */
async function maxUpdatesInTurn (mesh: peerMesh.PeerMesh, task: Promise<void>): Promise<number> {
  const progress = { isDone: false }
  task.finally(() => { progress.isDone = true })
  let largest = 0
  for (let before = mesh.load.sentUpdates; !progress.isDone;) {
    await async.nextTurn()
    const { sentUpdates } = mesh.load
    largest = Math.max(largest, sentUpdates - before)
    before = sentUpdates
  }
  return largest
}

tap.t.test('the endpoints are not encoded again for each of many subscribers', async (t) => {
  const hub = new HubFixture()
  t.teardown(() => hub.dispose())
  await hub.subscribe(subscriberCount)
  const { encodedEndpoints: encodedAtStart } = hub.mesh.load
  t.ok(encodedAtStart <= endpointCount * maxEncodingsPerEndpoint, `${encodedAtStart} encodings of ${endpointCount} endpoints for ${subscriberCount} first updates`)
  hub.clear()
  for (let i = 0; i < endpointCount; i++) hub.announce(i)
  await hub.waitFor((updates) => updates.flatMap(({ renewals }) => renewals).length >= endpointCount)
  const encoded = hub.mesh.load.encodedEndpoints - encodedAtStart
  t.ok(encoded <= endpointCount * maxEncodingsPerEndpoint, `${encoded} encodings of ${endpointCount} renewals for ${subscriberCount} subscribers`)
})

tap.t.test('the live entry instances are not counted again for each of many subscribers', async (t) => {
  const hub = new HubFixture()
  t.teardown(() => hub.dispose())
  await hub.subscribe(subscriberCount)
  t.ok(hub.members.countings <= maxCountings, `${hub.members.countings} countings for ${subscriberCount} updates`)
})

tap.t.test('messages of the log are not delayed until all of many subscribers have their updates', async (t) => {
  const hub = new HubFixture()
  t.teardown(() => hub.dispose())
  const atStart = await maxUpdatesInTurn(hub.mesh, hub.subscribe(subscriberCount))
  t.ok(atStart <= maxUpdatesPerTurn, `${atStart} first updates in one turn`)
  hub.clear()
  hub.changeConfig()
  const afterChange = await maxUpdatesInTurn(hub.mesh, hub.waitFor((updates) => updates.length > 0))
  t.ok(afterChange <= maxUpdatesPerTurn, `${afterChange} updates in one turn after a change`)
})
