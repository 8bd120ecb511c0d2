/** TCP relays in front of processes: they can cut pairs of processes off and make connections go silent. */
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'

/** One relayed connection. */
interface RelayedConnection {
  readonly from: string
  readonly to: string
  readonly incoming: net.Socket
  outgoing: net.Socket | undefined
  /** Silent for good: both ends stay open and nothing passes any more. */
  silent: boolean
}

/** All relays of a fleet. Processes are told apart by the IP number their connections come from. */
export class RelayNet {
  private readonly servers: net.Server[] = []
  private readonly connections = new Set<RelayedConnection>()
  private readonly cuts = new Set<string>()

  /** Relays from one address to another; `name` is the process behind it, `nameOf` tells who calls. */
  async add (listen: string, upstream: string, name: string, nameOf: (ip: string) => string): Promise<void> {
    const server = net.createServer((socket) => this.accept(socket, upstream, nameOf(socket.remoteAddress ?? ''), name))
    const { host, port } = address.parseAddress(listen)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    this.servers.push(server)
  }

  /** Cuts two processes off from each other, or one from all others with `*`. */
  cut (a: string, b: string): void {
    this.cuts.add(pairOf(a, b))
    this.refresh()
  }

  heal (a: string, b: string): void {
    this.cuts.delete(pairOf(a, b))
    this.refresh()
  }

  /** Open connections to a process go silent for good; new ones work. */
  silence (to: string): number {
    let count = 0
    for (const connection of this.connections) {
      if (connection.to !== to && to !== '*') continue
      connection.silent = true
      count++
    }
    this.refresh()
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
    const connection: RelayedConnection = { from, to, incoming, outgoing: undefined, silent: false }
    this.connections.add(connection)
    incoming.setNoDelay(true)
    incoming.pause()
    const { host, port } = address.parseAddress(upstream)
    incoming.on('error', () => {})
    incoming.on('close', () => this.end(connection))
    if (!this.isCut(connection)) this.connect(connection, host, port)
    else connection.incoming.once('healed', () => this.connect(connection, host, port))
  }

  private connect (connection: RelayedConnection, host: string, port: number): void {
    const { incoming } = connection
    const outgoing = net.connect({ host, port, noDelay: true, allowHalfOpen: false })
    connection.outgoing = outgoing
    outgoing.on('error', () => incoming.resetAndDestroy())
    outgoing.on('close', () => this.end(connection))
    outgoing.on('connect', () => {
      incoming.on('data', (chunk) => { if (!outgoing.write(chunk)) incoming.pause() })
      outgoing.on('data', (chunk) => { if (!incoming.write(chunk)) outgoing.pause() })
      incoming.on('drain', () => { if (this.passes(connection)) outgoing.resume() })
      outgoing.on('drain', () => { if (this.passes(connection)) incoming.resume() })
      incoming.on('end', () => outgoing.end())
      outgoing.on('end', () => incoming.end())
      this.apply(connection)
    })
  }

  private end (connection: RelayedConnection): void {
    // Across a cut nobody learns that the other end has gone.
    if (!this.passes(connection)) return
    this.connections.delete(connection)
    connection.incoming.destroy()
    connection.outgoing?.destroy()
  }

  private refresh (): void {
    for (const connection of this.connections) {
      if (connection.outgoing === undefined && !this.isCut(connection)) connection.incoming.emit('healed')
      else this.apply(connection)
    }
  }

  private apply (connection: RelayedConnection): void {
    const { incoming, outgoing } = connection
    if (this.passes(connection)) {
      incoming.resume()
      outgoing?.resume()
      if (incoming.destroyed || outgoing?.destroyed === true) this.end(connection)
    } else {
      incoming.pause()
      outgoing?.pause()
    }
  }

  private passes (connection: RelayedConnection): boolean {
    return !connection.silent && !this.isCut(connection)
  }

  private isCut ({ from, to }: RelayedConnection): boolean {
    return this.cuts.has(pairOf(from, to)) || this.cuts.has(pairOf(from, '*')) || this.cuts.has(pairOf(to, '*'))
  }
}

function pairOf (a: string, b: string): string {
  return [a, b].sort().join(' ')
}
