/** Listener for callers, and its graceful stop. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as callerTask from './callerTask.js'

const maxHeaderBytes = 32_768
const headersTimeoutMs = 10_000
const keepAliveTimeoutMs = 5000
const noRequestTimeout = 0
const idlePollMs = 50

/** Serves callers until it is stopped. */
export class CallerListener {
  private readonly server: http.Server
  private inFlight = 0

  constructor (private readonly deps: callerTask.CallerDeps) {
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: noRequestTimeout,
      keepAliveTimeout: keepAliveTimeoutMs,
      noDelay: true
    }, (req, res) => { this.serve(req, res) })
    this.server.on('clientError', httpListener.answerClientError)
  }

  async listen (hostPort: string): Promise<void> {
    const { host, port } = address.parseAddress(hostPort)
    await httpListener.listen(this.server, host, port)
  }

  /** Requests that have not been answered to the end. */
  get inFlightCount (): number {
    return this.inFlight
  }

  /**
   * Takes no new connections, then resolves when every caller has its whole answer.
   * Idle connections stay open for their keep-alive time: a request may be on its way on them.
   */
  async stop (): Promise<void> {
    net.Server.prototype.close.call(this.server)
    const idleUntil = performance.now() + keepAliveTimeoutMs
    while (this.inFlight > 0 || (performance.now() < idleUntil && await this.connectionCount() > 0)) {
      await async.sleep(idlePollMs)
    }
    this.server.closeAllConnections()
  }

  private connectionCount (): Promise<number> {
    return new Promise((resolve) => this.server.getConnections((_err, count) => resolve(count)))
  }

  private async serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    this.inFlight++
    await new callerTask.CallerTask(req, res, this.deps).run()
    this.inFlight--
  }
}
