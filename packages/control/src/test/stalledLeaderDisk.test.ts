/** Tests that a leader whose disk stalls doesn't stop the changes of the group, also when its log is due to be compacted. */
import * as tap from 'tap'
import * as operatedGroup from './operatedGroup.js'

const startMs = 3000
const stallMs = 30_000
const maxPauseMs = 5000

for (const snapshotEvery of [1000, 20]) {
  tap.t.test(`changes go on while the disk of the leader stalls: a snapshot every ${snapshotEvery} entries`, async (t) => {
    await operatedGroup.run({ seed: 1, snapshotEvery }, async (operated) => {
      operated.keepChanging(1, 100)
      operated.keepReading()
      await operated.advance(startMs)
      const { disk } = operated.leaderMachine
      disk.setStalled(true)
      const stalledAt = operated.time.now
      await operated.advance(stallMs)
      const stalledUntil = operated.time.now
      t.comment(`log of the leader: ${operated.group.leader!.replica.log.last.index}, applied ${operated.group.leader!.replica.commitIndex}, durable ${operated.group.leader!.replica.log.durableIndex}, elections ${operated.group.wonElections.length}`)
      disk.setStalled(false)
      const changePause = operated.longestPauseMs(operated.acknowledged, stalledAt, stalledUntil)
      const readPause = operated.longestPauseMs(operated.reads, stalledAt, stalledUntil)
      t.ok(changePause <= maxPauseMs, `longest time between acknowledgements ${Math.round(changePause)} ms`)
      t.ok(readPause <= maxPauseMs, `longest time without a successful read ${Math.round(readPause)} ms`)
      await operated.advance(5000)
      t.same(operated.group.failures, [], 'no process ends by itself')
    })
  })
}
