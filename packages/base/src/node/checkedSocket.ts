/** Sockets and agents for clients that must see a reset which arrives together with data. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as connectionEnd from './connectionEnd.js'

/** A socket that reports a reset which arrives together with data as an error, which Node.js reports as the end of the stream. */
export class CheckedSocket extends net.Socket {
  private isEndChecked = false
  /** The reset that arrived together with data that is not read yet. */
  private resetAfterData: Error | undefined

  /** Ends the stream only once it is known that the peer has not reset the connection. */
  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding)
    if (!this.isEndChecked) {
      this.isEndChecked = true
      connectionEnd.checkEnd(this, (reset) => this.endReading(reset))
    }
    return false
  }

  override read (size?: number): unknown {
    const data: unknown = super.read(size)
    // The data is passed on only after this call.
    if (this.resetAfterData !== undefined && this.readableLength === 0) setImmediate(() => this.destroy(this.resetAfterData))
    return data
  }

  private endReading (reset: Error | undefined): void {
    if (reset === undefined) super.push(null)
    else if (this.readableLength === 0) this.destroy(reset)
    else this.resetAfterData = reset
  }
}

/** An agent for HTTP requests on such sockets. */
export class CheckedAgent extends http.Agent {
  override createConnection (options: http.ClientRequestArgs): net.Socket {
    const connectOptions = options as net.TcpNetConnectOpts
    return new CheckedSocket(connectOptions).connect(connectOptions)
  }
}
