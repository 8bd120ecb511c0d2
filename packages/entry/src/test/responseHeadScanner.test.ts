/** Finding the head of another response in a body without a length, however the bytes are split over reads. */
import * as fc from 'fast-check'
import * as tap from 'tap'
import * as responseHeadScanner from '../common/responseHeadScanner.js'

const seed = 20261205
const runCount = 2000
const idHeader = 'x-id'
const ownId = 'req-7'
const otherId = 'req-71'
const ids: ReadonlySet<string> = new Set(['req-6', ownId])
const { maxHeadBytes } = responseHeadScanner
/** One byte less than is needed to recognize every status line: version, status, and a space or line end. */
const maxStatusLineStartBytes = 13
const chunkBytes = 64 * 1024

interface Scan {
  readonly isFound: boolean
  readonly body: string
  /** Most bytes that were kept back between two reads. */
  readonly maxKeptBytes: number
}

function scanAll (chunks: readonly Buffer[]): Scan {
  const scanner = new responseHeadScanner.ResponseHeadScanner(idHeader, ids)
  const returned: Buffer[] = []
  let keptBytes = 0
  let maxKeptBytes = 0
  for (const chunk of chunks) {
    const parts = scanner.scan(chunk)
    if (parts === undefined) return { isFound: true, body: toText(returned), maxKeptBytes }
    returned.push(...parts)
    keptBytes += chunk.length - sumLengths(parts)
    maxKeptBytes = Math.max(maxKeptBytes, keptBytes)
  }
  return { isFound: false, body: toText([...returned, ...scanner.flush()]), maxKeptBytes }
}

function toText (parts: readonly Buffer[]): string {
  return Buffer.concat(parts).toString('latin1')
}

function sumLengths (parts: readonly Buffer[]): number {
  return parts.reduce((sum, part) => sum + part.length, 0)
}

/** Splits text at the offsets, given in any order. */
function splitAt (text: string, offsets: readonly number[]): readonly Buffer[] {
  const bounds = [0, ...[...offsets].sort((a, b) => a - b), text.length]
  return bounds.slice(1).map((end, i) => Buffer.from(text.slice(bounds[i], end), 'latin1'))
}

/** Returns the text in one read, in two that are split at each byte, and byte by byte. */
function listSplits (text: string): ReadonlyArray<readonly Buffer[]> {
  const offsets = Array.from({ length: text.length }, (_value, i) => i)
  return [splitAt(text, []), ...offsets.map((offset) => splitAt(text, [offset])), splitAt(text, offsets)]
}

function checkFound (t: tap.Test, body: string, head: string): void {
  for (const chunks of listSplits(body + head)) {
    const scan = scanAll(chunks)
    if (scan.isFound && body.startsWith(scan.body)) continue
    t.fail(`not found, or part of the head was returned as body: ${JSON.stringify(chunks.map(String))}`)
    return
  }
  t.pass(JSON.stringify(body + head))
}

function checkBody (t: tap.Test, body: string): void {
  for (const chunks of listSplits(body)) {
    const scan = scanAll(chunks)
    if (!scan.isFound && scan.body === body) continue
    t.fail(`not returned as it is: ${JSON.stringify(chunks.map(String))}`)
    return
  }
  t.pass(JSON.stringify(body))
}

/** Heads of other responses, each up to the end of the line with the id. */
const heads: Readonly<Record<string, string>> = {
  'a success': `HTTP/1.1 200 OK\r\nx-id: ${ownId}\r\n`,
  'a response to an earlier request': 'HTTP/1.1 200 OK\r\nx-id: req-6\r\n',
  'HTTP/1.0': `HTTP/1.0 200 OK\r\nx-id: ${ownId}\r\n`,
  'a failure with further headers': `HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\nretry-after: 1\r\nx-id: ${ownId}\r\n`,
  'no reason': `HTTP/1.1 404\r\nx-id: ${ownId}\r\n`,
  'an empty reason': `HTTP/1.1 404 \r\nx-id: ${ownId}\r\n`,
  'bare line feeds': `HTTP/1.1 200 OK\nserver: a\nx-id: ${ownId}\n`,
  'bare line feeds and no reason': `HTTP/1.1 200\nx-id: ${ownId}\n`,
  'a name in capitals': `HTTP/1.1 200 OK\r\nX-ID: ${ownId}\r\n`,
  'no white space before the id': `HTTP/1.1 200 OK\r\nX-Id:${ownId}\r\n`,
  'white space around the id': `HTTP/1.1 200 OK\r\nX-Id: \t ${ownId} \t\r\n`,
  'an unknown id before the known one': `HTTP/1.1 200 OK\r\nx-id: ${otherId}\r\nx-id: ${ownId}\r\n`,
  'a status line in a header value': `HTTP/1.1 200 OK\r\nx-upstream: HTTP/1.1 200 OK\r\nx-id: ${ownId}\r\n`
}

