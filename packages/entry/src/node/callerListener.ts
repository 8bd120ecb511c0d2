/** Listener for callers, and its graceful stop. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as callerTask from './callerTask.js'

const maxHeaderBytes = 32_768
const headersTimeoutMs = 10_000
const keepAliveTimeoutMs = 5000
const noRequestTimeout = 0
const idlePollMs = 50
const msPerSecond = 1000
/**
 * Part of the grace period in which requests are still taken on open connections. The rest, more than half, is for
 * answering them.
 */
const acceptingShare = 0.45

/** Serves callers until it is stopped. */
export class CallerListener {
  private readonly server: http.Server
  private readonly configSubscription: lifecycle.IDisposable
  private inFlight = 0

  /** @param graceS seconds from the start of a stop until the process is killed. */
  constructor (private readonly graceS: number, private readonly configs: configFollower.IConfigSource, private readonly deps: callerTask.CallerDeps) {
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: noRequestTimeout,
      keepAliveTimeout: keepAliveTimeoutMs,
      noDelay: true
    }, (req, res) => { this.serve(req, res) })
    this.configSubscription = configs.onChanged((config) => this.applyLimits(config.document))
    this.server.on('clientError', httpListener.answerClientError)
  }

  private applyLimits ({ callerLimits }: configDocument.ConfigDocument): void {
    this.server.keepAliveTimeout = callerLimits?.idleTimeoutMs ?? keepAliveTimeoutMs
    this.server.headersTimeout = callerLimits?.headerTimeoutMs ?? headersTimeoutMs
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
   * Idle connections stay open for their keep-alive time, since a request may be on its way on them, but no longer than
   * leaves time to answer it before the process is killed.
   * @param stoppingSince when the stop began, on the process's monotonic clock.
   */
  async stop (stoppingSince: number): Promise<void> {
    net.Server.prototype.close.call(this.server)
    const idleUntil = Math.min(performance.now() + this.server.keepAliveTimeout, stoppingSince + this.graceS * msPerSecond * acceptingShare)
    while (performance.now() < idleUntil && (this.inFlight > 0 || await this.connectionCount() > 0)) await async.sleep(idlePollMs)
    while (this.inFlight > 0) {
      this.server.closeIdleConnections()
      await async.sleep(idlePollMs)
    }
    this.server.closeAllConnections()
    this.configSubscription.dispose()
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
