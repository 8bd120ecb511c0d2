/** Listening socket that is open before the process is loaded: callers that connect meanwhile wait in its backlog instead of being refused. */
import * as net from 'node:net'

const flag = '--callers'

/** Opened at the start of the process, taken over by the listener for callers. */
export class EarlySocket {
  private readonly server = net.createServer({ pauseOnConnect: true, noDelay: true }, (socket) => this.take(socket))
  /** Connections that the process took before the server did. */
  private readonly taken = new Set<net.Socket>()

  /** @param hostPort IP number and port. */
  constructor (private readonly hostPort: string) {
    const separator = hostPort.lastIndexOf(':')
    // The listener that takes the socket over reports what is wrong with the address.
    this.server.on('error', () => {})
    this.server.listen({ host: hostPort.slice(0, separator), port: Number(hostPort.slice(separator + 1)) })
  }

  /** Opens the socket that the command line asks for, if it does. */
  static fromArguments (argv: readonly string[]): EarlySocket | undefined {
    const position = argv.indexOf(flag)
    const hostPort = position < 0 ? undefined : argv[position + 1]
    return hostPort === undefined ? undefined : new EarlySocket(hostPort)
  }

  private take (socket: net.Socket): void {
    // A caller that goes away meanwhile is seen as gone by the server that takes the connection over.
    socket.on('error', () => {})
    this.taken.add(socket)
  }

  /** Lets a server take connections from the socket; false when it listens elsewhere or isn't open, and is closed then. */
  async handTo (server: net.Server, hostPort: string): Promise<boolean> {
    if (hostPort !== this.hostPort || !this.server.listening) {
      this.server.close()
      for (const socket of this.taken) socket.destroy()
      return false
    }
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.server, () => {
        server.off('error', reject)
        resolve()
      })
    })
    for (const socket of this.taken) {
      server.emit('connection', socket)
      socket.resume()
    }
    return true
  }
}