/** Ends of bodies that can be taken for the beginning of a head, or hide one. */
const bodyEnds: Readonly<Record<string, string>> = {
  'no bytes': '',
  'text without a line break': 'last byte',
  'the beginning of a version': 'a HTTP/1',
  'the beginning of a status line': 'a HTTP/1.1 20',
  'a version twice': 'HTTP/1.1 HTTP/1.',
  'a carriage return': 'a\r',
  'a status line without its line end': 'HTTP/1.1 200 O',
  'a head with an incomplete header': 'HTTP/1.1 200 OK\r\nserver: a',
  'a head with an incomplete id': 'HTTP/1.1 200 OK\r\nx-id: re',
  'a head of an unknown request': `HTTP/1.1 200 OK\r\nx-id: ${otherId}\r\n\r\n`,
  'a head of an unknown request without its blank line': `HTTP/1.1 200 OK\r\nx-id: ${otherId}\r\n`,
  'two heads without an id': 'HTTP/1.1 200 OK\r\nserver: a\r\n\r\nHTTP/1.1 404 Not Found\n\n'
}

for (const [name, head] of Object.entries(heads)) {
  tap.t.test(`another response is not passed on as part of a body: ${name}`, async (t) => {
    checkFound(t, 'body of the first response', head)
  })
}

for (const [name, bodyEnd] of Object.entries(bodyEnds)) {
  tap.t.test(`another response is not missed behind a body that ends in ${name}`, async (t) => {
    for (const head of Object.values(heads)) checkFound(t, bodyEnd, head)
  })
}

/** Bodies without the head of another response. */
const bodies: Readonly<Record<string, string>> = {
  ...bodyEnds,
  'a head with an id that continues a known one': `HTTP/1.1 200 OK\r\nx-id: ${otherId}\r\n\r\n`,
  'a head with a known id in another header': `HTTP/1.1 200 OK\r\ny-x-id: ${ownId}\r\nx-id2: ${ownId}\r\n\r\n`,
  'a head with a known id after its blank line': `HTTP/1.1 200 OK\r\n\r\nx-id: ${ownId}\r\n`,
  'a known id without a status line': `x-id: ${ownId}\r\n`,
  'a known id before a status line': `x-id: ${ownId}\r\nHTTP/1.1 200 OK\r\nserver: a\r\n\r\n`,
  'a known id between two heads': `HTTP/1.1 200 OK\r\n\r\nx-id: ${ownId}\r\nHTTP/1.1 200 OK\r\n\r\n`,
  'a request with a known id': `GET / HTTP/1.1\r\nx-id: ${ownId}\r\n\r\n`,
  'invalid status lines': ['HTTP/2 200 OK', 'HTTP/1.x 200 OK', 'HTTP/1.1 20 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1  200 OK', 'HTTP/1.1 200\rOK', 'http/1.1 200 OK'].map((line) => `${line}\r\nx-id: ${ownId}\r\n`).join(''),
  'a head with a known id whose line is incomplete': `HTTP/1.1 200 OK\r\nx-id: ${ownId}\r`
}

for (const [name, body] of Object.entries(bodies)) {
  tap.t.test(`a body is not cut or changed that holds ${name}`, async (t) => {
    checkBody(t, body)
  })
}

tap.t.test('a head is found before the rest of it has arrived', async (t) => {
  const scanner = new responseHeadScanner.ResponseHeadScanner(idHeader, ids)
  t.same(scanner.scan(Buffer.from(`bodyHTTP/1.1 200 OK\r\nx-id: ${ownId}\r`)), [Buffer.from('body')])
  t.equal(scanner.scan(Buffer.from('\n')), undefined)
})

tap.t.test('bytes of the other response are not returned after its head was found', async (t) => {
  const scanner = new responseHeadScanner.ResponseHeadScanner(idHeader, ids)
  t.equal(scanner.scan(Buffer.from(`HTTP/1.1 200 OK\r\nx-id: ${ownId}\r\n\r\n`)), undefined)
  t.equal(scanner.scan(Buffer.from('body of the other response')), undefined)
  t.same(scanner.flush(), [])
})

