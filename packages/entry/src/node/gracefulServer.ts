/** HTTP server that completes all responses before it stops. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as address from '@rosemaryrack/base/common/address.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as retryAfter from '../common/retryAfter.js'
import * as callerConnections from './callerConnections.js'
import type * as callerLimiter from './callerLimiter.js'

const noRequestTimeout = 0
/** Precision of the limit on the time of headers. */
const connectionsCheckingIntervalMs = 1000
const idlePollMs = 50
const msPerSecond = 1000
/**
 * Share of the grace period in which open connections still accept requests. The rest, more than half, is left for
 * completing these requests.
 */
const acceptShareOfGrace = 0.45
/** Share of the grace period after which a request is no longer started: its endpoint might not respond before the final responses. */
const startShareOfGrace = 0.5
/**
 * Share of the grace period after which requests without a response get a final one. The rest is left for sending the responses before the
 * process is killed.
 */
const finalResponseShareOfGrace = 0.9
/** Other instances can take the request at once. */
export const stoppingFault = { kind: 'not-run', message: 'the instance is stopping', retryAfterS: retryAfter.minRetryAfterS } as const satisfies errors.Fault

/** Limits on connections, in bytes and milliseconds. */
export interface ServerLimits {
  readonly maxHeaderBytes: number
  readonly headersTimeoutMs: number
  readonly keepAliveTimeoutMs: number
}

/** A request that is being served. */
export interface IRequestTask {
  readonly res: http.ServerResponse
  /** Resolves when the response has ended; rejects when an internal error left it open. */
  run(): Promise<void>
  /** Logs that the response is not complete and what it waits for. */
  recordIncomplete(): void
  /** Ends a request whose response has not begun with a final fault: the given one if the request has certainly not run. */
  endWithoutResponse(fault: errors.Fault): void
}

/** Serves requests until it is stopped. */
export class GracefulServer {
  private readonly server: http.Server
  /** After which response a connection ends. */
  readonly connections: callerConnections.CallerConnections
  private readonly tasks = new Set<IRequestTask>()
  /** Tasks that had no complete response shortly before the end of the grace period. */
  private readonly endedTasks = new WeakSet<IRequestTask>()
  private inFlight = 0
  /** When the shutdown began, on the clock. */
  private stoppingSince = Infinity

  /**
   * @param graceS seconds from the start of the shutdown until the process is killed.
   * @param serve resolves when the response has ended; rejects when an internal error left it open. It gets the fault of a request that must be refused.
   * @param limiter limits on callers; without it there are none.
   */
  constructor (limits: ServerLimits, private readonly graceS: number, private readonly clock: clock.IClock, private readonly decisions: decisionLog.IDecisionLog, private readonly serve: (req: http.IncomingMessage, res: http.ServerResponse, refusal: errors.Fault | undefined) => Promise<void>, limiter?: callerLimiter.CallerLimiter) {
    this.server = http.createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: noRequestTimeout,
      connectionsCheckingInterval: connectionsCheckingIntervalMs,
      keepAliveTimeout: limits.keepAliveTimeoutMs,
      noDelay: true
    })
    this.connections = new callerConnections.CallerConnections(this.server, decisions, {
      serve: (req, res, refusal) => { this.handleRequest(req, res, refusal) },
      end: (res, fault) => this.endRequest(res, fault)
    }, limiter)
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: net.Socket) => this.handleClientError(err, socket))
  }

  /** Changes the timeouts, for later requests. */
  setTimeouts ({ headersTimeoutMs, keepAliveTimeoutMs }: Pick<ServerLimits, 'headersTimeoutMs' | 'keepAliveTimeoutMs'>): void {
    this.server.headersTimeout = Math.min(headersTimeoutMs, clock.maxTimerMs)
    this.server.keepAliveTimeout = Math.min(keepAliveTimeoutMs, clock.maxTimerMs)
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

  /** True unless too little of the grace period is left for a request that has been received only now. */
  get canStartRequests (): boolean {
    return this.clock.now() <= this.stoppingSince + this.graceS * msPerSecond * startShareOfGrace
  }

  /**
   * Accepts no new connections and resolves when all responses are complete.
   * Idle connections stay open for the keep-alive timeout, since a request may be on its way on one of them. They are closed
   * early enough to complete such a request before the process is killed. Requests that have no response by then get a fault, since their
   * callers could not tell whether a killed process had run them.
   * @param stoppingSince when the shutdown began, on the clock.
   */
  async stop (stoppingSince: number): Promise<void> {
    this.stoppingSince = stoppingSince
    // A process that was busy or paused accepts and reads what has arrived meanwhile before it closes anything.
    await async.nextTurn()
    // The method of http.Server would close idle connections too.
    net.Server.prototype.close.call(this.server)
    await async.nextTurn()
    const idleCloseAt = Math.min(this.clock.now() + this.server.keepAliveTimeout, stoppingSince + this.graceS * msPerSecond * acceptShareOfGrace)
    while (this.clock.now() < idleCloseAt && (this.inFlight > 0 || this.connections.size > 0)) await this.waitForPoll()
    const finalResponsesAt = stoppingSince + this.graceS * msPerSecond * finalResponseShareOfGrace
    this.connections.closeIdle()
    await async.nextTurn()
    while (this.inFlight > 0) {
      if (this.clock.now() >= finalResponsesAt) {
        this.connections.stopReading()
        await this.endUnanswered()
      }
      this.connections.closeIdle()
      await this.waitForPoll()
    }
    this.server.closeAllConnections()
  }

  private waitForPoll (): Promise<void> {
    return new Promise((resolve) => { this.clock.after(idlePollMs, resolve) })
  }

  /** Ends the requests without a response with a final one, after reading the responses that have arrived. */
  private async endUnanswered (): Promise<void> {
    await async.nextTurn()
    for (const task of [...this.tasks].filter((each) => !this.endedTasks.has(each))) {
      this.endedTasks.add(task)
      task.recordIncomplete()
      task.endWithoutResponse(stoppingFault)
    }
  }

  /** Runs a task and ends it with a final fault if it has no response when the shutdown ends. */
  async run (task: IRequestTask): Promise<void> {
    this.tasks.add(task)
    try {
      await task.run()
    } finally {
      this.tasks.delete(task)
    }
  }

  private endRequest (res: http.ServerResponse, fault: errors.Fault): void {
    const task = [...this.tasks].find((each) => each.res === res)
    if (task === undefined) res.destroy()
    else task.endWithoutResponse(fault)
  }

  private handleClientError (err: NodeJS.ErrnoException, socket: net.Socket): void {
    const respond = (): void => httpListener.respondToClientError(err, socket)
    if (err.code !== httpListener.requestTimeoutCode || !this.connections.deferHeadTimeout(socket, this.server.headersTimeout, respond)) respond()
  }

  private async handleRequest (req: http.IncomingMessage, res: http.ServerResponse, refusal: errors.Fault | undefined): Promise<void> {
    this.inFlight++
    try {
      await this.serve(req, res, refusal)
    } catch (err) {
      this.decisions.record({ event: 'internal-error', why: err instanceof Error ? err.stack ?? err.message : String(err) })
      res.destroy()
    } finally {
      this.inFlight--
    }
  }
}
