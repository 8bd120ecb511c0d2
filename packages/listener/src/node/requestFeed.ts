/**
 * Passes what a caller sends to the HTTP parser of Node.js in small parts, and stops while the connection has as many requests as are
 * served at a time. By itself, Node.js would parse all requests of a read of 64 KiB, some 2,000 short ones, before it pauses.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as chunkJoiner from './chunkJoiner.js'
import type * as parsingTurns from './parsingTurns.js'

/** Bytes that are parsed at a time: ordinary requests fit into one part, and few short ones do. */
const partBytes = 1024
/** Bytes that are parsed at a time while a body in chunks is received, whose length is not known. */
const chunkedPartBytes = 4096

/** Properties of a server's connection that Node.js does not declare. */
interface ServerSocket extends net.Socket {
  /** True while the parser must not get any data. */
  _paused?: boolean
}

type Listener = (...args: unknown[]) => void

/** Feeds the parser of one connection. */
export class RequestFeed {
  private readonly socket: ServerSocket
  private readonly parse: Listener
  private readonly finishParsing: Listener
  /** Received, and not parsed yet. */
  private rest: Buffer | undefined
  private isFeeding = false
  /** True while reading is paused until further requests can be served. */
  private isHolding = false
  private hasEnded = false
  private partLength = 0
  /** Bytes that belong to the body of the current request for certain. */
  private knownBodyBytes = 0
  private isBodyChunked = false
  private lastReq: http.IncomingMessage | undefined
  private joiner: chunkJoiner.ChunkJoiner | undefined
  /** Memory of what waits, as it was reported last. */
  private heldBytes = 0
  private isWaitingForTurn = false
  private receivedAt = 0
  private readonly onData = (chunk: Buffer): void => this.receive(chunk)
  private readonly onTurn = (): void => {
    this.isWaitingForTurn = false
    this.feed(true)
  }

  /**
   * Takes over from the listeners of Node.js; to be called when the server reports the connection.
   * @param canServeMore whether another request of the connection can be served.
   * @param turns shared with other connections that receive bodies in chunks.
   * @param hold called with each change of the bytes that wait to be parsed.
   */
  constructor (socket: net.Socket, private readonly canServeMore: () => boolean, private readonly turns: parsingTurns.ParsingTurns, private readonly hold: (changedBytes: number) => void = () => {}) {
    this.socket = socket
    this.parse = takeListener(socket, 'data')
    this.finishParsing = takeListener(socket, 'end')
    // Node.js stops reading the connection natively once it has a listener for data.
    socket.on('data', this.onData)
    socket.on('end', () => this.handleEnd())
    socket.on('resume', () => this.handleResume())
  }

  /** True while reading is paused, so that a request that has begun cannot go on. */
  get isPaused (): boolean {
    return this.isHolding
  }

  /** Bytes received that are not parsed yet. */
  get unparsedBytes (): number {
    return this.rest?.length ?? 0
  }

  /** Time on the process's monotonic clock since which the rest of a request is awaited from the caller; undefined if none is. */
  get stalledSince (): number | undefined {
    const isAwaited = this.lastReq?.complete === false && this.rest === undefined && !this.isHolding && !this.isBodyBehind
    return isAwaited ? this.receivedAt : undefined
  }

  /** Must be called with each request that is parsed. */
  noteRequest (req: http.IncomingMessage): void {
    this.lastReq = req
    this.isBodyChunked = req.headers['transfer-encoding'] !== undefined
    this.joiner = this.isBodyChunked ? new chunkJoiner.ChunkJoiner(req) : undefined
    // The part that completed the head holds at most its own length of the body.
    this.knownBodyBytes = Math.max(0, Number(req.headers['content-length'] ?? 0) - this.partLength)
  }

  /** Continues once further requests can be served. */
  continue (): void {
    if (this.isHolding) this.feed()
  }

