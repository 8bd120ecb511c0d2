/** Tests how soon a group of replicas that start together has a leader, over many starts in virtual time. */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as tap from 'tap'
import * as virtualGroup from './virtualGroup.js'
import * as virtualTime from './virtualTime.js'

const startCount = 200
/** All processes start within this time of each other. */
const maxStartSpreadMs = 300
const maxObservedMs = 3000
/** A leader that has led for this long counts as stable. */
const minStableMs = 500
/** Longest time from the start of a majority to a stable leader in nearly all runs, apart from the time of the disk syncs. */
const maxLeaderDelayMs = 150
/** Disk syncs before a leader is elected: the candidate's and then the voters', one after the other. */
const syncCount = 2
const quantile = 0.99
const maxDeposedShare = 0.01

/** Result of one start of the group. */
interface StartResult {
  /** Time from the start of a majority to the start of the last leadership. */
  readonly ms: number
  /** Leaders that were replaced. */
  readonly deposedCount: number
}

/** Starts a group of five voters, `missingCount` of which don't start, and waits for a stable leader. */
async function startOnce (random: () => number, syncMs: number, missingCount: number, knowsLeader: boolean): Promise<StartResult> {
  const time = new virtualTime.VirtualTime()
  const voters = [0, 1, 2, 3, 4]
  const missingVoters = new Set(voters.map((voter) => ({ voter, key: random() })).sort((a, b) => a.key - b.key).slice(0, missingCount).map(({ voter }) => voter))
  const startsAt = voters.map((voter) => missingVoters.has(voter) ? undefined : random() * maxStartSpreadMs)
  const group = new virtualGroup.VirtualGroup({ startsAt, syncMs, random, formerLeader: knowsLeader ? Math.floor(random() * voters.length) : undefined })
  try {
    await time.runUntil(maxObservedMs, () => time.now - (group.wonElections.at(-1)?.at ?? Infinity) > minStableMs)
  } finally {
    group.dispose()
    await time.dispose()
  }
  const majorityAt = startsAt.filter((at) => at !== undefined).sort((a, b) => a - b)[2]!
  return { ms: (group.wonElections.at(-1)?.at ?? Infinity) - majorityAt, deposedCount: group.wonElections.length - 1 }
}

function seededRandom (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => float.uniformFloat64(generator)
}

for (const { syncMs, missingCount, knowsLeader } of [
  { syncMs: 5, missingCount: 0, knowsLeader: true },
  { syncMs: 5, missingCount: 0, knowsLeader: false },
  { syncMs: 5, missingCount: 1, knowsLeader: true },
  { syncMs: 5, missingCount: 2, knowsLeader: true },
  { syncMs: 40, missingCount: 0, knowsLeader: true },
  { syncMs: 40, missingCount: 2, knowsLeader: false }
]) {
  tap.t.test(`elects a stable leader in time: sync ${syncMs} ms, ${missingCount} of five replicas missing, last leader ${knowsLeader ? 'known' : 'unknown'}`, async (t) => {
    const random = seededRandom(1)
    const runs: StartResult[] = []
    const { random: ownRandom } = Math
    Math.random = random
    try {
      for (let run = 0; run < startCount; run++) runs.push(await startOnce(random, syncMs, missingCount, knowsLeader))
    } finally {
      Math.random = ownRandom
    }
    const sorted = runs.map(({ ms }) => ms).sort((a, b) => a - b)
    const quantileMs = sorted[Math.ceil(startCount * quantile) - 1]!
    const deposedShare = runs.filter(({ deposedCount }) => deposedCount !== 0).length / startCount
    t.comment(`median ${Math.round(sorted[startCount / 2]!)} ms, 99 in 100 within ${Math.round(quantileMs)} ms, longest ${Math.round(sorted.at(-1)!)} ms, first leader replaced ${deposedShare}`)
    t.ok(quantileMs <= maxLeaderDelayMs + syncCount * syncMs, 'a stable leader in time')
    t.ok(deposedShare <= maxDeposedShare, 'the first leader stays the leader')
  })
}
