/** Tests that lag and failed messages are measured, and logged at their changes only. */
import * as tap from 'tap'
import * as protobuf from '@bufbuild/protobuf'
import * as connect from '@connectrpc/connect'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as rpcErrors from '@rosemaryrack/protocol/common/rpcErrors.js'
import * as campaignLog from '../node/campaignLog.js'
import * as leaderWatch from '../node/leaderWatch.js'
import * as messageFailure from '../node/messageFailure.js'
import * as replicationStatus from '../node/replicationStatus.js'
import * as recordedDecisions from './recordedDecisions.js'

const mib = 1024 * 1024
const tooLarge = new errors.RackError({ kind: 'too-large', message: 'message size 40000000 is larger than 33554432' })
const noResponse = new errors.RackError({ kind: 'no-quorum', message: 'no response within 400 ms' })

function createStatus (ids: string[] = ['b', 'c']): { readonly log: recordedDecisions.RecordedDecisions, readonly status: replicationStatus.ReplicationStatus } {
  const log = new recordedDecisions.RecordedDecisions()
  const members = (): readonly inner.Replica[] => ids.map((id) => protobuf.create(inner.ReplicaSchema, { id, address: `10.0.0.${id}:7200` }))
  return { log, status: new replicationStatus.ReplicationStatus(log, members) }
}

tap.t.test('a replica that stops receiving entries is logged once as behind and once as caught up', async (t) => {
  const { log, status } = createStatus()
  status.recordProgress('b', 10, 10, 0, 0)
  for (let s = 1; s <= 20; s++) {
    status.recordProgress('b', 10, 10 + s, s * 100, s * 1000)
    status.check(s * 1000)
  }
  t.strictSame(log.choicesOf('control-lag'), ['behind'])
  t.match(log.lastOf('control-lag'), { replica: 'b', address: '10.0.0.b:7200' })
  t.match(status.progressOf('b', 20_000), { matchIndex: 10, lagEntries: 20, lagBytes: 2000, lagMs: 20_000, isBehind: true })
  status.recordProgress('b', 30, 30, 0, 20_500)
  status.check(21_000)
  status.check(22_000)
  t.strictSame(log.choicesOf('control-lag'), ['behind', 'caught up'])
  t.equal(log.lastOf('control-lag')?.['ms'], 21_000, 'the duration counts from the time at which it last held the whole log')
  t.match(status.progressOf('b', 22_000), { lagEntries: 0, lagMs: 0, isBehind: false })
})

tap.t.test('a replica that follows a log which grows all the time is not behind', async (t) => {
  const { log, status } = createStatus()
  // Each response covers what the log held 200 ms before, so the replica never holds the whole log.
  for (let i = 1; i <= 300; i++) {
    status.recordProgress('b', (i - 1) * 400, i * 400, 0, i * 200)
    if (i % 5 === 0) status.check(i * 200)
  }
  t.strictSame(log.choicesOf('control-lag'), [])
  t.ok(status.progressOf('b', 60_000)!.lagMs <= 400)
})

tap.t.test('a large lag is logged before a long one', async (t) => {
  for (const [entries, bytes] of [[1, 9 * mib], [1001, 0]] as const) {
    const { log, status } = createStatus()
    status.recordProgress('b', 1, 1, 0, 0)
    status.recordProgress('b', 1, 1 + entries, bytes, 100)
    status.check(900)
    t.strictSame(log.choicesOf('control-lag'), [], 'not before it has lasted')
    status.check(1900)
    t.strictSame(log.choicesOf('control-lag'), ['behind'])
  }
})

tap.t.test('a replica that is refused its messages is logged once with reason and size', async (t) => {
  const { log, status } = createStatus()
  status.recordProgress('c', 0, 5, 0, 0)
  for (let i = 0; i < 100; i++) {
    status.recordFailure('c', 'append', tooLarge, 40_000_000, i * 100)
    status.check(i * 100)
  }
  t.strictSame(log.choicesOf('control-message'), ['failing'])
  t.match(log.lastOf('control-message'), { replica: 'c', what: 'append', reason: 'too-large', bytes: 40_000_000, why: /33554432/ })
  t.strictSame(status.failureCounts(), [{ replicaId: 'c', what: 'append', reason: 'too-large', count: 100 }])
  t.match(status.lastFailureOf('c', 10_000), { reason: 'too-large', what: 'append', ageMs: 100 })
  status.recordAcknowledged('c', 'append', 10_000)
  status.check(10_000)
  t.strictSame(log.choicesOf('control-message'), ['failing'], 'one response right after a failure ends nothing')
  status.check(20_000)
  status.check(21_000)
  t.strictSame(log.choicesOf('control-message'), ['failing', 'succeeding'])
  t.match(log.lastOf('control-message'), { failures: 100, ms: 9900 })
})

tap.t.test('messages that fail and succeed in turn fill no log, and a new reason is logged', async (t) => {
  const { log, status } = createStatus()
  for (let i = 0; i < 600; i++) {
    status.recordFailure('b', 'append', i < 300 ? noResponse : tooLarge, undefined, i * 100)
    status.recordAcknowledged('b', 'append', i * 100 + 50)
    if (i % 10 === 0) status.check(i * 100 + 60)
  }
  t.strictSame(log.decisions.map(({ choice, reason }) => `${choice} ${reason}`), ['failing timeout', 'failing too-large'])
})

tap.t.test('a heartbeat that is answered does not end the failure of appends', async (t) => {
  const { log, status } = createStatus()
  status.recordFailure('b', 'append', noResponse, 1, 0)
  status.recordAcknowledged('b', 'heartbeat', 5000)
  status.check(5000)
  t.strictSame(log.choicesOf('control-message'), ['failing'])
})

