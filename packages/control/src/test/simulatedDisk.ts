/** A simulated disk that loses data at a power loss: writes that are not synced, and names whose folder is not synced. */
import * as path from 'node:path'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as fileSystem from '../node/fileSystem.js'

/** Share of the power losses at which every write that is not synced is gone. */
const allGoneShare = 0.2
/** Shares of the writes that are torn or missing at the other power losses. */
const tornShare = 0.3
const missingShare = 0.3
/** Share of a write that a full disk still takes. */
const fullDiskShare = 0.5

/** A write, or a change of the length, that is not synced yet. */
type Write =
  | { readonly kind: 'data', readonly offset: number, readonly data: Buffer }
  | { readonly kind: 'length', readonly bytes: number }

/** The content of a file, and what of it is synced. */
class FileContent {
  current: Buffer = Buffer.alloc(0)
  private synced: Buffer = Buffer.alloc(0)
  private unsynced: Write[] = []

  write (write: Write): void {
    this.unsynced.push(write)
    this.current = applyWrite(this.current, write)
  }

  /** Returns a function that marks what is written now as synced. */
  startSync (): () => void {
    const { current } = this
    const writes = new Set(this.unsynced)
    return () => {
      this.synced = current
      this.unsynced = this.unsynced.filter((write) => !writes.has(write))
    }
  }

  /** Keeps, tears or drops each write that is not synced. */
  losePower (random: () => number): void {
    const isAllGone = random() < allGoneShare
    let data = this.synced
    for (const write of isAllGone ? [] : this.unsynced) {
      const fate = random()
      if (fate < missingShare) continue
      data = applyWrite(data, fate < missingShare + tornShare ? tear(write, random()) : write)
    }
    this.current = data
    this.synced = data
    this.unsynced = []
  }
}

/** A change of a folder that is not synced yet. */
type NameChange =
  | { readonly kind: 'created', readonly name: string, readonly content: FileContent }
  | { readonly kind: 'renamed', readonly from: string, readonly to: string, readonly content: FileContent }

/** A file system in memory with one level of folders. It outlives the processes that open it. */
export class SimulatedDisk {
  private files = new Map<string, FileContent>()
  private syncedFiles = new Map<string, FileContent>()
  private nameChanges: NameChange[] = []
  /** Time of a sync. */
  syncMs = 1
  isFull = false
  /** Resolved when the disk no longer stalls; undefined when it doesn't stall. */
  private stall: async.Deferred<void> | undefined

  constructor (private readonly random: () => number) {}

  /** Returns the file system as one process sees it; its calls stay pending and change nothing once the signal aborts. */
  openFor (processEnded: AbortSignal): fileSystem.IFileSystem {
    return {
      mkdir: async () => { await this.access(processEnded) },
      open: async (file, flags) => await this.open(file, flags, processEnded),
      readFile: async (file) => {
        await this.access(processEnded)
        const content = this.files.get(file)
        if (content === undefined) throw errorWithCode('ENOENT')
        return Buffer.from(content.current)
      },
      rename: async (from, to) => {
        await this.access(processEnded)
        const content = this.files.get(from)
        if (content === undefined) throw errorWithCode('ENOENT')
        this.files.delete(from)
        this.files.set(to, content)
        this.nameChanges.push({ kind: 'renamed', from, to, content })
      }
    }
  }

  /** Sets whether syncs stay pending. */
  setStalled (isStalled: boolean): void {
    this.stall?.resolve()
    this.stall = isStalled ? new async.Deferred() : undefined
  }

  /** Keeps what is synced, and any part of the rest. */
  losePower (): void {
    for (const change of this.nameChanges) {
      if (this.random() < 0.5) continue
      if (change.kind === 'renamed') this.syncedFiles.delete(change.from)
      this.syncedFiles.set(change.kind === 'renamed' ? change.to : change.name, change.content)
    }
    this.nameChanges = []
    this.files = new Map(this.syncedFiles)
    for (const content of new Set(this.files.values())) content.losePower(this.random)
  }

  /** Removes everything. */
  wipe (): void {
    this.files.clear()
    this.syncedFiles.clear()
    this.nameChanges = []
  }

  private async open (file: string, flags: string, processEnded: AbortSignal): Promise<fileSystem.IFileHandle> {
    await this.access(processEnded)
    const content = this.files.get(file) ?? new FileContent()
    const isFolder = flags === 'r'
    if (!isFolder && !this.files.has(file)) {
      this.files.set(file, content)
      this.nameChanges.push({ kind: 'created', name: file, content })
    }
    if (flags === 'w') content.write({ kind: 'length', bytes: 0 })
    const sync = isFolder ? async () => await this.syncFolder(processEnded) : async () => await this.syncFile(content, processEnded)
    return {
      appendFile: async (data) => await this.write(content, data, processEnded),
      writeFile: async (data) => await this.write(content, data, processEnded),
      truncate: async (bytes) => {
        await this.access(processEnded)
        content.write({ kind: 'length', bytes })
      },
      stat: async () => {
        await this.access(processEnded)
        return { size: content.current.length }
      },
      sync,
      datasync: sync,
      close: async () => { await this.access(processEnded) }
    }
  }

  private async write (content: FileContent, data: Uint8Array, processEnded: AbortSignal): Promise<void> {
    await this.access(processEnded)
    const written = this.isFull ? data.subarray(0, Math.floor(data.length * fullDiskShare)) : data
    content.write({ kind: 'data', offset: content.current.length, data: Buffer.from(written) })
    if (this.isFull) throw errorWithCode('ENOSPC')
  }

  private async syncFile (content: FileContent, processEnded: AbortSignal): Promise<void> {
    const finish = content.startSync()
    await this.waitForSync(processEnded)
    finish()
  }

  private async syncFolder (processEnded: AbortSignal): Promise<void> {
    const files = new Map(this.files)
    const changes = new Set(this.nameChanges)
    await this.waitForSync(processEnded)
    this.syncedFiles = files
    this.nameChanges = this.nameChanges.filter((change) => !changes.has(change))
  }

  private async waitForSync (processEnded: AbortSignal): Promise<void> {
    await async.sleep(this.syncMs * (0.5 + this.random()))
    await this.stall?.promise
    await this.access(processEnded)
  }

  /** Stays pending if the process has ended. */
  private async access (processEnded: AbortSignal): Promise<void> {
    if (processEnded.aborted) await new Promise(() => {})
  }
}

/** Folder in which each replica stores its files. */
export const dataFolder = path.resolve('/data')

function applyWrite (data: Buffer, write: Write): Buffer {
  const end = write.kind === 'data' ? Math.max(data.length, write.offset + write.data.length) : write.bytes
  const next = Buffer.alloc(end)
  data.copy(next, 0, 0, Math.min(data.length, end))
  if (write.kind === 'data') write.data.copy(next, write.offset)
  return next
}

/** Returns the part of a write that reached the disk. */
function tear (write: Write, share: number): Write {
  return write.kind === 'length' ? write : { ...write, data: write.data.subarray(0, Math.floor(write.data.length * share)) }
}

function errorWithCode (code: string): Error {
  return Object.assign(new Error(code), { code })
}
