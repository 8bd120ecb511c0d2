/** Tests that a replica which lags far behind receives the log while it grows, so that two other disks can be lost. */
import * as tap from 'tap'
import * as operatedGroup from './operatedGroup.js'
import type * as simulatedGroup from './simulatedGroup.js'

const seed = 1
const maxMessageBytes = 4 * 1024 * 1024
/** A configuration, and how many of them exceed a message together. */
const sourceKiB = 200
const missedChanges = 30
/** A configuration that exceeds a message by itself. */
const largeSourceKiB = 6 * 1024
/** Rate at which the missed changes together take longer than an election timeout, but a part of 1 MiB does not. */
const slowBytesPerMs = 10_000
const changePauseMs = 200
const changesLimitMs = 60_000
const catchUpLimitMs = 20_000
const readBackLimitMs = 10_000
const compactedLog = 5

interface Case {
  readonly name: string
  readonly options: Omit<operatedGroup.OperatedGroupOptions, 'seed'>
  readonly isDiskLost: boolean
  readonly sourceKiB: number
  readonly missedChanges: number
}

const missed = { isDiskLost: false, sourceKiB, missedChanges }
const cases: readonly Case[] = [
  { name: 'a killed replica that missed more changes than fit into one message', options: { maxMessageBytes }, ...missed },
  { name: 'a killed replica that cannot receive the changes it missed within one election timeout', options: { bytesPerMs: slowBytesPerMs }, ...missed },
  { name: 'a replica with an empty disk and a log that does not fit into one message', options: { maxMessageBytes }, ...missed, isDiskLost: true },
  { name: 'a replica with an empty disk that cannot receive the log within one election timeout', options: { bytesPerMs: slowBytesPerMs }, ...missed, isDiskLost: true },
  { name: 'a replica with an empty disk and a snapshot that does not fit into one message', options: { maxMessageBytes, snapshotEvery: compactedLog }, isDiskLost: true, sourceKiB: largeSourceKiB, missedChanges: 2 * compactedLog }
]

/** Starts a replica that lags and waits until it has what was acknowledged before its start, while changes go on. */
async function catchUp (operated: operatedGroup.OperatedGroup, lagging: simulatedGroup.Machine, changedKiB: number): Promise<boolean> {
  const { acknowledgedVersion } = operated
  operated.group.start(lagging)
  operated.keepChanging(changedKiB, changePauseMs)
  return await operated.advance(catchUpLimitMs, () => operated.group.processes.some(({ machine, replica }) =>
    machine === lagging && replica.isVoter && replica.state.config.version >= acknowledgedVersion))
}

for (const { name, options, isDiskLost, sourceKiB, missedChanges } of cases) {
  // Guards against an acknowledged configuration that can't be read any more after lost disks, because a replica never catches up.
  tap.t.test(`${name} catches up while changes go on, and two other disks can be lost`, async (t) => {
    await operatedGroup.run({ seed, ...options }, async (operated) => {
      const [lagging, ...others] = operated.followerMachines
      operated.group.kill(lagging!)
      await operated.change(missedChanges, sourceKiB, changesLimitMs, operated.leaderMachine)
      if (isDiskLost) lagging!.disk.wipe()
      t.ok(await catchUp(operated, lagging!, 1), 'it has caught up')
      const { acknowledgedVersion } = operated
      t.ok(await operated.advance(catchUpLimitMs, () => operated.acknowledgedVersion > acknowledgedVersion), 'a further change is acknowledged')
      operated.stopChanging()
      const newestVersion = operated.acknowledgedVersion
      await operated.restartAll(others.slice(0, 2))
      operated.keepReading()
      t.ok(await operated.advance(readBackLimitMs, () => operated.reads.some(({ version }) => version >= newestVersion)), 'the newest acknowledged version is read back')
      t.same(operated.staleReads, [], 'no stale reads')
      t.same(operated.group.failures, [], 'no process ends by itself')
    })
  })
}
