/** HTTP server that completes all responses before it stops. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as httpListener from '@rosemaryrack/listener/node/httpListener.js'

const noRequestTimeout = 0
const idlePollMs = 50
const msPerSecond = 1000
/**
 * Share of the grace period in which open connections still accept requests. The rest, more than half, is left for
 * completing these requests.
 */
const acceptShareOfGrace = 0.45

/** Limits on connections, in bytes and milliseconds. */
export interface ServerLimits {
  readonly maxHeaderBytes: number
  readonly headersTimeoutMs: number
  readonly keepAliveTimeoutMs: number
}

/** Serves requests until it is stopped. */
export class GracefulServer {
  private readonly server: http.Server
  private inFlight = 0

  /**
   * @param graceS seconds from the start of the shutdown until the process is killed.
   * @param serve resolves when the response has ended; never rejects.
   */
  constructor (limits: ServerLimits, private readonly graceS: number, private readonly serve: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>) {
    this.server = http.createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: noRequestTimeout,
      keepAliveTimeout: limits.keepAliveTimeoutMs,
      noDelay: true
    }, (req, res) => { this.handleRequest(req, res) })
    this.server.on('clientError', httpListener.respondToClientError)
  }

  /** Changes the timeouts, for later requests. */
  setTimeouts ({ headersTimeoutMs, keepAliveTimeoutMs }: Pick<ServerLimits, 'headersTimeoutMs' | 'keepAliveTimeoutMs'>): void {
    this.server.headersTimeout = headersTimeoutMs
    this.server.keepAliveTimeout = keepAliveTimeoutMs
  }

  /** Starts to listen; rejects when the address cannot be bound. */
  async listen (hostPort: string): Promise<void> {
    const { host, port } = address.parseAddress(hostPort)
    await httpListener.listen(this.server, host, port)
  }

  /** Number of requests whose response is not complete. */
  get inFlightCount (): number {
    return this.inFlight
  }

  /**
   * Accepts no new connections and resolves when all responses are complete.
   * Idle connections stay open for the keep-alive timeout, since a request may be on its way on one of them. They are closed
   * early enough to complete such a request before the process is killed.
   * @param stoppingSince when the shutdown began, on the process's monotonic clock.
   */
  async stop (stoppingSince: number): Promise<void> {
    net.Server.prototype.close.call(this.server)
    const idleCloseAt = Math.min(performance.now() + this.server.keepAliveTimeout, stoppingSince + this.graceS * msPerSecond * acceptShareOfGrace)
    while (performance.now() < idleCloseAt && (this.inFlight > 0 || await this.connectionCount() > 0)) await async.sleep(idlePollMs)
    while (this.inFlight > 0) {
      this.server.closeIdleConnections()
      await async.sleep(idlePollMs)
    }
    this.server.closeAllConnections()
  }

  private connectionCount (): Promise<number> {
    return new Promise((resolve) => this.server.getConnections((_err, count) => resolve(count)))
  }

  private async handleRequest (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.inFlight++
    await this.serve(req, res)
    this.inFlight--
  }
}
