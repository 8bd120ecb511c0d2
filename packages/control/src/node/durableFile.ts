/** Reads and writes files that are synced to disk before a call resolves. */
import * as path from 'node:path'
import * as fileSystem from './fileSystem.js'

const notFoundCode = 'ENOENT'
const temporarySuffix = '.tmp'

/** Replaces a file atomically: after a crash it has either the old or the new content. */
export async function replaceFile (file: string, data: Uint8Array, fs = fileSystem.machineFileSystem): Promise<void> {
  const temporary = file + temporarySuffix
  const handle = await fs.open(temporary, 'w')
  try {
    await handle.writeFile(data)
    await handle.sync()
  } finally {
    await handle.close()
  }
  await fs.rename(temporary, file)
  await syncFolder(path.dirname(file), fs)
}

/** Syncs a folder, so that created and renamed files in it survive a crash. */
export async function syncFolder (folder: string, fs = fileSystem.machineFileSystem): Promise<void> {
  const handle = await fs.open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

/** Returns the content of a file, or undefined when it doesn't exist. */
export async function readIfExists (file: string, fs = fileSystem.machineFileSystem): Promise<Buffer | undefined> {
  try {
    return await fs.readFile(file)
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === notFoundCode) return undefined
    throw err
  }
}
