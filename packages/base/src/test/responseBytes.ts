/** Reads responses from the bytes of a connection, as strictly as callers may. */

const headEnd = Buffer.from('\r\n\r\n')
const lineEnd = Buffer.from('\r\n')

/** A response that looks complete to its caller. */
export interface CompleteRes {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly framing: 'length' | 'chunks' | 'close-delimited'
}

/** A response and where it ends. */
export interface ParsedRes {
  readonly res: CompleteRes
  /** Bytes of the response in the connection. */
  readonly length: number
}

/**
 * Parses the final response; returns undefined while it is incomplete.
 * @param hasEnded true once the connection has ended in order.
 */
export function parseRes (received: Buffer, hasEnded: boolean): ParsedRes | undefined {
  const end = received.indexOf(headEnd)
  if (end < 0) return undefined
  const [statusLine = '', ...lines] = received.toString('latin1', 0, end).split('\r\n')
  const status = Number(statusLine.split(' ')[1])
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  }))
  const start = end + headEnd.length
  if (status < 200) {
    const final = parseRes(received.subarray(start), hasEnded)
    return final === undefined ? undefined : { ...final, length: start + final.length }
  }
  if (headers['transfer-encoding'] !== undefined) {
    const chunks = parseChunks(received, start)
    return chunks === undefined ? undefined : { res: { status, headers, body: chunks.body, framing: 'chunks' }, length: chunks.end }
  }
  if (headers['content-length'] !== undefined) {
    const length = start + Number(headers['content-length'])
    return received.length < length ? undefined : { res: { status, headers, body: received.subarray(start, length), framing: 'length' }, length }
  }
  return hasEnded ? { res: { status, headers, body: received.subarray(start), framing: 'close-delimited' }, length: received.length } : undefined
}

function parseChunks (received: Buffer, start: number): { readonly body: Buffer, readonly end: number } | undefined {
  const chunks: Buffer[] = []
  for (let at = start; ;) {
    const sizeEnd = received.indexOf(lineEnd, at)
    if (sizeEnd < 0) return undefined
    const size = parseInt(received.toString('latin1', at, sizeEnd), 16)
    const dataStart = sizeEnd + lineEnd.length
    at = dataStart + size + lineEnd.length
    if (received.length < at) return undefined
    if (size === 0) return { body: Buffer.concat(chunks), end: at }
    chunks.push(received.subarray(dataStart, dataStart + size))
  }
}
