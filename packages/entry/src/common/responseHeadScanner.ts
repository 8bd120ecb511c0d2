/** Finds the head of another response in the body of a response whose end is marked only by the end of the connection. */

const versionPrefix = Buffer.from('HTTP/1.')
const statusLinePattern = /^HTTP\/1\.\d \d{3}(?: |\r?\n)/
/** Matches the pattern; completes the beginning of a status line that has only arrived in part. */
const statusLineSample = 'HTTP/1.1 200\r\n'
/** Limit on the bytes of a head, up to and including the line of its request id. */
export const maxHeadBytes = 16 * 1024
const lineFeed = 0x0a
const space = 0x20
const noBytes = Buffer.alloc(0)

/**
 * Scans a body for a status line that is followed, before a blank line, by a request id that was sent on the connection.
 * The other lines of a head are not validated. Heads without such an id are part of the body.
 */
export class ResponseHeadScanner {
  private keptBytes: Buffer = noBytes
  /** True if the kept bytes begin with a status line, false if they are at most the beginning of one. */
  private isInHead = false
  /** Offset of the first incomplete line in the kept bytes. */
  private lineStart = 0
  private hasFoundHead = false

  /**
   * @param idHeader lower-case name of the request id header.
   * @param ids request ids that were sent on the connection.
   */
  constructor (private readonly idHeader: string, private readonly ids: ReadonlySet<string>) {}

  /**
   * Takes the next bytes of the body. Returns those that certainly belong to it, without bytes that can be the beginning of a
   * head, or undefined once a head was found.
   */
  scan (chunk: Buffer): readonly Buffer[] | undefined {
    const body: Buffer[] = []
    let rest = chunk
    while (rest.length > 0 && !this.hasFoundHead) {
      const kept = this.keptBytes
      // Joins the kept bytes with no more than is needed to decide on them, since a chunk can be large.
      const takenLength = kept.length === 0 ? rest.length : this.isInHead ? maxHeadBytes : statusLineSample.length
      const data = kept.length === 0 ? rest : Buffer.concat([kept, rest.subarray(0, takenLength)])
      const bodyLength = this.readLines(data)
      if (bodyLength > 0) body.push(data.subarray(0, bodyLength))
      const isDecided = kept.length > 0 && bodyLength >= kept.length
      this.keptBytes = isDecided ? noBytes : data.subarray(bodyLength)
      rest = rest.subarray(isDecided ? bodyLength - kept.length : takenLength)
    }
    return this.hasFoundHead ? undefined : body
  }

  /** Returns the bytes that were kept back, at the end of the body; none if a head was found. */
  flush (): readonly Buffer[] {
    const kept = this.keptBytes
    this.keptBytes = noBytes
    this.isInHead = false
    this.lineStart = 0
    return kept.length === 0 || this.hasFoundHead ? [] : [kept]
  }

  /** Reads the complete lines of possible heads. Returns how many of the bytes certainly belong to the body. */
  private readLines (data: Buffer): number {
    let headStart = 0
    let lineEnd = -1
    while (true) {
      if (!this.isInHead) {
        headStart = findStatusLine(data, headStart)
        this.isInHead = data.length - headStart >= statusLineSample.length
        this.lineStart = this.isInHead ? Math.max(this.lineStart, headStart) : 0
        if (!this.isInHead) return headStart
      }
      if (lineEnd < this.lineStart) lineEnd = findLineEnd(data, this.lineStart)
      if (Math.min(lineEnd + 1, data.length) - headStart > maxHeadBytes) {
        // A later status line among the lines that were read begins a head too; its lines need not be read again.
        this.isInHead = false
        headStart++
      } else if (lineEnd === data.length) {
        this.lineStart -= headStart
        return headStart
      } else {
        const line = data.toString('latin1', this.lineStart, lineEnd)
        this.lineStart = lineEnd + 1
        if (line === '' || line === '\r') {
          this.isInHead = false
          headStart = this.lineStart
        } else if (this.hasKnownId(line)) {
          this.hasFoundHead = true
          return headStart
        }
      }
    }
  }

  private hasKnownId (line: string): boolean {
    const nameLength = this.idHeader.length
    return line[nameLength] === ':' && line.slice(0, nameLength).toLowerCase() === this.idHeader && this.ids.has(line.slice(nameLength + 1).trim())
  }
}

/** Returns the offset of the first status line, or of the beginning of one at the end of the data; without either, the length of the data. */
function findStatusLine (data: Buffer, from: number): number {
  for (let at = data.indexOf(versionPrefix, from); at >= 0; at = data.indexOf(versionPrefix, at + 1)) {
    if (canBeStatusLine(data, at)) return at
  }
  for (let at = Math.max(from, data.length - versionPrefix.length + 1); at < data.length; at++) {
    if (canBeStatusLine(data, at)) return at
  }
  return data.length
}

function canBeStatusLine (data: Buffer, at: number): boolean {
  // Rejects most text that only names a version, such as a request line, without decoding it.
  const separatorAt = at + versionPrefix.length + 1
  if (separatorAt < data.length && data[separatorAt] !== space) return false
  const text = data.toString('latin1', at, Math.min(at + statusLineSample.length, data.length))
  return statusLinePattern.test(text + statusLineSample.slice(text.length))
}

function findLineEnd (data: Buffer, from: number): number {
  const at = data.indexOf(lineFeed, from)
  return at < 0 ? data.length : at
}
