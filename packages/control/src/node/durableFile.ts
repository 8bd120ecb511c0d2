/** Files that stand on disk before a call returns. */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'

const missingCode = 'ENOENT'
const temporarySuffix = '.tmp'

/** Replaces a file whole: after a crash either the old or the new content stands. */
export async function replaceFile (file: string, data: Uint8Array): Promise<void> {
  const temporary = file + temporarySuffix
  const handle = await fs.open(temporary, 'w')
  try {
    await handle.writeFile(data)
    await handle.sync()
  } finally {
    await handle.close()
  }
  await fs.rename(temporary, file)
  await syncFolder(path.dirname(file))
}

/** Makes the names in a folder durable. */
export async function syncFolder (folder: string): Promise<void> {
  const handle = await fs.open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

/** Content of a file, or undefined when there is none. */
export async function readIfExists (file: string): Promise<Buffer | undefined> {
  try {
    return await fs.readFile(file)
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === missingCode) return undefined
    throw err
  }
}
