/** Tests the replicated state: versions, patch ids, claims, eviction by log index, snapshots. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as tap from 'tap'
import type * as logEntry from '../common/logEntry.js'
import * as replicatedState from '../common/replicatedState.js'

function patch (patchId: string, amends: number, deadlineMs: number): logEntry.Command {
  const lane = { service: 's', match: { methods: ['GET'], pathPrefix: '/' }, idempotent: true, deadlineMs, maxWaitMs: 1 }
  return { case: 'patch', value: protobuf.create(inner.PatchConfigSchema, { patchId, amends: BigInt(amends), mergePatchJson: JSON.stringify({ lanes: { lane } }), operator: 'op' }) }
}

function claim (key: string, owner: string): logEntry.Command {
  return { case: 'claims', value: protobuf.create(inner.ClaimKeysSchema, { keys: [key], owners: [owner] }) }
}

function release (key: string, owner: string): logEntry.Command {
  return { case: 'releases', value: protobuf.create(inner.ReleaseKeysSchema, { keys: [key], owners: [owner] }) }
}

function applyAll (state: replicatedState.ReplicatedState, commands: readonly logEntry.Command[], firstIndex = 1): readonly replicatedState.ApplyResult[] {
  return commands.map((command, i) => state.apply({ index: firstIndex + i, term: 1, command }))
}

tap.t.test('a patch applies once, and only to the version that it amends', async (t) => {
  const state = new replicatedState.ReplicatedState()
  t.matchSnapshot(applyAll(state, [patch('a', 0, 10), patch('b', 0, 20), patch('a', 0, 10), patch('b', 1, 20), patch('a', 2, 30)]))
  t.matchSnapshot({ config: state.config, history: state.history() })
})

tap.t.test('a claim belongs to its first owner until that owner releases it', async (t) => {
  const state = new replicatedState.ReplicatedState()
  t.matchSnapshot(applyAll(state, [claim('k', 'x'), claim('k', 'y'), claim('k', 'x'), release('k', 'y'), claim('k', 'y'), release('k', 'x'), claim('k', 'y')]))
})

tap.t.test('patch ids and claims are evicted by log index', async (t) => {
  const state = new replicatedState.ReplicatedState(3)
  applyAll(state, [patch('a', 0, 10), claim('k', 'x')])
  applyAll(state, [{ case: 'noop', value: true }, { case: 'noop', value: true }], 3)
  t.same([state.findPatchOutcome('a'), state.claimCount], [{ kind: 'accepted', version: 1 }, 1])
  applyAll(state, [{ case: 'noop', value: true }], 5)
  t.same([state.findPatchOutcome('a'), state.claimCount], [undefined, 1])
  applyAll(state, [{ case: 'noop', value: true }], 6)
  t.same(state.claimCount, 0)
})

tap.t.test('a snapshot restores the complete state', async (t) => {
  const state = new replicatedState.ReplicatedState()
  applyAll(state, [patch('a', 0, 10), claim('k', 'x'), patch('b', 1, 20)])
  const bytes = protobuf.toBinary(inner.SnapshotSchema, state.toSnapshot(3, 1, protobuf.create(inner.MembershipSchema)))
  const restored = new replicatedState.ReplicatedState()
  restored.restore(protobuf.fromBinary(inner.SnapshotSchema, bytes))
  t.same(restored.config, state.config)
  t.same(restored.history(), state.history())
  t.same(applyAll(restored, [patch('a', 0, 10), claim('k', 'y')], 4), [
    { kind: 'patch', outcome: { kind: 'accepted', version: 1 } },
    { kind: 'claims', granted: [false] }
  ])
})
