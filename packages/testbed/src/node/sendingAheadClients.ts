/**
 * Program of callers that send requests ahead on their connections and never read a response. It ends by itself after a time, which
 * closes the connections.
 */
import * as crypto from 'node:crypto'
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'

const requestsPerWrite = 100

/** What the requests look like: with a new key each, or without key, request id and deadline. */
export type RequestKind = 'get-with-keys' | 'get-bare' | 'post-with-keys'

/** Options of the program, passed as JSON in its only command line argument. */
export interface SendingAheadOptions {
  readonly callersAddress: string
  readonly host: string
  readonly path: string
  readonly kind: RequestKind
  readonly clients: number
  readonly requestsPerClient: number
  readonly durationMs: number
}

function formatRequest ({ host, path, kind }: SendingAheadOptions): string {
  if (kind === 'get-bare') return `GET ${path} HTTP/1.1\r\nHost: ${host}\r\n\r\n`
  const head = `${path} HTTP/1.1\r\nHost: ${host}\r\nIdempotency-Key: ${crypto.randomUUID()}\r\n`
  return kind === 'get-with-keys' ? `GET ${head}\r\n` : `POST ${head}Content-Length: 2\r\n\r\n{}`
}

/** Writes all requests as fast as the connection takes them. Without a listener for data, nothing is read beyond the socket's buffer. */
function startClient (options: SendingAheadOptions): void {
  const { host, port } = address.parseAddress(options.callersAddress)
  const socket = net.connect(port, host)
  let sent = 0
  const writeNext = (): void => {
    while (sent < options.requestsPerClient && !socket.destroyed) {
      const count = Math.min(requestsPerWrite, options.requestsPerClient - sent)
      sent += count
      if (!socket.write(Array.from({ length: count }, () => formatRequest(options)).join(''))) return
    }
  }
  socket.on('drain', writeNext)
  // The entry may close the connection; the client does not come back.
  socket.on('error', () => {})
  writeNext()
}

const options = JSON.parse(process.argv[2] ?? '{}') as SendingAheadOptions
for (let i = 0; i < options.clients; i++) startClient(options)
setTimeout(() => process.exit(0), options.durationMs)
