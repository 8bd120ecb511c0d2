/** Tests the rules that votes must keep however long the disk takes: one vote a term, stored before it counts, none beside a working leader. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as replicatedState from '../common/replicatedState.js'
import * as replica from '../node/replica.js'
import type * as replicaLinks from '../node/replicaLinks.js'
import type * as replicaStorage from '../node/replicaStorage.js'
import * as virtualTime from './virtualTime.js'

const electionTimeoutMs = 400
const storedTerm = 3
const snapshotIndex = 20

/** Storage whose writes of term and vote end when the test says so. */
class HeldStorage implements replicaStorage.IReplicaStorage {
  readonly isDiskFull = false
  readonly writes: inner.ReplicaMeta[] = []
  private readonly held: Array<async.Deferred<void>> = []

  onDiskFullChanged (): { dispose: () => void } {
    return { dispose: () => {} }
  }

  async load (): Promise<replicaStorage.StoredReplica> {
    const replicas = ['r-0', 'r-1', 'r-2'].map((id, i) => ({ id, address: `10.0.0.${i}:1`, operatorAddress: '', failureDomain: 'a', voter: true }))
    const membership = protobuf.create(inner.MembershipSchema, { replicas })
    return {
      meta: protobuf.create(inner.ReplicaMetaSchema, { replicaId: 'r-0', cluster: 'c', founded: true, term: storedTerm }),
      snapshot: new replicatedState.ReplicatedState().toSnapshot(snapshotIndex, storedTerm, membership),
      entries: []
    }
  }

  async saveMeta (meta: inner.ReplicaMeta): Promise<void> {
    const write = new async.Deferred<void>()
    this.writes.push(meta)
    this.held.push(write)
    await write.promise
  }

  finishWrites (): void {
    for (const write of this.held.splice(0)) write.resolve()
  }

  failWrites (): void {
    for (const write of this.held.splice(0)) write.reject(new errors.RackError({ kind: 'disk-failure', message: 'the test fails the write' }))
  }

  async append (): Promise<void> {}
  async rewrite (): Promise<void> {}
  async saveSnapshot (): Promise<void> {}
  dispose (): void {}
}

/** What a test uses of a voter. */
interface Voter {
  readonly storage: HeldStorage
  readonly member: replica.Replica
  readonly time: virtualTime.VirtualTime
  /** Events of the decision log. */
  readonly events: string[]
}

/** Links to replicas that end each stream. */
const unreachableLinks = { linkTo: () => ({ client: { append: async function * () {} }, reset: () => {} }) } as unknown as replicaLinks.ReplicaLinks

type VoteFields = Partial<Pick<inner.VoteReq, 'term' | 'candidateId' | 'preVote' | 'writeMs'>>

function voteReq (fields: VoteFields): inner.VoteReq {
  return protobuf.create(inner.VoteReqSchema, { term: 4, candidateId: 'r-1', lastIndex: BigInt(snapshotIndex), lastTerm: storedTerm, toReplicaId: 'r-0', writeMs: 1, ...fields })
}

function appendReq (term: number): inner.AppendReq {
  return protobuf.create(inner.AppendReqSchema, { term, leaderId: 'r-2', toReplicaId: 'r-0', prevIndex: BigInt(snapshotIndex), prevTerm: storedTerm })
}

function describe (res: inner.VoteRes | undefined): string {
  if (res === undefined) return 'no answer'
  return res.granted ? 'granted' : res.pending ? 'pending' : 'refused'
}

/** Runs a test with a voter in virtual time; no leader has been in contact for long. */
async function withVoter (run: (voter: Voter) => Promise<void>): Promise<void> {
  const time = new virtualTime.VirtualTime()
  const storage = new HeldStorage()
  const events: string[] = []
  const decisions = Object.assign(new decisionLog.NullDecisionLog(), { record: ({ event }: decisionLog.Decision) => { events.push(event) } })
  const options = { address: '10.0.0.0:1', operatorAddress: '', failureDomain: 'a', electionTimeoutMs, heartbeatMs: 100, snapshotEvery: 1000 }
  const member = new replica.Replica(options, storage, unreachableLinks, decisions)
  try {
    await member.load()
    await time.runUntil(10 * electionTimeoutMs)
    await run({ storage, member, time, events })
  } finally {
    member.dispose()
    await time.dispose()
  }
}

/** Sends a vote request and returns the answer, if it comes within a time. */
async function ask ({ member, time }: Voter, fields: VoteFields, withinMs = electionTimeoutMs): Promise<string> {
  let answer: inner.VoteRes | undefined
  member.handleVote(voteReq(fields)).then((res) => { answer = res }, () => {})
  await time.runUntil(time.now + withinMs, () => answer !== undefined)
  return describe(answer)
}

tap.t.test('a vote that is being written is pending, and asking again adds no write', async (t) => {
  await withVoter(async (voter) => {
    t.equal(await ask(voter, {}), 'pending')
    t.equal(await ask(voter, {}), 'pending')
    t.equal(voter.storage.writes.length, 1)
    voter.storage.finishWrites()
    t.equal(await ask(voter, {}), 'granted')
    t.equal(voter.storage.writes.length, 1, 'a stored vote is granted again without a write')
  })
})

