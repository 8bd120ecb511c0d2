/** How soon a group that starts together has a leader, over many starts in virtual time. */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as tap from 'tap'
import * as virtualGroup from './virtualGroup.js'
import * as virtualTime from './virtualTime.js'

const starts = 200
/** All processes start within this time of each other. */
const apartMs = 300
const observedMs = 3000
/** A leader that led for so long has won. */
const stayedMs = 500
/** Time from the start of a majority to a leader that stays, at nearly all starts, without what the disks take. */
const leaderWithinMs = 150
/** A vote and the candidacy before it are synced one after the other. */
const syncsToLead = 2
const quantile = 0.99
const lostShare = 0.01

interface Measured {
  /** Time from the start of a majority to the last leadership that began. */
  readonly ms: number
  /** Leaders that were replaced. */
  readonly deposed: number
}

async function startOnce (random: () => number, syncMs: number, missing: number, knowsLeader: boolean): Promise<Measured> {
  const time = new virtualTime.VirtualTime()
  const voters = [0, 1, 2, 3, 4]
  const gone = new Set(voters.map((voter) => ({ voter, key: random() })).sort((a, b) => a.key - b.key).slice(0, missing).map(({ voter }) => voter))
  const startsAt = voters.map((voter) => gone.has(voter) ? undefined : random() * apartMs)
  const group = new virtualGroup.VirtualGroup({ startsAt, syncMs, random, formerLeader: knowsLeader ? Math.floor(random() * voters.length) : undefined })
  try {
    await time.runUntil(observedMs, () => time.now - (group.won.at(-1)?.at ?? Infinity) > stayedMs)
  } finally {
    group.dispose()
    await time.dispose()
  }
  const majorityAt = startsAt.filter((at) => at !== undefined).sort((a, b) => a - b)[2]!
  return { ms: (group.won.at(-1)?.at ?? Infinity) - majorityAt, deposed: group.won.length - 1 }
}

function seeded (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => float.uniformFloat64(generator)
}

for (const { syncMs, missing, knowsLeader } of [
  { syncMs: 5, missing: 0, knowsLeader: true },
  { syncMs: 5, missing: 0, knowsLeader: false },
  { syncMs: 5, missing: 1, knowsLeader: true },
  { syncMs: 5, missing: 2, knowsLeader: true },
  { syncMs: 40, missing: 0, knowsLeader: true },
  { syncMs: 40, missing: 2, knowsLeader: false }
]) {
  tap.t.test(`sync ${syncMs} ms, ${missing} of five gone, last leader ${knowsLeader ? 'known' : 'unknown'}`, async (t) => {
    const random = seeded(1)
    const runs: Measured[] = []
    const { random: ownRandom } = Math
    Math.random = random
    try {
      for (let run = 0; run < starts; run++) runs.push(await startOnce(random, syncMs, missing, knowsLeader))
    } finally {
      Math.random = ownRandom
    }
    const sorted = runs.map(({ ms }) => ms).sort((a, b) => a - b)
    const late = sorted[Math.ceil(starts * quantile) - 1]!
    const lost = runs.filter(({ deposed }) => deposed !== 0).length / starts
    t.comment(`median ${Math.round(sorted[starts / 2]!)} ms, 99 in 100 within ${Math.round(late)} ms, most ${Math.round(sorted.at(-1)!)} ms, lost to another leader ${lost}`)
    t.ok(late <= leaderWithinMs + syncsToLead * syncMs, 'a leader in time')
    t.ok(lost <= lostShare, 'the first leader stays')
  })
}
