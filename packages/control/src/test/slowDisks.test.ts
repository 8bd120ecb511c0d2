/** Tests that a group whose disks are slow keeps its leader, acknowledges changes and serves reads, only later. */
import * as tap from 'tap'
import * as operatedGroup from './operatedGroup.js'

const seed = 1
const sourceKiB = 1
const changePauseMs = 100
const observedMs = 60_000
const maxElections = 3
/** Longest time without a successful read while nothing disturbs the group. */
const maxReadPauseMs = 3000
/** Longest time of a change in disk syncs: a batch waits for the one before, and the slowest sync takes one and a half times the average. */
const maxSyncsPerChange = 6
/** Longest time from the start of all processes to the first acknowledgement, in disk syncs. */
const maxSyncsToFirstChange = 16
const startMs = 3000
const stallMs = 3500
const maxPauseInStallMs = 1000

for (const syncMs of [1000, 2000]) {
  for (const isRestarted of [false, true]) {
    const name = isRestarted ? 'all replicas restart' : 'the disks become slow'
    // Guards against a group without a leader, because heartbeats and votes wait for slow disks.
    tap.t.test(`keeps a leader and serves changes and reads while each sync takes ${syncMs} ms: ${name}`, async (t) => {
      await operatedGroup.run({ seed }, async (operated) => {
        for (const { disk } of operated.group.machines) disk.syncMs = syncMs
        if (isRestarted) await operated.restartAll([])
        operated.keepChanging(sourceKiB, changePauseMs)
        operated.keepReading()
        const electedBefore = operated.group.wonElections.length
        t.ok(await operated.advance(startMs + maxSyncsToFirstChange * syncMs, () => operated.acknowledged.length > 0), 'a change is acknowledged')
        const startedAt = operated.time.now
        await operated.advance(observedMs)
        const endedAt = operated.time.now
        const elections = operated.group.wonElections.length - electedBefore
        t.ok(elections <= maxElections, `${elections} elections`)
        const changeMs = operated.longestPauseMs(operated.acknowledged, startedAt, endedAt)
        t.ok(changeMs <= changePauseMs + maxSyncsPerChange * syncMs, `longest time between acknowledgements ${Math.round(changeMs)} ms`)
        const pauseMs = operated.longestPauseMs(operated.reads, startedAt, endedAt)
        t.ok(pauseMs <= maxReadPauseMs, `longest time without a successful read ${Math.round(pauseMs)} ms`)
        t.same(operated.staleReads, [], 'no stale reads')
        t.same(operated.group.failures, [], 'no process ends by itself')
      })
    })
  }
}

tap.t.test('changes and reads go on while only the disk of the leader stalls', async (t) => {
  await operatedGroup.run({ seed }, async (operated) => {
    operated.keepChanging(sourceKiB, changePauseMs)
    operated.keepReading()
    await operated.advance(startMs)
    const { disk } = operated.leaderMachine
    disk.setStalled(true)
    const stalledAt = operated.time.now
    await operated.advance(stallMs)
    disk.setStalled(false)
    await operated.advance(startMs)
    const changePause = operated.longestPauseMs(operated.acknowledged, stalledAt, operated.time.now)
    const readPause = operated.longestPauseMs(operated.reads, stalledAt, operated.time.now)
    t.ok(changePause <= maxPauseInStallMs, `longest time between acknowledgements ${Math.round(changePause)} ms`)
    t.ok(readPause <= maxPauseInStallMs, `longest time without a successful read ${Math.round(readPause)} ms`)
    t.same(operated.staleReads, [], 'no stale reads')
    t.same(operated.group.failures, [], 'no process ends by itself')
  })
})