  /** Drops what was received and is not parsed yet, and all that follows. */
  discard (): void {
    this.socket.off('data', this.onData)
    this.socket.on('data', () => {})
    this.turns.leave(this.onTurn)
    this.isWaitingForTurn = false
    this.feed()
  }

  private receive (chunk: Buffer): void {
    this.receivedAt = performance.now()
    this.rest = this.rest === undefined ? chunk : Buffer.concat([this.rest, chunk])
    this.feed()
  }

  /** @param hasTurn whether a part of a body in chunks may be parsed now. */
  private feed (hasTurn = false): void {
    // The parser calls back while it is fed.
    if (this.isFeeding) return
    this.isFeeding = true
    try {
      if (!this.isWaitingForTurn) this.parseParts(hasTurn)
    } finally {
      this.isFeeding = false
    }
    if (!this.isAttached) this.rest = undefined
    this.updateReading()
    this.reportHeld()
    if (this.hasEnded && this.rest === undefined) this.finish()
  }

  private parseParts (hasTurn: boolean): void {
    let isTurnLeft = hasTurn
    while (this.rest !== undefined && this.isAttached && this.canParse) {
      if (this.isReceivingChunks && !isTurnLeft && !this.turns.tryTake()) {
        this.isWaitingForTurn = true
        this.turns.wait(this.onTurn)
        return
      }
      isTurnLeft = false
      this.parseNext(this.rest)
    }
  }

  private parseNext (rest: Buffer): void {
    const length = Math.min(rest.length, Math.max(this.knownBodyBytes, this.isReceivingChunks ? chunkedPartBytes : partBytes))
    this.rest = length === rest.length ? undefined : rest.subarray(length)
    this.partLength = length
    this.knownBodyBytes = Math.max(0, this.knownBodyBytes - length)
    this.parse.call(this.socket, this.rest === undefined ? rest : rest.subarray(0, length))
    this.joiner?.flush()
  }

  private get isReceivingChunks (): boolean {
    return this.isBodyChunked && this.lastReq?.complete === false
  }

  private get canParse (): boolean {
    // An incomplete request is received whole; further ones have to wait.
    return this.socket._paused !== true && !this.socket.destroyed && (this.lastReq?.complete === false || this.canServeMore())
  }

  /** False once the input of the connection is discarded, such as after a parser error. */
  private get isAttached (): boolean {
    return this.socket.listeners('data').includes(this.onData)
  }

  private updateReading (): void {
    const mustHold = this.isAttached && (this.isWaitingForTurn || !this.canParse)
    if (mustHold) {
      this.isHolding = true
      this.socket.pause()
    } else if (this.isHolding) {
      this.isHolding = false
      // A body whose reader is behind resumes the connection itself.
      if (!this.isBodyBehind) this.socket.resume()
    }
  }

  /** A part of a read keeps the memory of the whole. */
  private reportHeld (): void {
    const bytes = this.rest === undefined ? 0 : this.rest.buffer.byteLength + this.socket.readableLength
    if (bytes === this.heldBytes) return
    const changedBytes = bytes - this.heldBytes
    this.heldBytes = bytes
    this.hold(changedBytes)
  }

  private get isBodyBehind (): boolean {
    const req = this.lastReq
    return req?.complete === false && req.readableLength >= req.readableHighWaterMark
  }

  /** Node.js resumes the connection when a response has drained or a body is read. */
  private handleResume (): void {
    if (this.isHolding || this.rest !== undefined) this.feed()
  }

  private handleEnd (): void {
    this.hasEnded = true
    if (this.rest === undefined) this.finish()
  }

  private finish (): void {
    this.hasEnded = false
    // The parser of a closed connection may serve another one already.
    if (!this.socket.destroyed) this.finishParsing.call(this.socket)
  }
}

/** Removes the listener of Node.js. */
function takeListener (socket: net.Socket, event: 'data' | 'end'): Listener {
  // The connection itself has a listener for its end too, which was added before the server's.
  const listener = socket.listeners(event).at(-1) as Listener
  socket.removeListener(event, listener)
  return listener
}
