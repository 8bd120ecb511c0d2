/** Tests what the storage keeps when processes are killed and machines lose power. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as tap from 'tap'
import type * as logEntry from '../common/logEntry.js'
import * as replicaStorage from '../node/replicaStorage.js'
import * as seededRandom from './seededRandom.js'
import * as simulatedDisk from './simulatedDisk.js'

/** Enough power losses that each of the ways to lose a write occurs. */
const powerLossCount = 20

function noopEntries (first: number, count: number): readonly logEntry.LogEntry[] {
  return Array.from({ length: count }, (_value, i) => ({ index: first + i, term: 1, command: { case: 'noop', value: true } as const }))
}

/** Opens the storage of one process, which ends when the signal aborts. */
async function load (disk: simulatedDisk.SimulatedDisk, processEnded = new AbortController().signal): Promise<{ readonly storage: replicaStorage.ReplicaStorage, readonly indexes: readonly number[] }> {
  const storage = new replicaStorage.ReplicaStorage(simulatedDisk.dataFolder, 'c', (err) => { throw err }, disk.openFor(processEnded))
  const { entries } = await storage.load()
  return { storage, indexes: entries.map(({ index }) => index) }
}

/** Kills a process between the write of entry 2 and its sync; entry 1 is synced. */
async function killBeforeSync (disk: simulatedDisk.SimulatedDisk): Promise<void> {
  const processEnded = new AbortController()
  const { storage } = await load(disk, processEnded.signal)
  await storage.append(noopEntries(1, 1))
  disk.setStalled(true)
  storage.append(noopEntries(2, 1))
  await async.nextTurn()
  processEnded.abort()
  disk.setStalled(false)
}

tap.t.test('an entry that was written but not synced before a kill is on the disk once the next process has loaded it', async (t) => {
  for (let seed = 1; seed <= powerLossCount; seed++) {
    const disk = new simulatedDisk.SimulatedDisk(seededRandom.create(seed))
    disk.syncMs = 0
    await killBeforeSync(disk)
    const loaded = (await load(disk)).indexes
    disk.losePower()
    t.same((await load(disk)).indexes, loaded, `seed ${seed}`)
  }
})

tap.t.test('a kill before a sync and a power loss before the next one leave a log that can be loaded', async (t) => {
  for (let seed = 1; seed <= powerLossCount; seed++) {
    const disk = new simulatedDisk.SimulatedDisk(seededRandom.create(seed))
    disk.syncMs = 0
    await killBeforeSync(disk)
    const processEnded = new AbortController()
    const { storage } = await load(disk, processEnded.signal)
    disk.setStalled(true)
    storage.append(noopEntries(3, 1))
    await async.nextTurn()
    processEnded.abort()
    disk.setStalled(false)
    disk.losePower()
    t.same((await load(disk)).indexes.slice(0, 2), [1, 2], `seed ${seed}`)
  }
})
