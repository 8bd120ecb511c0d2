/** Tests in virtual time that the time without a leader doesn't grow with the number of elections that a group has had. */
import * as tap from 'tap'
import * as seededRandom from './seededRandom.js'
import * as virtualGroup from './virtualGroup.js'
import * as virtualTime from './virtualTime.js'

/** Groups to play with; ELECTION_SEEDS=FIRST-LAST plays others. */
const [firstSeed = 1, lastSeed = 2] = (process.env['ELECTION_SEEDS'] ?? '1-2').split('-').map(Number)
const voters = [0, 1, 2, 3, 4]
/** A voter that never responds, so that candidates can't count on its refusal. */
const silentVoter = 4
const syncMs = 5
/** Longest times that processes take to read a message: quiet ones, and those of a busy machine. */
const readDelaysMs = [10, 150]
const killCount = 40
const downtimeMs = 1000
const maxObservedMs = 60_000
const settledMs = 2000
/** Time without a disruption after which reads must succeed. */
const readRecoveryMs = 3000

/** Kills the leader again and again; returns the times until the next leader. */
async function playKills (seed: number, maxReadDelayMs: number): Promise<{ readonly delaysMs: readonly number[], readonly problems: readonly string[] }> {
  const random = seededRandom.create(seed)
  const { random: originalRandom } = Math
  Math.random = random
  const time = new virtualTime.VirtualTime()
  const group = new virtualGroup.VirtualGroup({ startTimesMs: voters.map(() => 0), syncMs, formerLeader: undefined, random, maxReadDelayMs })
  const delaysMs: number[] = []
  try {
    await time.runUntil(settledMs, () => group.leader !== undefined && group.leader !== silentVoter)
    group.disks[silentVoter]!.setStalled(true)
    for (let kill = 0; kill < killCount; kill++) {
      await time.runUntil(time.now + settledMs)
      const { leader } = group
      if (leader === undefined) continue
      group.kill(leader)
      setTimeout(() => { group.start(leader) }, downtimeMs)
      const killedAt = time.now
      await time.runUntil(killedAt + maxObservedMs, () => group.leader !== undefined && group.hasCommitted)
      delaysMs.push(Math.round(time.now - killedAt))
    }
    return { delaysMs, problems: group.problems }
  } finally {
    group.dispose()
    await time.dispose()
    Math.random = originalRandom
  }
}

for (const maxReadDelayMs of readDelaysMs) {
  // Guards against candidates that wait longer and longer for votes, because they count lost elections of long ago.
  tap.t.test(`a new leader is elected as soon after many elections as after the first ones: messages read within ${maxReadDelayMs} ms`, async (t) => {
    for (let seed = firstSeed; seed <= lastSeed; seed++) {
      const { delaysMs, problems } = await playKills(seed, maxReadDelayMs)
      t.ok(Math.max(...delaysMs) <= readRecoveryMs, `seed ${seed}: longest time without a leader`)
      t.same(problems, [])
      t.comment(`seed ${seed}: ${delaysMs.join(', ')} ms`)
    }
  })
}
