/** Tests that entries that are applied together give the same state as entries that are applied one by one. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as tap from 'tap'
import type * as logEntry from '../common/logEntry.js'
import * as replicatedState from '../common/replicatedState.js'
import * as logApplier from '../node/logApplier.js'
import type * as replicaLog from '../node/replicaLog.js'
import * as seededRandom from './seededRandom.js'

const seedCount = 200
const maxEntryCount = 12
const maxVersion = 8
const unreadableJson = '{"lanes":{},"fieldOfNewerBuild":1}'

function documentJson (deadlineMs: number): string {
  return JSON.stringify({ lanes: { lane: { service: 's', match: { pathPrefix: '/' }, idempotent: true, deadlineMs, maxWaitMs: 1 } } })
}

function put (version: number, json = documentJson(version)): logEntry.Command {
  return { case: 'put', value: protobuf.create(inner.PutConfigSchema, { version: BigInt(version), documentJson: json, source: `source of ${version}` }) }
}

function patch (patchId: string, amends: number): logEntry.Command {
  const mergePatchJson = JSON.stringify({ lanes: { lane: { maxWaitMs: 100 + amends } } })
  return { case: 'patch', value: protobuf.create(inner.PatchConfigSchema, { patchId, amends: BigInt(amends), mergePatchJson, operator: 'op' }) }
}

function toEntries (commands: readonly logEntry.Command[]): readonly logEntry.LogEntry[] {
  return commands.map((command, i) => ({ index: i + 1, term: 1, command }))
}

function createApplier (entries: readonly logEntry.LogEntry[]): logApplier.LogApplier {
  const log = { entryAt: (index: number) => entries[index - 1] } as unknown as replicaLog.ReplicaLog
  return new logApplier.LogApplier(log, new decisionLog.NullDecisionLog())
}

/** What operators see of a state, without the ids of the entries. */
function contentOf (state: replicatedState.ReplicatedState): object {
  return { config: state.config, json: state.encodedConfig.documentJson, source: state.configSource, history: state.history() }
}

tap.t.test('puts and patches that are applied together give the state and results of those applied one by one', async (t) => {
  for (let seed = 1; seed <= seedCount; seed++) {
    const random = seededRandom.create(seed)
    const upTo = (max: number): number => Math.floor(random() * max)
    const entries = toEntries([put(1), ...Array.from({ length: upTo(maxEntryCount) }, (_value, i): logEntry.Command =>
      random() < 0.2 ? patch(`p-${i}`, upTo(maxVersion)) : put(1 + upTo(maxVersion)))])
    const single = new replicatedState.ReplicatedState()
    const singleResults = entries.map((entry) => single.apply(entry))
    const together = createApplier(entries)
    const results: replicatedState.ApplyResult[] = []
    together.applyUpTo(1 + upTo(entries.length), (_entry, result) => results.push(result))
    together.applyUpTo(entries.length, (_entry, result) => results.push(result))
    t.same([contentOf(together.state), results], [contentOf(single), singleResults], `seed ${seed}`)
  }
})

tap.t.test('a document that a later one replaces is not read', async (t) => {
  const applier = createApplier(toEntries([put(1), put(2, unreadableJson), put(3), put(2, unreadableJson)]))
  applier.applyUpTo(4, () => {})
  t.same([applier.appliedIndex, applier.canApply, applier.state.config.version], [4, true, 3])
})

tap.t.test('no put is passed over for one that can\'t be read', async (t) => {
  const applier = createApplier(toEntries([put(1), put(2), put(3, unreadableJson), put(2)]))
  applier.applyUpTo(4, () => {})
  t.same([applier.appliedIndex, applier.canApply, applier.state.config.version], [2, false, 2])
})
