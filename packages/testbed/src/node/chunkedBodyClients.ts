/**
 * Program of callers that send bodies in chunks. Most stop before the last chunk and stay open; one whose connection is closed comes back.
 * It ends by itself after a time, which closes the connections.
 */
import * as crypto from 'node:crypto'
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'

const writeBytes = 65_536
const lastChunk = '0\r\n\r\n'
const comeBackAfterMs = 100

/** Options of the program, passed as JSON in its only command line argument. */
export interface ChunkedBodyOptions {
  readonly callersAddress: string
  readonly host: string
  readonly path: string
  readonly clients: number
  readonly chunkBytes: number
  readonly bodyBytes: number
  /** One client in so many sends its last chunk; none without it. */
  readonly clientsPerWholeBody?: number
  /** Whether requests have a new Idempotency-Key each. */
  readonly hasKeys: boolean
  readonly durationMs: number
}

function formatHead ({ host, path, hasKeys }: ChunkedBodyOptions): string {
  const key = hasKeys ? `Idempotency-Key: ${crypto.randomUUID()}\r\n` : ''
  return `POST ${path} HTTP/1.1\r\nHost: ${host}\r\n${key}Transfer-Encoding: chunked\r\n\r\n`
}

function formatChunk (bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`
}

/** Writes the body as fast as the connection takes it. */
function startClient (options: ChunkedBodyOptions, index: number): void {
  const { chunkBytes, bodyBytes } = options
  const { host, port } = address.parseAddress(options.callersAddress)
  const chunk = formatChunk(chunkBytes)
  const chunksPerWrite = Math.max(1, Math.floor(writeBytes / chunk.length))
  const socket = net.connect(port, host)
  let chunksLeft = Math.floor(bodyBytes / chunkBytes)
  const writeNext = (): void => {
    while (chunksLeft > 0 && !socket.destroyed) {
      const count = Math.min(chunksPerWrite, chunksLeft)
      chunksLeft -= count
      const isLast = chunksLeft === 0 && index % (options.clientsPerWholeBody ?? Infinity) === 0
      if (!socket.write(chunk.repeat(count) + (isLast ? lastChunk : ''))) return
    }
  }
  socket.write(formatHead(options))
  socket.on('drain', writeNext)
  // Reads the responses, so that it notices the end of the connection.
  socket.resume()
  socket.on('error', () => {})
  socket.on('close', () => { setTimeout(() => startClient(options, index), comeBackAfterMs) })
  writeNext()
}

const options = JSON.parse(process.argv[2] ?? '{}') as ChunkedBodyOptions
for (let i = 1; i <= options.clients; i++) startClient(options, i)
setTimeout(() => process.exit(0), options.durationMs)
