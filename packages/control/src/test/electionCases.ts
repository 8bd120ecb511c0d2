/** Elections of groups of replicas in virtual time, under conditions that must not keep a group from a leader that stays. */
import * as seededRandom from './seededRandom.js'
import * as virtualGroup from './virtualGroup.js'
import * as virtualTime from './virtualTime.js'

const voterCount = 5
const startCount = 200
/** All processes start within this time of each other. */
const maxStartSpreadMs = 300
const maxObservedMs = 30_000
/** A leader that has committed an entry of its term and led for this long, beyond the writes of its followers, counts as stable. */
const minStableMs = 500
/** Time to a stable leader in nearly all runs apart from the time of the disk syncs, if no leader was known. */
const maxLeaderDelayMs = 150
/** The same for a leader that is lost: up to two election timeouts pass before. */
const maxSuccessorDelayMs = 1000
const fastSyncMs = 5
/** Time to a stable leader if a replica with a slow disk is a candidate first: one election timeout. */
const maxSlowCandidateMs = 400
const slowVoter = 2
/** Writes of a replica that follows a new leader: the term, then the leader's first entry. */
const writesPerFollower = 2

/** Observations on one group. */
export interface Result {
  /** Time to the last leadership: from the start of a majority, or from the loss of the former leader. */
  readonly delayMs: number
  /** Number of leaders that were replaced. */
  readonly replacedCount: number
  readonly leader: number | undefined
  readonly problems: readonly string[]
}

/** Plays with a group in virtual time. */
type Play = (group: virtualGroup.VirtualGroup, time: virtualTime.VirtualTime) => Promise<void>

/** Picks start times, with some voters missing. */
function pickStartTimes (random: () => number, missingCount: number): ReadonlyArray<number | undefined> {
  const voters = Array.from({ length: voterCount }, (_value, voter) => ({ voter, key: random() }))
  const missing = new Set(voters.sort((a, b) => a.key - b.key).slice(0, missingCount).map(({ voter }) => voter))
  return Array.from({ length: voterCount }, (_value, voter) => missing.has(voter) ? undefined : random() * maxStartSpreadMs)
}

/** Starts a group, lets a disruption happen, and waits for a leader that stays. */
async function run (options: virtualGroup.GroupOptions, disrupt?: Play): Promise<Result> {
  const time = new virtualTime.VirtualTime()
  const group = new virtualGroup.VirtualGroup(options)
  const stableMs = minStableMs + writesPerFollower * Math.max(...[options.syncMs].flat())
  const hasStableLeader = (): boolean => group.leader !== undefined && group.hasCommitted && time.now - group.wonElections.at(-1)!.wonAtMs > stableMs
  // The third of five voters completes a majority.
  let since = options.startTimesMs.filter((at) => at !== undefined).sort((a, b) => a - b)[2]!
  try {
    if (disrupt !== undefined) {
      await disrupt(group, time)
      since = time.now
    }
    await time.runUntil(since + maxObservedMs, hasStableLeader)
    const won = group.wonElections.filter(({ wonAtMs }) => wonAtMs > since)
    const wonAtMs = hasStableLeader() ? group.wonElections.at(-1)!.wonAtMs : Infinity
    return { delayMs: Math.max(0, wonAtMs - since), replacedCount: Math.max(0, won.length - 1), leader: group.leader, problems: group.problems }
  } finally {
    group.dispose()
    await time.dispose()
  }
}

/** Creates the random conditions of one start, and runs it. */
type RunOnce = (random: () => number) => Promise<Result>

/** A number of starts under the same conditions. */
export interface ElectionCase {
  readonly name: string
  /** Longest time to a stable leader in nearly all starts. */
  readonly maxDelayMs: number
  readonly seed: number
  readonly runOnce: RunOnce
}

