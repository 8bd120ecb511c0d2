/** TCP relays in front of processes, which can partition pairs of processes and stop traffic on open connections. */
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'

/** One relayed connection. */
interface RelayedConnection {
  readonly from: string
  readonly to: string
  readonly incoming: net.Socket
  outgoing: net.Socket | undefined
  /** True after `silence`: both sockets stay open but no data is forwarded. Never becomes false again. */
  isSilent: boolean
}

/** All relays of a fleet. The IP address that a connection comes from identifies the process that opened it. */
export class RelayNetwork {
  private readonly servers: net.Server[] = []
  private readonly connections = new Set<RelayedConnection>()
  private readonly cuts = new Set<string>()

  /**
   * Relays connections from `listen` to `upstream`; `name` is the name of the process at `upstream`, `findProcessName`
   * returns the name for a source IP address.
   */
  async add (listen: string, upstream: string, name: string, findProcessName: (ip: string) => string): Promise<void> {
    const server = net.createServer((socket) => this.accept(socket, upstream, findProcessName(socket.remoteAddress ?? ''), name))
    const { host, port } = address.parseAddress(listen)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    this.servers.push(server)
  }

  /** Blocks traffic between two processes, or between one and all others with `*`. */
  cut (a: string, b: string): void {
    this.cuts.add(pairKey(a, b))
    this.updateAll()
  }

  /** Removes a cut; traffic that it held back is delivered. */
  heal (a: string, b: string): void {
    this.cuts.delete(pairKey(a, b))
    this.updateAll()
  }

  /** Stops traffic on all open connections to a process permanently and returns their number; new connections work. */
  silence (to: string): number {
    let count = 0
    for (const connection of this.connections) {
      if (connection.to !== to && to !== '*') continue
      connection.isSilent = true
      count++
    }
    this.updateAll()
    return count
  }

  dispose (): void {
    for (const server of this.servers) server.close()
    for (const { incoming, outgoing } of this.connections) {
      incoming.destroy()
      outgoing?.destroy()
    }
  }

  private accept (incoming: net.Socket, upstream: string, from: string, to: string): void {
    const connection: RelayedConnection = { from, to, incoming, outgoing: undefined, isSilent: false }
    this.connections.add(connection)
    incoming.setNoDelay(true)
    incoming.pause()
    const { host, port } = address.parseAddress(upstream)
    incoming.on('error', () => {})
    incoming.on('close', () => this.close(connection))
    if (!this.isCut(connection)) this.connect(connection, host, port)
    else connection.incoming.once('healed', () => this.connect(connection, host, port))
  }

  private connect (connection: RelayedConnection, host: string, port: number): void {
    const { incoming } = connection
    const outgoing = new checkedSocket.CheckedSocket({ allowHalfOpen: false }).setNoDelay(true).connect({ host, port })
    connection.outgoing = outgoing
    outgoing.on('error', () => incoming.resetAndDestroy())
    outgoing.on('close', () => this.close(connection))
    outgoing.on('connect', () => {
      incoming.on('data', (chunk) => { if (!outgoing.write(chunk)) incoming.pause() })
      outgoing.on('data', (chunk) => { if (!incoming.write(chunk)) outgoing.pause() })
      incoming.on('drain', () => { if (this.canPass(connection)) outgoing.resume() })
      outgoing.on('drain', () => { if (this.canPass(connection)) incoming.resume() })
      incoming.on('end', () => outgoing.end())
      outgoing.on('end', () => incoming.end())
      this.update(connection)
    })
  }

  private close (connection: RelayedConnection): void {
    // While no traffic can pass, the close of one end must not be visible at the other.
    if (!this.canPass(connection)) return
    this.connections.delete(connection)
    connection.incoming.destroy()
    connection.outgoing?.destroy()
  }

  private updateAll (): void {
    for (const connection of this.connections) {
      if (connection.outgoing === undefined && !this.isCut(connection)) connection.incoming.emit('healed')
      else this.update(connection)
    }
  }

  private update (connection: RelayedConnection): void {
    const { incoming, outgoing } = connection
    if (this.canPass(connection)) {
      incoming.resume()
      outgoing?.resume()
      if (incoming.destroyed || outgoing?.destroyed === true) this.close(connection)
    } else {
      incoming.pause()
      outgoing?.pause()
    }
  }

  private canPass (connection: RelayedConnection): boolean {
    return !connection.isSilent && !this.isCut(connection)
  }

  private isCut ({ from, to }: RelayedConnection): boolean {
    return this.cuts.has(pairKey(from, to)) || this.cuts.has(pairKey(from, '*')) || this.cuts.has(pairKey(to, '*'))
  }
}

function pairKey (a: string, b: string): string {
  return [a, b].sort().join(' ')
}
