/** Fixture: bodies around the size from which a body is streamed, and far beyond it. */
import type * as http from 'node:http'

/** Sizes in bytes. */
export const sizes: readonly number[] = [300, 65_535, 65_536, 65_537, 400_000]

/** Headers of a body by the framing. */
export const framings: ReadonlyArray<readonly [framing: 'length' | 'chunks', createHeaders: (size: number) => http.OutgoingHttpHeaders]> = [
  ['length', (size) => ({ 'content-length': size })],
  ['chunks', () => ({ 'transfer-encoding': 'chunked' })]
]

/** Returns text in which no two parts are equal, nor equal to parts of a text with another name. */
export function createText (bytes: number, name = ''): string {
  const part = (i: number): string => `${name}${i}`.padStart(8 + name.length, '.')
  return Array.from({ length: Math.ceil(bytes / part(0).length) }, (_value, i) => part(i)).join('').slice(0, bytes)
}
