/** What a data folder gives back after restarts, torn writes and damage. */
import * as fs from 'node:fs'
import * as fsPromises from 'node:fs/promises'
import * as path from 'node:path'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as tap from 'tap'
import type * as logEntry from '../common/logEntry.js'
import * as replicaStorage from '../node/replicaStorage.js'

function entries (first: number, count: number, term = 1): readonly logEntry.LogEntry[] {
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

async function indexes (folder: string): Promise<readonly number[]> {
  const storage = open(folder)
  const stored = await storage.load()
  storage.dispose()
  return stored.entries.map(({ index }) => index)
}

tap.t.test('a folder keeps its replica id; an emptied one gets another', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const first = (await open(folder).load()).meta.replicaId
  t.equal((await open(folder).load()).meta.replicaId, first)
  fs.rmSync(folder, { recursive: true })
  t.not((await open(folder).load()).meta.replicaId, first)
})

tap.t.test('a folder of another cluster is refused', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  await open(folder).load()
  t.equal(await faultKind(open(folder, 'other').load()), 'wrong-cluster')
})

tap.t.test('a log without its replica id is refused', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  await open(folder).load()
  fs.rmSync(path.join(folder, 'replica'))
  t.equal(await faultKind(open(folder).load()), 'corrupt-record')
})

tap.t.test('a torn last append is cut off and the log goes on', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  await storage.append(entries(1, 2))
  await storage.append(entries(3, 2))
  storage.dispose()
  const file = path.join(folder, 'log')
  fs.truncateSync(file, fs.statSync(file).size - 1)
  t.same(await indexes(folder), [1, 2])
  const again = open(folder)
  await again.load()
  await again.append(entries(3, 1, 2))
  again.dispose()
  t.same(await indexes(folder), [1, 2, 3])
})

tap.t.test('a damaged record further in refuses to load', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  await storage.append(entries(1, 2))
  await storage.append(entries(3, 2))
  storage.dispose()
  const file = path.join(folder, 'log')
  const data = fs.readFileSync(file)
  data[14]! ^= 1
  fs.writeFileSync(file, data)
  t.equal(await faultKind(open(folder).load()), 'corrupt-record')
})

tap.t.test('a rewritten log replaces the former one', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  await storage.append(entries(1, 5))
  await storage.rewrite(entries(1, 2))
  await storage.append(entries(3, 1, 2))
  storage.dispose()
  t.same(await indexes(folder), [1, 2, 3])
})

type Writer = 'appendFile' | 'writeFile'

/** Makes writes of all files fail for lack of room, each after some bytes, until the result is called. */
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

tap.t.test('a full disk: a write waits for room, and leaves nothing of its earlier tries', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  const changes: boolean[] = []
  storage.onFullChanged((isFull) => changes.push(isFull))
  await storage.load()
  await storage.append(entries(1, 2))
  const makeRoom = await fillDisk(path.join(folder, 'log'), ['appendFile'])
  let written = false
  const append = storage.append(entries(3, 1)).then(() => { written = true })
  while (changes.length === 0) await async.sleep(1)
  t.same([storage.isFull, written], [true, false])
  makeRoom()
  await append
  t.same([storage.isFull, changes], [false, [true, false]])
  storage.dispose()
  t.same(await indexes(folder), [1, 2, 3])
})

tap.t.test('a full disk: a vote waits for room too', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  const { meta } = await storage.load()
  const makeRoom = await fillDisk(path.join(folder, 'log'), ['writeFile'])
  const save = storage.saveMeta({ ...meta, term: 7 })
  while (!storage.isFull) await async.sleep(1)
  makeRoom()
  await save
  storage.dispose()
  const again = open(folder)
  t.equal((await again.load()).meta.term, 7)
  again.dispose()
})

tap.t.test('a full disk: a write that still waits when the process stops fails', async (t) => {
  const folder = path.join(t.testdir({}), 'data')
  const storage = open(folder)
  await storage.load()
  const makeRoom = await fillDisk(path.join(folder, 'log'), ['appendFile'])
  const append = faultKind(storage.append(entries(1, 1)))
  while (!storage.isFull) await async.sleep(1)
  storage.dispose()
  t.equal(await append, 'disk-failure')
  makeRoom()
})
