/** Tests how long a candidate asks for votes: as long as a majority can be formed, and no longer. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as voteRound from '../node/voteRound.js'
import * as virtualTime from './virtualTime.js'

const minIntervalMs = 100
const maxObservedMs = 10_000
const contestedLimitMs = 1000
const membership = protobuf.create(inner.MembershipSchema, {
  replicas: ['r-0', 'r-1', 'r-2', 'r-3', 'r-4'].map((id) => ({ id, address: id, operatorAddress: '', failureDomain: 'a', voter: true }))
})

/** Runs a round in which each voter answers in turn; the last answer is repeated. */
async function runRound (answers: Readonly<Record<string, readonly voteRound.VoteAnswer[]>>, endAfterMs = Infinity, limitMs = 2 * maxObservedMs): Promise<string> {
  const time = new virtualTime.VirtualTime()
  const ended = new AbortController()
  const askCounts = new Map<string, number>()
  let outcome = 'goes on'
  const request: voteRound.VoteRequester = async ({ id }) => {
    const count = askCounts.get(id) ?? 0
    askCounts.set(id, count + 1)
    return answers[id]![Math.min(count, answers[id]!.length - 1)]!
  }
  try {
    const round = new voteRound.VoteRound(membership, 'r-0', ended.signal)
    round.run(request, minIntervalMs, limitMs).then((isWon) => { outcome = isWon ? 'won' : 'lost' }, () => { outcome = 'failed' })
    if (endAfterMs < maxObservedMs) setTimeout(() => ended.abort(), endAfterMs)
    await time.runUntil(maxObservedMs, () => outcome !== 'goes on')
    const result = outcome
    // Ends the requests that go on.
    ended.abort()
    return result
  } finally {
    await time.dispose()
  }
}

for (const { name, answers, outcome } of [
  { name: 'a majority grants', answers: { 'r-1': ['granted'], 'r-2': ['granted'], 'r-3': ['refused'], 'r-4': ['refused'] }, outcome: 'won' },
  { name: 'pending votes are granted later', answers: { 'r-1': ['pending', 'pending', 'granted'], 'r-2': ['timed out', 'granted'], 'r-3': ['refused'], 'r-4': ['refused'] }, outcome: 'won' },
  { name: 'a voter starts again', answers: { 'r-1': ['pending'], 'r-2': ['granted'], 'r-3': ['unreachable', 'unreachable', 'granted'], 'r-4': ['refused'] }, outcome: 'won' },
  { name: 'pending votes complete a majority', answers: { 'r-1': ['pending'], 'r-2': ['granted'], 'r-3': ['refused'], 'r-4': ['unreachable'] }, outcome: 'goes on' },
  { name: 'too many refuse', answers: { 'r-1': ['granted'], 'r-2': ['refused'], 'r-3': ['refused'], 'r-4': ['pending', 'refused'] }, outcome: 'lost' },
  { name: 'too many are unreachable', answers: { 'r-1': ['granted'], 'r-2': ['unreachable'], 'r-3': ['unreachable'], 'r-4': ['unreachable'] }, outcome: 'lost' }
] as const) {
  tap.t.test(`a round of votes in which ${name}: ${outcome}`, async (t) => {
    t.equal(await runRound(answers), outcome)
  })
}

tap.t.test('a round of votes ends with the candidacy', async (t) => {
  t.equal(await runRound({ 'r-1': ['pending'], 'r-2': ['pending'], 'r-3': ['pending'], 'r-4': ['pending'] }, 500), 'lost')
})

tap.t.test('a round in which votes are refused ends at its limit, so that candidates do not wait for the same voter for good', async (t) => {
  const answers = { 'r-1': ['granted'], 'r-2': ['refused'], 'r-3': ['pending'], 'r-4': ['pending'] } as const
  t.equal(await runRound(answers, Infinity, contestedLimitMs), 'lost')
  t.equal(await runRound({ ...answers, 'r-3': ['pending', 'pending', 'granted'] }, Infinity, contestedLimitMs), 'won')
  t.equal(await runRound({ ...answers, 'r-2': ['pending'] }, Infinity, contestedLimitMs), 'goes on')
})