tap.t.test('a candidate that does not know pending votes gets no answer before the write', async (t) => {
  await withVoter(async (voter) => {
    t.equal(await ask(voter, { writeMs: 0 }, 10 * electionTimeoutMs), 'no answer')
    voter.storage.finishWrites()
    t.equal(await ask(voter, { writeMs: 0 }), 'granted')
  })
})

tap.t.test('a voter does not give two votes in a term', async (t) => {
  await withVoter(async (voter) => {
    t.equal(await ask(voter, {}), 'pending')
    t.equal(await ask(voter, { candidateId: 'r-2' }), 'pending', 'decided once the first vote is stored')
    voter.storage.finishWrites()
    t.equal(await ask(voter, { candidateId: 'r-2' }), 'refused')
    t.equal(await ask(voter, {}), 'granted')
    t.same(voter.storage.writes.map(({ votedFor }) => votedFor), ['r-1'])
  })
})

tap.t.test('a voter does not grant a vote after it adopted a higher term', async (t) => {
  await withVoter(async (voter) => {
    t.equal(await ask(voter, {}), 'pending')
    voter.storage.finishWrites()
    t.equal(await ask(voter, {}), 'granted')
    t.equal(await ask(voter, { term: 5, candidateId: 'r-2' }), 'pending')
    t.not(await ask(voter, {}), 'granted', 'while the higher term is written')
    voter.storage.finishWrites()
    t.equal(await ask(voter, {}), 'refused')
    t.equal(await ask(voter, { term: 5, candidateId: 'r-2' }), 'granted')
  })
})

tap.t.test('votes that waited for the disk are not written for candidates that others have superseded', async (t) => {
  await withVoter(async (voter) => {
    for (const term of [4, 5, 6, 7]) await ask(voter, { term, candidateId: `r-${1 + term % 2}` })
    voter.storage.finishWrites()
    t.equal(await ask(voter, { term: 7, candidateId: 'r-2' }), 'pending')
    voter.storage.finishWrites()
    t.equal(await ask(voter, { term: 7, candidateId: 'r-2' }), 'granted')
    t.same(voter.storage.writes.map(({ term }) => term), [4, 7])
  })
})

tap.t.test('a pre-vote is answered at once while a vote is written, and refused to other candidates', async (t) => {
  await withVoter(async (voter) => {
    t.equal(await ask(voter, {}), 'pending')
    t.equal(await ask(voter, { preVote: true, term: 5, candidateId: 'r-2' }, 0), 'refused')
    t.equal(await ask(voter, { preVote: true, term: 5 }, 0), 'granted')
    t.equal(voter.storage.writes.length, 1)
  })
})

tap.t.test('a granted vote stays reserved while the candidate writes its own', async (t) => {
  await withVoter(async (voter) => {
    t.equal(await ask(voter, { writeMs: 1000 }), 'pending')
    voter.storage.finishWrites()
    t.equal(await ask(voter, { writeMs: 1000 }), 'granted')
    await voter.time.runUntil(voter.time.now + 900)
    t.equal(await ask(voter, { preVote: true, term: 5, candidateId: 'r-2' }, 0), 'refused')
    await voter.time.runUntil(voter.time.now + 300)
    t.equal(await ask(voter, { preVote: true, term: 5, candidateId: 'r-2' }, 0), 'granted')
  })
})

tap.t.test('neither votes nor pre-votes are granted while a leader is in contact', async (t) => {
  await withVoter(async (voter) => {
    const followed = voter.member.handleAppend(appendReq(4))
    await voter.time.runUntil(voter.time.now)
    voter.storage.finishWrites()
    t.equal((await followed).success, true)
    t.equal(await ask(voter, { preVote: true, term: 5 }), 'refused')
    t.equal(await ask(voter, { term: 5 }), 'refused')
    t.equal(voter.storage.writes.length, 1)
  })
})

tap.t.test('a candidate leads only once its own vote is stored', async (t) => {
  await withVoter(async ({ member, storage, time }) => {
    const candidacy = await member.becomeCandidate(4)
    t.equal(candidacy?.ended.aborted, false)
    const won = member.becomeLeader(4)
    await time.runUntil(time.now + 10 * electionTimeoutMs)
    t.equal(member.leadership, undefined)
    storage.finishWrites()
    await won
    t.equal(member.leadership !== undefined, true)
  })
})

tap.t.test('a candidate gives up when another one asks for its vote in a higher term', async (t) => {
  await withVoter(async (voter) => {
    const { member, storage } = voter
    const candidacy = await member.becomeCandidate(4)
    const won = member.becomeLeader(4)
    t.equal(await ask(voter, { term: 5 }), 'pending')
    t.equal(candidacy?.ended.aborted, true)
    storage.finishWrites()
    await won
    t.equal(member.leadership, undefined)
  })
})

tap.t.test('a write of a vote that fails is logged, and ends the candidacy', async (t) => {
  await withVoter(async ({ member, storage, events }) => {
    const candidacy = await member.becomeCandidate(4)
    storage.failWrites()
    await candidacy?.voteWritten
    await member.becomeLeader(4)
    t.same([events, candidacy?.ended.aborted, member.leadership, member.term], [['control-vote-failed'], true, undefined, storedTerm])
  })
})