/** Returns a head of the given length that ends with the line of the id. */
function headOf (bytes: number): string {
  const idLine = `\r\nx-id: ${ownId}\r\n`
  const start = 'HTTP/1.1 200 OK\r\nx-pad: '
  return start + 'p'.repeat(bytes - start.length - idLine.length) + idLine
}

tap.t.test('a head that has its id within the limit is found, and a longer one is body, however it arrives', async (t) => {
  const halfway = maxHeadBytes / 2
  for (const offsets of [[], [halfway], [1], [maxHeadBytes - 1, maxHeadBytes], Array.from({ length: maxHeadBytes }, (_value, i) => i + 1)]) {
    const found = scanAll(splitAt('body' + headOf(maxHeadBytes), offsets))
    t.equal(found.isFound && 'body'.startsWith(found.body) && found.maxKeptBytes <= maxHeadBytes, true)
    const longer = 'body' + headOf(maxHeadBytes + 1)
    const scan = scanAll(splitAt(longer, offsets))
    t.equal(!scan.isFound && scan.body === longer && scan.maxKeptBytes <= maxHeadBytes, true)
  }
})

tap.t.test('a head is not missed behind one that exceeds the limit', async (t) => {
  const filler = 'HTTP/1.1 200 OK\r\nx-pad: ' + 'p'.repeat(maxHeadBytes)
  for (const separator of ['', '\r\n', '\r\n\r\n']) {
    const body = filler + separator
    const text = body + headOf(100)
    for (const offsets of [[], [body.length], [body.length + 5], [10, body.length - 5], [body.length + 50]]) {
      const scan = scanAll(splitAt(text, offsets))
      t.equal(scan.isFound && body.startsWith(scan.body) && scan.maxKeptBytes <= maxHeadBytes, true, JSON.stringify([separator, offsets]))
    }
  }
})

tap.t.test('a chunk without a head is not copied', async (t) => {
  const scanner = new responseHeadScanner.ResponseHeadScanner(idHeader, ids)
  const [first, second] = ['a', 'b'].map((letter) => Buffer.alloc(chunkBytes, letter))
  t.equal(scanner.scan(first!)?.[0]?.buffer, first!.buffer)
  t.same(scanner.scan(Buffer.from('HTTP/1.1 20')), [])
  const parts = scanner.scan(second!)!
  t.equal(parts.at(-1)!.buffer, second!.buffer, 'nor one behind the beginning of a status line')
  t.equal(sumLengths(parts), 'HTTP/1.1 20'.length + chunkBytes)
})

tap.t.test('a body of many versions or status lines is not returned in small pieces', async (t) => {
  for (const text of ['HTTP/1.', 'HTTP/1.1 200 ', 'HTTP/1.1 200 OK\r\n', 'HTTP/1.1 200 OK\r\n\r\n']) {
    const scanner = new responseHeadScanner.ResponseHeadScanner(idHeader, ids)
    const chunk = Buffer.alloc(chunkBytes, text)
    const partCounts = Array.from({ length: 4 }, () => scanner.scan(chunk)!.length)
    t.ok(Math.max(...partCounts) <= 2, JSON.stringify([text, partCounts]))
  }
})

/** Text that is made of the parts of heads, so that candidates are frequent; never with a known id. */
const pieces = fc.constantFrom('HTTP/1.', 'HTTP/1.1 200 OK', 'HTTP/1.1 404', 'HTTP/1.0 500 ', 'H', '\r\n', '\r', '\n', '\r\n\r\n', 'x-id: ', `x-id: ${otherId}\r\n`, 'server: a\r\n', ' ', '2', 'text', '\xff\x00')
const bodyArbitrary = fc.array(fc.oneof(pieces, fc.string({ unit: 'binary-ascii' })), { maxLength: 30 }).map((parts) => parts.join(''))
const offsetsArbitrary = fc.array(fc.nat(), { maxLength: 40 })
const headerArbitrary = fc.constantFrom('server: a', `x-id: ${otherId}`, 'x-upstream: HTTP/1.1 200 OK', 'x-note: HTTP/1.1 200', 'content-length: 12', 'x-empty:')
const headArbitrary = fc.record({
  start: fc.constantFrom('HTTP/1.1 200 OK', 'HTTP/1.0 503 ', 'HTTP/1.1 404', 'HTTP/1.1 500 a b'),
  headers: fc.array(headerArbitrary, { maxLength: 5 }),
  idLine: fc.constantFrom(`x-id: ${ownId}`, `X-Id:${ownId}`, 'X-ID:\treq-6 '),
  lineEnd: fc.constantFrom('\r\n', '\n')
}).map(({ start, headers, idLine, lineEnd }) => [start, ...headers, idLine, ''].join(lineEnd))
const tailArbitrary = fc.constantFrom('', 'server: a\r\n', '\r\n', '\r\nbody of the other response')