tap.t.test('a message that waits for its response is seen with its size and age', async (t) => {
  const { log, status } = createStatus()
  t.equal(status.pendingOf('b', 0), undefined)
  status.recordSent('b', 'append', 700_000, 1000)
  status.recordSent('b', 'heartbeat', 50, 9000)
  t.strictSame(status.pendingOf('b', 10_000), { what: 'append', bytes: 700_000, ageMs: 9000 })
  t.equal(status.pendingOf('c', 10_000), undefined)
  status.recordAcknowledged('b', 'heartbeat', 10_100)
  status.recordFailure('b', 'append', noResponse, undefined, 31_000)
  t.match(log.lastOf('control-message'), { what: 'append', reason: 'timeout', bytes: 700_000 })
  t.equal(status.pendingOf('b', 31_000), undefined)
  status.recordSent('b', 'append', 1, 32_000)
  status.endLeadership()
  t.equal(status.pendingOf('b', 33_000), undefined, 'nor in a later term')
})

tap.t.test('nothing is kept of former members, nor of the progress in a former term', async (t) => {
  const ids = ['b', 'c']
  const { status } = createStatus(ids)
  status.recordProgress('b', 1, 2, 0, 0)
  status.recordFailure('b', 'append', noResponse, 1, 0)
  status.recordFailure('c', 'vote', noResponse, 1, 0)
  ids.shift()
  status.check(10)
  t.equal(status.progressOf('b', 10), undefined)
  t.strictSame(status.failureCounts().map(({ replicaId }) => replicaId), ['c'])
  status.recordProgress('c', 1, 2, 0, 20)
  status.endLeadership()
  t.equal(status.progressOf('c', 30), undefined)
})

tap.t.test('reasons of failures are told apart', async (t) => {
  const refused = rpcErrors.toConnectError(tooLarge)
  t.equal(messageFailure.classifyFailure(refused).reason, 'too-large', 'refused by the receiver')
  t.equal(messageFailure.classifyFailure(new connect.ConnectError('too long', connect.Code.ResourceExhausted)).reason, 'too-large', 'refused by the library')
  const timeout = new connect.ConnectError('the operation timed out', connect.Code.DeadlineExceeded)
  t.equal(messageFailure.classifyFailure(timeout).reason, 'timeout')
  t.equal(messageFailure.classifyFailure(new errors.RackError(rpcErrors.fromConnectError(timeout))).reason, 'timeout', 'as a link reports it')
  t.equal(messageFailure.classifyFailure(noResponse).reason, 'timeout')
  t.equal(messageFailure.classifyFailure(new connect.ConnectError('connect ECONNREFUSED', connect.Code.Unavailable)).reason, 'unreachable')
  t.equal(messageFailure.classifyFailure(new errors.RackError({ kind: 'disk-failure', message: 'the disk is full' })).reason, 'disk-full')
  t.equal(messageFailure.classifyFailure(new errors.RackError({ kind: 'not-found', message: 'other' })).reason, 'other-replica')
  t.equal(messageFailure.classifyFailure(new Error('x is undefined')).reason, 'internal')
})

tap.t.test('a group without a leader is logged once, and once when it has one again', async (t) => {
  const log = new recordedDecisions.RecordedDecisions()
  const watch = new leaderWatch.LeaderWatch(log, 400)
  watch.recordLeader('a', 1000)
  watch.check(2000)
  t.strictSame(log.decisions, [], 'an election takes so long')
  for (let ms = 3000; ms < 60_000; ms += 1000) watch.check(ms)
  t.strictSame(log.choicesOf('control-no-leader'), ['none'])
  for (let ms = 61_000; ms < 65_000; ms += 100) watch.recordLeader('b', ms)
  watch.check(65_000)
  watch.check(65_100)
  t.strictSame(log.choicesOf('control-no-leader'), ['none', 'ended'])
  t.match(log.lastOf('control-no-leader'), { leader: 'b', ms: 60_000 })
})

tap.t.test('leaders that come and go fill no log', async (t) => {
  const log = new recordedDecisions.RecordedDecisions()
  const watch = new leaderWatch.LeaderWatch(log, 400)
  for (let ms = 1000; ms <= 60_000; ms += 100) {
    // A message of a leader for half a second out of two.
    if (ms % 2000 < 500) watch.recordLeader('a', ms)
    if (ms % 1000 === 0) watch.check(ms)
  }
  t.strictSame(log.choicesOf('control-no-leader'), ['none'])
})

tap.t.test('failed elections are logged at a bounded rate, with the votes', async (t) => {
  const log = new recordedDecisions.RecordedDecisions()
  const campaigns = new campaignLog.CampaignLog(log)
  const outcomes = new Map<string, campaignLog.VoteOutcome>([['b:1', 'refused'], ['c:1', 'failed'], ['d:1', 'granted'], ['e:1', 'pending']])
  for (let i = 0; i < 100; i++) campaigns.recordFailed({ term: 7 + i, preVote: true, needed: 2, outcomes }, 5 + i * 200)
  t.equal(campaigns.failedCount, 100)
  t.equal(log.decisions.length, 2)
  t.match(log.decisions[0], { choice: 'failed', term: 7, needed: 2, granted: 'd:1', refused: 'b:1', pending: 'e:1', failed: 'c:1', rounds: 1 })
  t.match(log.decisions[1], { rounds: 50 })
  campaigns.check(29_000)
  campaigns.check(40_000)
  t.equal(log.decisions.length, 3, 'the last ones are logged too')
  t.match(log.lastOf('control-campaign'), { term: 106, rounds: 49 })
})
