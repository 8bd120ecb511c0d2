/** Content whose byte at each offset is known, so that any part of it can be checked. */

const periodBytes = 251
const blockBytes = periodBytes * 256
const block = Buffer.from(Array.from({ length: blockBytes + periodBytes }, (_value, i) => i % periodBytes))

/** Bytes from `offset` on, at most one block of them. */
export function contentAt (offset: number, length: number): Buffer {
  const start = offset % periodBytes
  return block.subarray(start, start + Math.min(length, blockBytes))
}

/** True when a chunk received at `offset` holds the expected bytes. */
export function matchesAt (offset: number, chunk: Buffer): boolean {
  for (let done = 0; done < chunk.length;) {
    const expected = contentAt(offset + done, chunk.length - done)
    if (!chunk.subarray(done, done + expected.length).equals(expected)) return false
    done += expected.length
  }
  return true
}
