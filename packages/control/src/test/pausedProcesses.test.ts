/** Tests in virtual time that pauses of the processes' event loops, as on a starved machine, don't keep a group from serving reads. */
import * as tap from 'tap'
import * as seededRandom from './seededRandom.js'
import * as virtualGroup from './virtualGroup.js'
import * as virtualTime from './virtualTime.js'

/** Groups to play with; PAUSE_SEEDS=FIRST-LAST plays others. */
const [firstSeed = 1, lastSeed = 10] = (process.env['PAUSE_SEEDS'] ?? '1-10').split('-').map(Number)
const voters = [0, 1, 2, 3, 4]
const majoritySize = 3
const syncMs = 5
const settleMs = 3000
const playMs = 20_000
const tickMs = 100
const minPauseMs = 500
const maxPauseMs = 2000
/** Mean time between two pauses of a process. */
const pauseIntervalMs = 4000
const groupPauseCount = 10
/** Time within which the processes of a group that pauses run again. */
const maxResumeSpreadMs = 50
const killCount = 3
const downtimeMs = 2000
const killIntervalMs = 4000
/** Time without a disruption after which reads must succeed. */
const readRecoveryMs = 3000

/** Plays with a group that has a leader, with a seed for the random numbers of the code too. */
async function play<T> (seed: number, run: (group: virtualGroup.VirtualGroup, time: virtualTime.VirtualTime, random: () => number) => Promise<T>): Promise<T> {
  const random = seededRandom.create(seed)
  const { random: originalRandom } = Math
  Math.random = random
  const time = new virtualTime.VirtualTime()
  const group = new virtualGroup.VirtualGroup({ startTimesMs: voters.map(() => 0), syncMs, formerLeader: undefined, random })
  try {
    await time.runUntil(settleMs)
    return await run(group, time, random)
  } finally {
    group.dispose()
    await time.dispose()
    Math.random = originalRandom
  }
}

/** Pauses processes at random and kills the leader now and then; returns the longest time without a read while a majority runs. */
async function findLongestGap (group: virtualGroup.VirtualGroup, time: virtualTime.VirtualTime, random: () => number): Promise<number> {
  const unavailableUntil = voters.map(() => 0)
  let majorityRunsSince = time.now
  let readAt = time.now
  let longestMs = 0
  let nextKillAt = time.now + killIntervalMs
  let kills = 0
  const measure = (): void => { longestMs = Math.max(longestMs, time.now - Math.max(readAt, majorityRunsSince)) }
  const recordRead = (): void => {
    measure()
    readAt = time.now
  }
  for (const endAt = time.now + playMs; time.now < endAt; await time.runUntil(time.now + tickMs)) {
    for (const voter of voters) {
      group.read(voter).then(recordRead, () => {})
      if (unavailableUntil[voter]! > time.now || random() >= tickMs / pauseIntervalMs) continue
      unavailableUntil[voter] = time.now + minPauseMs + random() * (maxPauseMs - minPauseMs)
      group.pause(voter, unavailableUntil[voter]!)
    }
    const { leader } = group
    if (kills < killCount && time.now >= nextKillAt && leader !== undefined) {
      kills++
      nextKillAt = time.now + killIntervalMs
      unavailableUntil[leader] = time.now + downtimeMs
      group.kill(leader)
      setTimeout(() => { group.start(leader) }, downtimeMs)
    }
    const runningCount = unavailableUntil.filter((until) => until <= time.now).length
    if (runningCount < majoritySize) majorityRunsSince = time.now
  }
  measure()
  return longestMs
}

tap.t.test('a follower that was paused requests no votes while the leader works', async (t) => {
  for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const { requests, leaders } = await play(seed, async (group, time) => {
      const before = group.voteRequestCount
      group.pause(voters.find((voter) => voter !== group.leader)!, time.now + maxPauseMs)
      await time.runUntil(time.now + 2 * maxPauseMs)
      return { requests: group.voteRequestCount - before, leaders: group.wonElections.length }
    })
    t.same({ requests, leaders }, { requests: 0, leaders: 1 }, `seed ${seed}`)
  }
})

/** Pauses all processes at once, now and then; returns the longest times from the end of a pause to a read. */
async function findDelaysAfterPauses (group: virtualGroup.VirtualGroup, time: virtualTime.VirtualTime, random: () => number): Promise<readonly number[]> {
  const delaysMs: number[] = []
  for (let pause = 0; pause < groupPauseCount; pause++) {
    await time.runUntil(time.now + settleMs)
    const until = time.now + minPauseMs + random() * (maxPauseMs - minPauseMs)
    for (const voter of voters) group.pause(voter, until + random() * maxResumeSpreadMs)
    let readAt: number | undefined
    while (readAt === undefined) {
      await time.runUntil(time.now + tickMs)
      for (const voter of voters) if (time.now > until) group.read(voter).then(() => { readAt ??= time.now }, () => {})
    }
    delaysMs.push(Math.round(readAt - until))
  }
  return delaysMs
}

// Guards against a group that replaces a working leader after each pause of all its processes, as on a starved machine.
tap.t.test('a group whose processes all pause at once keeps its leader', async (t) => {
  for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const { delaysMs, leaders } = await play(seed, async (group, time, random) => ({ delaysMs: await findDelaysAfterPauses(group, time, random), leaders: group.wonElections.length }))
    t.equal(leaders, 1, `seed ${seed}: leaders`)
    t.comment(`seed ${seed}: reads ${delaysMs.join(', ')} ms after the end of a pause`)
  }
})

tap.t.test('reads go on while processes pause and the leader is killed', async (t) => {
  const gaps: number[] = []
  for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const { longestMs, problems } = await play(seed, async (group, time, random) => ({ longestMs: await findLongestGap(group, time, random), problems: group.problems }))
    gaps.push(Math.round(longestMs))
    t.ok(longestMs <= readRecoveryMs, `seed ${seed}: a read soon after a majority runs`)
    t.same(problems, [], `seed ${seed}: one stored vote and one leader a term`)
  }
  t.comment(`longest times without a read while a majority runs: ${gaps.join(', ')} ms`)
})
