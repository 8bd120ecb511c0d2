/** Tests what the storage loads from a data folder after restarts, torn writes, damage and full disks. */
import * as fs from 'node:fs'
import * as fsPromises from 'node:fs/promises'
import * as path from 'node:path'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as tap from 'tap'
import type * as logEntry from '../common/logEntry.js'
import * as replicaStorage from '../node/replicaStorage.js'

function noopEntries (first: number, count: number, term = 1): readonly logEntry.LogEntry[] {
  return Array.from({ length: count }, (_value, i) => ({ index: first + i, term, command: { case: 'noop', value: true } as const }))
}

function open (folder: string, cluster = 'c'): replicaStorage.ReplicaStorage {
  return new replicaStorage.ReplicaStorage(folder, cluster, (err) => { throw err })
}

async function faultKind (promise: Promise<unknown>): Promise<string> {
  try {
    await promise
    return 'none'
  } catch (err) {
    return errors.faultOf(err).kind
  }
}

async function loadIndexes (folder: string): Promise<readonly number[]> {
  const storage = open(folder)
  const stored = await storage.load()
  storage.dispose()
  return stored.entries.map(({ index }) => index)
}

tap.t.test('a folder keeps its replica id; a recreated folder gets a new one', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const first = (await open(folder).load()).meta.replicaId
  t.equal((await open(folder).load()).meta.replicaId, first)
  fs.rmSync(folder, { recursive: true })
  t.not((await open(folder).load()).meta.replicaId, first)
})

tap.t.test('refuses a folder of another cluster', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  await open(folder).load()
  t.equal(await faultKind(open(folder, 'other').load()), 'wrong-cluster')
})

tap.t.test('refuses a log without a replica id', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  await open(folder).load()
  fs.rmSync(path.join(folder, 'replica'))
  t.equal(await faultKind(open(folder).load()), 'corrupt-record')
})

tap.t.test('cuts off a torn last append and appends after it', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  await storage.append(noopEntries(1, 2))
  await storage.append(noopEntries(3, 2))
  storage.dispose()
  const file = path.join(folder, 'log')
  fs.truncateSync(file, fs.statSync(file).size - 1)
  t.same(await loadIndexes(folder), [1, 2])
  const again = open(folder)
  await again.load()
  await again.append(noopEntries(3, 1, 2))
  again.dispose()
  t.same(await loadIndexes(folder), [1, 2, 3])
})

tap.t.test('refuses to load a log with a damaged record before the last one', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  await storage.append(noopEntries(1, 2))
  await storage.append(noopEntries(3, 2))
  storage.dispose()
  const file = path.join(folder, 'log')
  const data = fs.readFileSync(file)
  data[14]! ^= 1
  fs.writeFileSync(file, data)
  t.equal(await faultKind(open(folder).load()), 'corrupt-record')
})

tap.t.test('a rewritten log replaces the previous one', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  await storage.append(noopEntries(1, 5))
  await storage.rewrite(noopEntries(1, 2))
  await storage.append(noopEntries(3, 1, 2))
  storage.dispose()
  t.same(await loadIndexes(folder), [1, 2, 3])
})

type Writer = 'appendFile' | 'writeFile'

/**
 * Makes the given write methods of all file handles fail with ENOSPC after a few bytes; returns a function that restores the
 * methods. `anyFile` is opened only to get the prototype of file handles.
 */
async function fillDisk (anyFile: string, writers: readonly Writer[]): Promise<() => void> {
  const handle = await fsPromises.open(anyFile, 'a')
  const prototype = Object.getPrototypeOf(handle) as fsPromises.FileHandle
  await handle.close()
  const originals = writers.map((name) => [name, prototype[name]] as const)
  for (const name of writers) {
    prototype[name] = async function (this: fsPromises.FileHandle, data: unknown) {
      await this.write((data as Buffer).subarray(0, 5))
      throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' })
    } as fsPromises.FileHandle[Writer]
  }
  return () => { for (const [name, original] of originals) prototype[name] = original }
}

tap.t.test('on a full disk a write waits for space and leaves no partial data behind', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  const changes: boolean[] = []
  storage.onDiskFullChanged((isFull) => changes.push(isFull))
  await storage.load()
  await storage.append(noopEntries(1, 2))
  const freeDisk = await fillDisk(path.join(folder, 'log'), ['appendFile'])
  let written = false
  const append = storage.append(noopEntries(3, 1)).then(() => { written = true })
  while (changes.length === 0) await async.sleep(1)
  t.same([storage.isDiskFull, written], [true, false])
  freeDisk()
  await append
  t.same([storage.isDiskFull, changes], [false, [true, false]])
  storage.dispose()
  t.same(await loadIndexes(folder), [1, 2, 3])
})

tap.t.test('a vote that is saved while a log entry waits for disk space does not end the full state', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  const changes: boolean[] = []
  storage.onDiskFullChanged((isFull) => changes.push(isFull))
  const { meta } = await storage.load()
  const freeDisk = await fillDisk(path.join(folder, 'log'), ['appendFile'])
  const append = storage.append(noopEntries(1, 1))
  while (changes.length === 0) await async.sleep(1)
  freeDisk()
  // The entry is written only at its next attempt.
  await storage.saveMeta(meta)
  t.same([storage.isDiskFull, changes], [true, [true]])
  await append
  t.same([storage.isDiskFull, changes], [false, [true, false]])
  storage.dispose()
})

tap.t.test('on a full disk saving a vote waits for space', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  const { meta } = await storage.load()
  const freeDisk = await fillDisk(path.join(folder, 'log'), ['writeFile'])
  const save = storage.saveMeta({ ...meta, term: 7 })
  while (!storage.isDiskFull) await async.sleep(1)
  freeDisk()
  await save
  storage.dispose()
  const again = open(folder)
  t.equal((await again.load()).meta.term, 7)
  again.dispose()
})

tap.t.test('on a full disk a write fails if the process stops before there is space', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  const freeDisk = await fillDisk(path.join(folder, 'log'), ['appendFile'])
  const append = faultKind(storage.append(noopEntries(1, 1)))
  while (!storage.isDiskFull) await async.sleep(1)
  storage.dispose()
  t.equal(await append, 'disk-failure')
  freeDisk()
})
