/** HTTP listener for callers, with its graceful shutdown. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as callerConnections from './callerConnections.js'
import * as callerTask from './callerTask.js'
import * as responseAbort from './responseAbort.js'

const maxHeaderBytes = 32_768
const headersTimeoutMs = 10_000
/** Precision of the limit on the time of headers. */
const connectionsCheckingIntervalMs = 1000
const keepAliveTimeoutMs = 5000
const noRequestTimeout = 0
const idlePollMs = 50
const msPerSecond = 1000
/**
 * Share of the grace period in which open connections still accept requests. The rest, more than half, is left for
 * completing these requests.
 */
const acceptShareOfGrace = 0.45
/**
 * Share of the grace period after which requests without a response get a final one. The rest is left for sending the responses before the
 * process is killed.
 */
const finalResponseShareOfGrace = 0.9

/** Serves callers until it is stopped. */
export class CallerListener {
  private readonly server: http.Server
  private readonly connections: callerConnections.CallerConnections
  private readonly configSubscription: lifecycle.IDisposable
  private readonly tasks = new Set<callerTask.CallerTask>()

  /** @param graceS seconds from the start of the shutdown until the process is killed. */
  constructor (private readonly graceS: number, private readonly configs: configFollower.IConfigSource, private readonly deps: callerTask.CallerDeps) {
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: noRequestTimeout,
      connectionsCheckingInterval: connectionsCheckingIntervalMs,
      keepAliveTimeout: keepAliveTimeoutMs,
      noDelay: true
    }, (req, res) => { this.serve(req, res) })
    this.connections = new callerConnections.CallerConnections(this.server)
    this.configSubscription = configs.onChanged((config) => this.applyLimits(config.document))
    this.server.on('clientError', httpListener.respondToClientError)
  }

  private applyLimits ({ callerLimits }: configDocument.ConfigDocument): void {
    this.server.keepAliveTimeout = callerLimits?.idleTimeoutMs ?? keepAliveTimeoutMs
    this.server.headersTimeout = callerLimits?.headerTimeoutMs ?? headersTimeoutMs
  }

  async listen (hostPort: string): Promise<void> {
    const { host, port } = address.parseAddress(hostPort)
    await httpListener.listen(this.server, host, port)
  }

  /** Number of requests whose response is not complete. */
  get inFlightCount (): number {
    return this.tasks.size
  }

  /**
   * Accepts no new connections and resolves when all responses are complete.
   * Idle connections stay open for the keep-alive timeout, since a request may be on its way on one of them. They are closed
   * early enough to complete such a request before the process is killed. Requests that have no response by then get a fault, since their
   * callers could not tell whether a killed process had run them.
   * @param stoppingSince when the shutdown began, on the process's monotonic clock.
   */
  async stop (stoppingSince: number): Promise<void> {
    // A process that was busy or paused accepts and reads what has arrived meanwhile before it closes anything.
    await async.nextTurn()
    net.Server.prototype.close.call(this.server)
    await async.nextTurn()
    const idleCloseAt = Math.min(performance.now() + this.server.keepAliveTimeout, stoppingSince + this.graceS * msPerSecond * acceptShareOfGrace)
    while (performance.now() < idleCloseAt && (this.tasks.size > 0 || this.connections.size > 0)) await async.sleep(idlePollMs)
    const cancelFinalResponses = this.scheduleFinalResponses(stoppingSince + this.graceS * msPerSecond * finalResponseShareOfGrace)
    this.connections.closeIdle()
    await async.nextTurn()
    while (this.tasks.size > 0) {
      this.connections.closeIdle()
      await async.sleep(idlePollMs)
    }
    cancelFinalResponses()
    this.server.closeAllConnections()
    this.configSubscription.dispose()
  }

  /** Schedules a final response for each request that has none shortly before the process is killed. */
  private scheduleFinalResponses (at: number): () => void {
    const timer = setTimeout(() => {
      for (const task of this.tasks) {
        task.recordIncomplete()
        task.endWithoutResponse()
      }
    }, at - performance.now())
    return () => clearTimeout(timer)
  }

  private async serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    let task: callerTask.CallerTask | undefined
    try {
      task = new callerTask.CallerTask(req, res, this.deps)
      this.tasks.add(task)
      await task.run()
    } catch (err) {
      this.deps.decisions.record({ event: 'internal-error', why: err instanceof Error ? err.stack ?? err.message : String(err) })
      responseAbort.abortResponse(res)
    } finally {
      if (task !== undefined) this.tasks.delete(task)
    }
  }
}