/** All cases. */
export const cases: readonly ElectionCase[] = [
  ...[5, 40, 300, 700, 1500].flatMap((syncMs) => [0, 2].map((missingCount) => ({
    name: `elects a leader that stays: sync ${syncMs} ms, ${missingCount} of five replicas missing`,
    maxDelayMs: maxLeaderDelayMs + 2 * syncMs,
    seed: syncMs + missingCount,
    runOnce: async (random: () => number) => await run({
      startTimesMs: pickStartTimes(random, missingCount),
      syncMs,
      formerLeader: random() < 0.5 ? Math.floor(random() * voterCount) : undefined,
      random
    })
  }))),
  ...[5, 700].map((syncMs) => ({
    name: `elects a successor of a leader that is lost: sync ${syncMs} ms`,
    maxDelayMs: maxSuccessorDelayMs + 2 * syncMs,
    seed: syncMs,
    runOnce: async (random: () => number) => await run({ startTimesMs: pickStartTimes(random, 1), syncMs, formerLeader: undefined, random }, async (group, time) => {
      const ledMs = minStableMs + random() * syncMs
      await time.runUntil(maxObservedMs, () => group.leader !== undefined && time.now - group.wonElections.at(-1)!.wonAtMs > ledMs)
      group.kill(group.leader!)
    })
  })),
  {
    name: 'replicas with fast disks lead where one disk is slow',
    maxDelayMs: maxSlowCandidateMs,
    seed: 1,
    runOnce: async (random) => await run({
      startTimesMs: pickStartTimes(random, 0),
      syncMs: Array.from({ length: voterCount }, (_value, voter) => voter === slowVoter ? 700 : fastSyncMs),
      formerLeader: undefined,
      random
    })
  },
  {
    name: 'a voter that is killed while it writes its vote',
    maxDelayMs: 1000 + 3 * 700,
    seed: 1,
    runOnce: async (random) => await run({ startTimesMs: pickStartTimes(random, 2), syncMs: 700, formerLeader: undefined, random }, async (group, time) => {
      await time.runUntil(maxObservedMs, () => group.votersThatWrite().length >= 3)
      await time.runUntil(time.now + random() * 700)
      const writing = group.votersThatWrite()
      const killed = writing[Math.floor(random() * writing.length)]
      if (killed === undefined) return
      group.kill(killed)
      setTimeout(() => { group.start(killed) }, random() * 400)
    })
  },
  {
    name: 'a disk that stalls',
    maxDelayMs: 1000,
    seed: 1,
    runOnce: async (random) => await run({ startTimesMs: pickStartTimes(random, 1), syncMs: 40, formerLeader: undefined, random }, async (group, time) => {
      await time.runUntil(maxObservedMs, () => group.votersThatWrite().length > 0)
      const writing = group.votersThatWrite()
      group.disks[writing[Math.floor(random() * writing.length)]!]!.setStalled(true)
    })
  },
  ...[
    { syncMs: 5, earlierVoters: [1] },
    { syncMs: 40, earlierVoters: [0, 3] },
    { syncMs: 300, earlierVoters: [0, 3] },
    { syncMs: 700, earlierVoters: [0, 1, 3] }
  ].map(({ syncMs, earlierVoters }) => ({
    name: `replicas that ignore the new fields of votes elect a leader with the others: sync ${syncMs} ms, ${earlierVoters.length} of five`,
    maxDelayMs: maxLeaderDelayMs + 2 * syncMs,
    seed: syncMs,
    runOnce: async (random: () => number) => await run({ startTimesMs: pickStartTimes(random, 0), syncMs, formerLeader: undefined, random, earlierVoters })
  }))
]

/** Runs a case, with its seed for the random numbers of the code too. */
export async function runCase ({ seed, runOnce }: ElectionCase): Promise<readonly Result[]> {
  const random = seededRandom.create(seed)
  const { random: originalRandom } = Math
  Math.random = random
  try {
    const results: Result[] = []
    for (let i = 0; i < startCount; i++) results.push(await runOnce(random))
    return results
  } finally {
    Math.random = originalRandom
  }
}
