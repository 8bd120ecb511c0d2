/** Test content whose byte at each offset is known, so that any part of it can be verified. */

const periodBytes = 251
const blockBytes = periodBytes * 256
const block = Buffer.from(Array.from({ length: blockBytes + periodBytes }, (_value, i) => i % periodBytes))

/** Returns the content from `offset` on, at most one block of it. */
export function contentAt (offset: number, length: number): Buffer {
  const start = offset % periodBytes
  return block.subarray(start, start + Math.min(length, blockBytes))
}

/** Returns true if a chunk received at `offset` holds the expected bytes. */
export function matchesAt (offset: number, chunk: Buffer): boolean {
  for (let checkedBytes = 0; checkedBytes < chunk.length;) {
    const expected = contentAt(offset + checkedBytes, chunk.length - checkedBytes)
    if (!chunk.subarray(checkedBytes, checkedBytes + expected.length).equals(expected)) return false
    checkedBytes += expected.length
  }
  return true
}
