/** Joins the chunks of a request body that were parsed together: each costs some hundred bytes besides its data, however short it is. */
import type * as http from 'node:http'
import type * as net from 'node:net'

/** Takes the place of `req.push` for the HTTP parser of Node.js. */
export class ChunkJoiner {
  private chunks: Buffer[] = []
  private readonly push: http.IncomingMessage['push']
  /** A request whose response is complete no longer has its connection. */
  private readonly socket: net.Socket

  constructor (req: http.IncomingMessage) {
    this.socket = req.socket
    this.push = req.push.bind(req)
    req.push = (chunk: Buffer | null) => this.add(chunk)
  }

  /** Passes on what was added; must be called after each call of the parser. */
  flush (): void {
    const [first, ...others] = this.chunks
    if (first === undefined) return
    this.chunks = []
    // As the parser of Node.js does with each chunk.
    if (!this.push(others.length === 0 ? first : Buffer.concat([first, ...others]))) this.socket.pause()
  }

  private add (chunk: Buffer | null): boolean {
    if (chunk !== null) {
      this.chunks.push(chunk)
      return true
    }
    this.flush()
    return this.push(null)
  }
}
