/** Evacuations in the replicated state: revisions, eviction, snapshots, and entries and snapshots of builds that don't know them. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as tap from 'tap'
import * as logEntry from '../common/logEntry.js'
import * as replicatedState from '../common/replicatedState.js'

const noop: logEntry.Command = { case: 'noop', value: true }

function order (failureDomain: string, active: boolean): logEntry.Command {
  return { case: 'departures', value: protobuf.create(inner.DeparturesSchema, { evacuations: [{ failureDomain, active }] }) }
}

/** Applies commands after a round trip through the log file. */
function applyAll (state: replicatedState.ReplicatedState, commands: readonly logEntry.Command[], firstIndex = 1): void {
  const entries = commands.map((command, i) => ({ index: firstIndex + i, term: 1, command }))
  for (const entry of logEntry.decodeBatch(logEntry.encodeBatch(entries))) state.apply(entry)
}

function describe ({ evacuations }: replicatedState.ReplicatedState): string {
  const { revision, failureDomains } = evacuations.toMessage()
  return `${revision} ${failureDomains.join(' ')}`
}

function snapshotOf (state: replicatedState.ReplicatedState, index: number): inner.Snapshot {
  const bytes = protobuf.toBinary(inner.SnapshotSchema, state.toSnapshot(index, 1, protobuf.create(inner.MembershipSchema)))
  return protobuf.fromBinary(inner.SnapshotSchema, bytes)
}

tap.t.test('the revision is the index of the last entry that changed something, so that repeated orders look the same on all replicas', async (t) => {
  const state = new replicatedState.ReplicatedState()
  let changes = 0
  state.evacuations.onChanged(() => changes++)
  applyAll(state, [order('b', true), order('a', true), order('a', true), order('c', false)])
  t.equal(describe(state), '2 a b')
  applyAll(state, [order('b', false), order('b', false)], 5)
  t.equal(describe(state), '5 a')
  t.equal(changes, 3)
})

tap.t.test('an evacuation is not evicted with old entries', async (t) => {
  const state = new replicatedState.ReplicatedState(2)
  applyAll(state, [order('a', true), noop, noop, noop, noop, noop])
  t.equal(describe(state), '1 a')
})

tap.t.test('a snapshot installed on a lagging replica holds the evacuations, also that there are none any more', async (t) => {
  const leader = new replicatedState.ReplicatedState()
  const lagging = new replicatedState.ReplicatedState()
  applyAll(leader, [order('a', true), order('b', true)])
  lagging.restore(snapshotOf(leader, 2))
  t.equal(describe(lagging), '2 a b')
  applyAll(leader, [order('a', false), order('b', false)], 3)
  lagging.restore(snapshotOf(leader, 4))
  t.equal(describe(lagging), '4 ')
})

tap.t.test('entries and snapshots without the fields, as earlier builds write them, change nothing', async (t) => {
  const state = new replicatedState.ReplicatedState()
  applyAll(state, [order('a', true), { case: 'departures', value: protobuf.create(inner.DeparturesSchema) }])
  const { evacuations: _unknown, ...known } = snapshotOf(state, 2)
  const earlier = protobuf.fromBinary(inner.SnapshotSchema, protobuf.toBinary(inner.SnapshotSchema, protobuf.create(inner.SnapshotSchema, known)))
  t.equal(earlier.evacuations, undefined)
  state.restore(earlier)
  t.equal(describe(state), '1 a', 'an acknowledged evacuation is kept')
  const fresh = new replicatedState.ReplicatedState()
  fresh.restore(earlier)
  t.equal(describe(fresh), '0 ')
})
