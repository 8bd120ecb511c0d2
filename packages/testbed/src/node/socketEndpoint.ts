/** The part of a stand-in endpoint on plain sockets that doesn't depend on its responses: its listener, connections and heartbeats. */
import * as net from 'node:net'
import * as byteSteps from './byteSteps.js'
import * as deployedFleet from './deployedFleet.js'

const endpointPort = 8080
/** Requests that an endpoint takes at a time, according to its heartbeats. */
const slots = 64
const bornAt = 1_778_202_084_000

/** Serves the connections of an endpoint. */
export interface IConnectionServer {
  serve(socket: net.Socket): void
}

/** Listens for an endpoint, which can be stopped and started again. */
export class SocketEndpoint {
  private readonly sockets = new Set<net.Socket>()
  private server: net.Server | undefined
  private sequence = 0
  private starts = 0

  constructor (readonly id: string, private readonly host: string, private readonly service: string, private readonly connections: IConnectionServer) {}

  get stamp (): string {
    return `stamp-${this.id}`
  }

  async start (): Promise<void> {
    const server = net.createServer((socket) => this.accept(socket))
    await new Promise<void>((resolve, reject) => { server.once('error', reject).listen(endpointPort, this.host, resolve) })
    this.server = server
    this.starts++
  }

  /** Stops as a process that is killed: all connections are reset. */
  stop (): void {
    this.server?.close()
    this.server = undefined
    this.resetConnections()
  }

  resetConnections (): void {
    for (const socket of this.sockets) byteSteps.reset(socket)
  }

  /** Sends a heartbeat to a control replica, unless the endpoint is stopped. */
  async sendHeartbeat (control: string): Promise<void> {
    if (this.server === undefined) return
    const body = { Service: this.service, Addr: `${this.host}:${endpointPort}`, Zone: 'a', Version: 'v1', Slots: slots, State: 'ready', ColdLeftMs: 0, Seq: ++this.sequence, born: bornAt + this.starts }
    await deployedFleet.sendRequest('POST', `http://${control}/rosemaryrack/Instances.Heartbeat/${this.id}`, { 'content-type': 'application/json' }, JSON.stringify(body))
  }

  /** Returns an empty response that doesn't belong to a run. */
  formatNotice (status: string): string {
    return `HTTP/1.1 ${status}\r\nX-Rosemaryrack-Instance-Id: ${this.id}\r\nX-Rosemaryrack-Server-Load: 0,0,${slots},100\r\nContent-Length: 0\r\n\r\n`
  }

  private accept (socket: net.Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.setNoDelay(true)
    this.connections.serve(socket)
  }
}
