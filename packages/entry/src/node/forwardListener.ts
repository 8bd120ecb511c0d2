/** HTTP listener for requests that peers forward because they cannot reach targets themselves. */
import type * as http from 'node:http'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import type * as callGuard from '@rosemaryrack/protocol/node/callGuard.js'
import * as forwardHeaders from '../common/forwardHeaders.js'
import * as requestGuard from '../common/requestGuard.js'
import * as callerTask from './callerTask.js'
import * as faultResponse from './faultResponse.js'
import * as gracefulServer from './gracefulServer.js'
import * as requestOrigin from './requestOrigin.js'

/** The header limit of callers, and room for the headers that the peer adds. */
const limits = { maxHeaderBytes: 36_864, headersTimeoutMs: 10_000, keepAliveTimeoutMs: 5000 }
const declinedRetryAfterS = 1
const notRunKind = 'not-run' satisfies errors.ErrorKind
const receivedMetric = 'rosemaryrack_forwards_received_total'

/** Options of the listener. */
export interface ForwardListenerOptions {
  /** Seconds from the start of the shutdown until the process is killed. */
  readonly graceS: number
  /** Forwarded requests that run at a time; further ones are declined, so that the own callers are served. */
  readonly maxConcurrent: number
  /** What each request must present. */
  readonly identity: callGuard.InnerIdentity
  readonly configVersion: () => number
}

/** Why a request is declined. */
interface Decline {
  readonly reason: string
  readonly fault: errors.Fault
}

/** Serves peers until it is stopped. */
export class ForwardListener {
  private readonly server: gracefulServer.GracefulServer
  private running = 0

  constructor (private readonly options: ForwardListenerOptions, private readonly deps: callerTask.CallerDeps) {
    this.server = new gracefulServer.GracefulServer(limits, options.graceS, deps.clock, deps.decisions, async (req, res) => await this.serve(req, res))
  }

  async listen (hostPort: string): Promise<void> {
    await this.server.listen(hostPort)
  }

  /** Number of requests whose response is not complete. */
  get inFlightCount (): number {
    return this.server.inFlightCount
  }

  /** Stops as `GracefulServer.stop` does; requests that still arrive are declined. */
  async stop (stoppingSince: number): Promise<void> {
    await this.server.stop(stoppingSince)
  }

  private async serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const rejection = this.findRejection(req)
    if (rejection !== undefined) return await this.decline(req, res, rejection)
    const info = forwardHeaders.parseInfo(req.headers)
    if (info === undefined) return await this.decline(req, res, malformed)
    const origin = requestOrigin.fromPeer(req, this.deps.headers, info)
    const decline = this.findDecline(info, origin)
    if (decline !== undefined) await this.decline(req, res, decline)
    else await this.run(req, res, info.sender, origin)
  }

  /** Checks token and cluster, before anything else of the request is used. */
  private findRejection ({ headers }: http.IncomingMessage): Decline | undefined {
    const { identity } = this.options
    const token = headers[forwardHeaders.tokenHeader]
    if (!secret.isAuthorized(typeof token === 'string' ? token : undefined, identity.token)) {
      return { reason: 'unauthorized', fault: { kind: 'unauthorized', message: 'the inner token is missing or wrong' } }
    }
    if (headers[forwardHeaders.clusterHeader] === identity.cluster) return undefined
    return { reason: 'wrong-cluster', fault: { kind: 'wrong-cluster', message: `expected cluster ${identity.cluster}` } }
  }

  private findDecline ({ configVersion }: forwardHeaders.ForwardInfo, { callerDeadlineAt }: requestOrigin.RequestOrigin): Decline | undefined {
    const { isStopping, reachability, startup } = this.deps
    const ownVersion = this.options.configVersion()
    if (isStopping()) return createDecline('stopping', 'this instance is stopping')
    // A request is forwarded once at most.
    if (reachability.isCutOff) return createDecline('cut-off', 'this instance cannot reach any target')
    if (!startup.isOver) return createDecline('starting', 'no configuration has been confirmed yet')
    if (ownVersion < configVersion) return createDecline('older-config', `the configuration ${ownVersion} is older than that of the sender, ${configVersion}`)
    if (callerDeadlineAt !== undefined && callerDeadlineAt <= performance.now()) return createDecline('no-time', 'the deadline has passed')
    if (this.running >= this.options.maxConcurrent) return createDecline('full', `${this.running} forwarded requests are running`)
    return undefined
  }

  private async run (req: http.IncomingMessage, res: http.ServerResponse, sender: string, origin: requestOrigin.RequestOrigin): Promise<void> {
    const { decisions, metrics } = this.deps
    metrics.count(receivedMetric, { outcome: 'accepted' })
    decisions.record({ event: 'forwarded', ...this.requestIdOf(req), choice: sender, why: 'a peer that cannot reach any target sent the request' })
    this.running++
    try {
      await this.server.run(new callerTask.CallerTask(req, res, origin, this.server, this.deps))
    } finally {
      this.running--
    }
  }

  private async decline (req: http.IncomingMessage, res: http.ServerResponse, { reason, fault }: Decline): Promise<void> {
    const { decisions, metrics, isStopping } = this.deps
    metrics.count(receivedMetric, { outcome: reason })
    decisions.record({ event: 'decline', ...this.requestIdOf(req), choice: reason, why: fault.message })
    const ended = new async.Deferred<void>()
    res.on('close', () => ended.resolve())
    // The parser reports the end of a request without a body only after this event.
    await async.nextTurn()
    if (res.destroyed) return
    const retryAfterS = errors.retryAfterSecondsOf(fault)
    const { connections } = this.server
    const announcesEnd = faultResponse.sendFault(req, res, fault, {
      headers: { [forwardHeaders.outcomeHeader]: forwardHeaders.declinedOutcome },
      retryAfter: retryAfterS === undefined ? undefined : String(retryAfterS),
      close: isStopping() && connections.canEndAfter(res),
      drainsBody: fault.kind === notRunKind
    })
    if (announcesEnd) connections.endAfter(res)
    await ended.promise
  }

  private requestIdOf (req: http.IncomingMessage): { readonly requestId?: string } {
    const requestId = req.headers[this.deps.headers.requestId]
    return typeof requestId === 'string' && requestGuard.isValidRequestId(requestId) ? { requestId } : {}
  }
}

const malformed: Decline = { reason: 'malformed', fault: { kind: 'bad-request', message: 'the headers of a forwarded request are incomplete' } }

function createDecline (reason: string, message: string): Decline {
  return { reason, fault: { kind: notRunKind, message, retryAfterS: declinedRetryAfterS } }
}