/** Splits text at offsets of any size. */
function splitAnywhere (text: string, offsets: readonly number[]): readonly Buffer[] {
  return splitAt(text, offsets.map((offset) => offset % (text.length + 1)))
}

tap.t.test('no body without a known id is cut or changed, however it is split', async (t) => {
  fc.assert(fc.property(bodyArbitrary, offsetsArbitrary, (body, offsets) => {
    const scan = scanAll(splitAnywhere(body, offsets))
    return !scan.isFound && scan.body === body
  }), { seed, numRuns: runCount })
  t.pass('returned as they are')
})

tap.t.test('no other response is passed on as part of a body, however both are split', async (t) => {
  fc.assert(fc.property(bodyArbitrary, headArbitrary, tailArbitrary, offsetsArbitrary, (body, head, tail, offsets) => {
    const scan = scanAll(splitAnywhere(body + head + tail, offsets))
    return scan.isFound && body.startsWith(scan.body)
  }), { seed, numRuns: runCount })
  t.pass('found')
})

/** Returns whether text holds the head of another response, by a search of each candidate on its own. */
function holdsHead (text: string): boolean {
  return [...text.matchAll(/(?=HTTP\/1\.\d \d{3}(?: |\r?\n))/g)].some(({ index }) => {
    const [lines] = text.slice(index, index + maxHeadBytes).split(/(?<=\n)\r?\n/, 1)
    return /\nx-id:[ \t]*(?:req-6|req-7)[ \t]*\r?\n/i.test(lines!)
  })
}

tap.t.test('another response near the limit of a head is neither missed nor found too early behind other candidates, however they are split', async (t) => {
  const line = fc.constantFrom('HTTP/1.1 200 OK\r\n', 'text HTTP/1.1 200 ', 'server: a\r\n', '\r\n', 'text')
  const filler = fc.tuple(line, fc.integer({ min: 0, max: 150 })).map(([text, count]) => text.repeat(count))
  const nearLimit = fc.tuple(filler, fc.integer({ min: -20, max: 20 }), fc.constantFrom('', '\r\n')).map(([text, excess, separator]) => {
    const head = headOf(maxHeadBytes + excess)
    return head.slice(0, 100) + separator + text + head.slice(100 + separator.length + text.length)
  })
  let foundCount = 0
  fc.assert(fc.property(bodyArbitrary, filler, nearLimit, offsetsArbitrary, (body, text, head, offsets) => {
    const whole = body + text + head
    const isFound = holdsHead(whole)
    if (isFound) foundCount++
    return [[], offsets].every((splits) => {
      const scan = scanAll(splitAnywhere(whole, splits))
      return scan.isFound === isFound && scan.maxKeptBytes <= maxHeadBytes && (isFound ? whole.startsWith(scan.body) : scan.body === whole)
    })
  }), { seed, numRuns: runCount / 5 })
  t.ok(foundCount > runCount / 50 && foundCount < runCount / 5 - runCount / 50, 'both outcomes are frequent')
})

tap.t.test('the bytes that are kept back are bounded', async (t) => {
  const repeated = fc.tuple(fc.oneof(pieces, bodyArbitrary), fc.integer({ min: 1, max: 3000 })).map(([text, count]) => text.repeat(count).slice(0, chunkBytes))
  fc.assert(fc.property(fc.array(repeated, { maxLength: 4 }), offsetsArbitrary, (texts, offsets) => {
    const body = texts.join('')
    const scan = scanAll(splitAnywhere(body, offsets))
    return !scan.isFound && scan.body === body && scan.maxKeptBytes <= maxHeadBytes
  }), { seed, numRuns: runCount / 10 })
  fc.assert(fc.property(bodyArbitrary, offsetsArbitrary, (text, offsets) => {
    const body = text.replaceAll(/HTTP\/1\.\d \d{3}/g, '')
    if (/HTTP\/1\.\d \d{3}/.test(body)) return true
    return scanAll(splitAnywhere(body, offsets)).maxKeptBytes <= maxStatusLineStartBytes
  }), { seed, numRuns: runCount })
  t.pass('bounded')
})
