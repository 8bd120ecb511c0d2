/** Tests how soon a group of replicas that start together has a leader, over many starts in virtual time. */
import * as tap from 'tap'
import * as seededRandom from './seededRandom.js'
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
const maxReplacedShare = 0.01

/** Result of one start of the group. */
interface StartResult {
  /** Time from the start of a majority to the start of the last leadership. */
  readonly leaderDelayMs: number
  /** Number of leaders that were replaced. */
  readonly replacedLeaderCount: number
}

/** Starts a group of five voters, `missingCount` of which don't start, and waits for a stable leader. */
async function startOnce (random: () => number, syncMs: number, missingCount: number, isLastLeaderStored: boolean): Promise<StartResult> {
  const time = new virtualTime.VirtualTime()
  const voters = [0, 1, 2, 3, 4]
  const missingVoters = new Set(voters.map((voter) => ({ voter, key: random() })).sort((a, b) => a.key - b.key).slice(0, missingCount).map(({ voter }) => voter))
  const startTimesMs = voters.map((voter) => missingVoters.has(voter) ? undefined : random() * maxStartSpreadMs)
  const group = new virtualGroup.VirtualGroup({ startTimesMs, syncMs, random, formerLeader: isLastLeaderStored ? Math.floor(random() * voters.length) : undefined })
  try {
    await time.runUntil(maxObservedMs, () => time.now - (group.wonElections.at(-1)?.wonAtMs ?? Infinity) > minStableMs)
  } finally {
    group.dispose()
    await time.dispose()
  }
  // The third of five voters completes a majority.
  const majorityAt = startTimesMs.filter((at) => at !== undefined).sort((a, b) => a - b)[2]!
  return { leaderDelayMs: (group.wonElections.at(-1)?.wonAtMs ?? Infinity) - majorityAt, replacedLeaderCount: group.wonElections.length - 1 }
}

for (const { syncMs, missingCount, isLastLeaderStored } of [
  { syncMs: 5, missingCount: 0, isLastLeaderStored: true },
  { syncMs: 5, missingCount: 0, isLastLeaderStored: false },
  { syncMs: 5, missingCount: 1, isLastLeaderStored: true },
  { syncMs: 5, missingCount: 2, isLastLeaderStored: true },
  { syncMs: 40, missingCount: 0, isLastLeaderStored: true },
  { syncMs: 40, missingCount: 2, isLastLeaderStored: false }
]) {
  tap.t.test(`elects a stable leader in time: sync ${syncMs} ms, ${missingCount} of five replicas missing, last leader ${isLastLeaderStored ? 'known' : 'unknown'}`, async (t) => {
    const random = seededRandom.create(1)
    const runs: StartResult[] = []
    const { random: originalRandom } = Math
    Math.random = random
    try {
      for (let run = 0; run < startCount; run++) runs.push(await startOnce(random, syncMs, missingCount, isLastLeaderStored))
    } finally {
      Math.random = originalRandom
    }
    const sorted = runs.map(({ leaderDelayMs }) => leaderDelayMs).sort((a, b) => a - b)
    const quantileMs = sorted[Math.ceil(startCount * quantile) - 1]!
    const replacedShare = runs.filter(({ replacedLeaderCount }) => replacedLeaderCount !== 0).length / startCount
    t.comment(`median ${Math.round(sorted[startCount / 2]!)} ms, 99 in 100 within ${Math.round(quantileMs)} ms, longest ${Math.round(sorted.at(-1)!)} ms, share of starts with a replaced first leader ${replacedShare}`)
    t.ok(quantileMs <= maxLeaderDelayMs + syncCount * syncMs, 'a stable leader in time')
    t.ok(replacedShare <= maxReplacedShare, 'the first leader stays the leader')
  })
}
