/** Handles one caller's request, from its headers to the end of its response. */
import * as crypto from 'node:crypto'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'
import type * as budget from '@rosemaryrack/routing/common/budget.js'
import * as call from '@rosemaryrack/routing/common/call.js'
import type * as callSpec from '@rosemaryrack/routing/common/callSpec.js'
import type * as crashDetection from '@rosemaryrack/routing/common/crashDetection.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as laneMatcher from '@rosemaryrack/routing/common/laneMatcher.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as quarantine from '@rosemaryrack/routing/common/quarantine.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as headerRules from '../common/headerRules.js'
import * as orcaLoad from '../common/orcaLoad.js'
import * as requestGuard from '../common/requestGuard.js'
import * as responseAbort from './responseAbort.js'
import * as responseStream from './responseStream.js'
import * as callerBody from './callerBody.js'
import * as downloadResumer from './downloadResumer.js'
import * as httpAttempt from './httpAttempt.js'
import * as httpProber from './httpProber.js'
import type * as idempotencyClaims from './idempotencyClaims.js'
import type * as laneRegistry from './laneRegistry.js'
import * as requestIdentity from './requestIdentity.js'
import type * as startup from './startup.js'
import type * as targetConnections from './targetConnections.js'

const notReadyRetryAfterS = 1
const msPerSecond = 1000
/** Largest `Retry-After`, as a share of the caller's remaining time; callers do not follow longer ones, which leave too little time for a retry. */
const maxRetryAfterShare = 1 / 3
/** Shortest fractional `Retry-After`, in seconds. */
const minRetryAfterS = 0.01
/** Other instances can take the request at once. */
const stoppingFault = { kind: 'not-run', message: 'the instance is stopping', retryAfterS: minRetryAfterS } as const

/** Dependencies shared by all caller tasks. */
export interface CallerDeps {
  readonly lanes: laneRegistry.LaneRegistry
  readonly connections: targetConnections.TargetConnections
  readonly notices: endpointNotices.IEndpointNotices
  readonly endpoints: endpointTable.EndpointTable
  readonly suspects: suspectTable.SuspectTable
  readonly crashDetector: crashDetection.CrashDetector
  readonly claims: idempotencyClaims.IdempotencyClaims
  /** Resolves once the current updates on suspects are written to the streams of the peers; awaits no acknowledgement. */
  readonly waitForSuspectWrites: () => Promise<void>
  readonly decisions: decisionLog.IDecisionLog
  readonly metrics: metrics.Metrics
  readonly clock: clock.IClock
  readonly random: balancingPolicy.IRandom
  readonly headers: settings.HeaderNames
  readonly fractionalRetryAfter: boolean
  readonly probing: loadProbing.ProbingOptions | undefined
  readonly startup: startup.Startup
  /** True during graceful shutdown: responses ask callers to close their connections. */
  readonly isStopping: () => boolean
}

/** Handles one request. */
export class CallerTask {
  private readonly arrivedAt = performance.now()
  private readonly requestId: string
  private readonly done = new async.Deferred<void>()
  private activeCall: call.Call | undefined
  private laneName = 'none'

  constructor (private readonly req: http.IncomingMessage, private readonly res: http.ServerResponse, private readonly deps: CallerDeps) {
    const suppliedId = req.headers[deps.headers.requestId]
    const isUsable = typeof suppliedId === 'string' && requestGuard.isValidRequestId(suppliedId)
    this.requestId = isUsable ? suppliedId : crypto.randomUUID()
  }

  /** Resolves when the response has ended; rejects when an internal error left it open. */
  async run (): Promise<void> {
    this.res.on('close', () => {
      this.recordIncompleteClose()
      this.activeCall?.cancel()
      this.done.resolve()
    })
    try {
      await this.handle()
    } catch (err) {
      this.refuse(errors.faultOf(err))
    }
    await this.done.promise
  }

  /** Logs that the connection ended after the response had begun and before it was complete; a call logs the end before that. */
  private recordIncompleteClose (): void {
    const { res } = this
    if (!res.headersSent || res.writableFinished) return
    this.deps.decisions.record({ event: 'cut', requestId: this.requestId, lane: this.laneName, ended: res.writableEnded, why: 'the connection of the caller ended before the response was complete' })
  }

  /** Logs that the response is not complete and what it waits for. */
  recordIncomplete (): void {
    this.deps.decisions.record({ event: 'incomplete', requestId: this.requestId, lane: this.laneName, choice: this.pendingStep, ageMs: Math.round(performance.now() - this.arrivedAt), why: 'the shutdown ends soon' })
  }

  /** Ends a request whose response has not begun with a final fault, because the process is about to be killed. */
  endWithoutResponse (): void {
    if (this.res.headersSent) return
    if (this.activeCall === undefined) this.refuse(stoppingFault)
    else this.activeCall.giveUp(stoppingFault.message)
  }

  /** What the response waits for. */
  private get pendingStep (): string {
    if (this.res.writableEnded) return 'caller to read'
    if (this.res.headersSent) return 'rest of the body'
    return this.activeCall?.awaitsResponse === true ? 'response of the target' : 'target'
  }

  private async handle (): Promise<void> {
    await this.waitForConfig()
    if (this.isAnswered) return
    const requestTarget = this.req.url ?? ''
    requestGuard.checkHeaderBytes(this.req.rawHeaders, this.deps.lanes.maxHeaderBytes)
    const path = requestGuard.parsePath(requestTarget)
    const namedLane = this.findLane(path)
    this.laneName = namedLane.name
    const { lane } = namedLane
    const body = await callerBody.CallerBody.open(this.req, { maxBytes: lane.maxBodyBytes, progressTimeoutMs: lane.progressTimeoutMs })
    const identity = new requestIdentity.RequestIdentity(this.req.method ?? '', requestTarget, this.idempotencyKey ?? body.buffered)
    this.refuseQuarantined(identity)
    const claim = await this.claimKey(namedLane)
    if (this.isAnswered) claim?.release()
    else this.startClaimedCall(namedLane, identity, body, claim)
  }

  /** Starts the call; releases the claim of its key when an exception prevents that. */
  private startClaimedCall (namedLane: laneRegistry.MatchedLane, identity: requestIdentity.RequestIdentity, body: callerBody.CallerBody, claim: idempotencyClaims.Claim | undefined): void {
    try {
      this.startCall(namedLane, identity, body, this.buildTargetReq(namedLane, body, []), claim)
    } catch (err) {
      if (this.activeCall === undefined) claim?.release()
      throw err
    }
  }

  /** True once the caller has left or got the whole response. */
  private get isAnswered (): boolean {
    return this.res.destroyed || this.res.writableEnded
  }

  /** Holds the request while this instance has just started and no configuration is confirmed yet. */
  private async waitForConfig (): Promise<void> {
    const { deps } = this
    if (deps.startup.isOver) return
    const callerDeadlineMs = Number(this.req.headers[deps.headers.deadline] ?? NaN)
    if (await deps.startup.waitForConfig(callerDeadlineMs > 0 ? callerDeadlineMs : undefined)) return
    throw new errors.RackError({ kind: 'not-run', message: 'no configuration has been confirmed yet', retryAfterS: notReadyRetryAfterS })
  }

  private findLane (path: string): laneRegistry.MatchedLane {
    const host = this.req.headers.host?.replace(/:\d+$/, '')
    const namedLane = this.deps.lanes.find(this.req.method ?? '', host, path)
    if (namedLane !== undefined) return namedLane
    throw new errors.RackError({ kind: 'no-lane', message: `no lane matches ${this.req.method ?? ''} ${path}` })
  }

  private refuseQuarantined (identity: requestIdentity.RequestIdentity): void {
    if (quarantine.getSuspectStatus(this.deps.suspects, identity) === 'quarantined') throw new errors.RackError(quarantine.quarantinedFault())
  }

  private get idempotencyKey (): string | undefined {
    const key = this.req.headers[headerRules.idempotencyKeyHeader]
    return typeof key === 'string' ? key : undefined
  }

  private async claimKey ({ name, lane }: laneMatcher.NamedLane): Promise<idempotencyClaims.Claim | undefined> {
    const key = this.idempotencyKey
    if (lane.idempotent || key === undefined) return undefined
    return await this.deps.claims.claim(name, key, this.deadlineAt(lane))
  }

  /** Returns when the lane's deadline ends, or the caller's when that is earlier. */
  private deadlineAt ({ deadlineMs }: { readonly deadlineMs: number }): number {
    const callerDeadlineMs = Number(this.req.headers[this.deps.headers.deadline] ?? NaN)
    const ms = Number.isFinite(callerDeadlineMs) && callerDeadlineMs > 0 ? Math.min(callerDeadlineMs, deadlineMs) : deadlineMs
    return this.arrivedAt + ms
  }

  private buildTargetReq ({ lane }: laneMatcher.NamedLane, body: callerBody.CallerBody, extraHeaders: readonly string[]): httpAttempt.TargetReq {
    const { req } = this
    const headerNames = this.deps.headers
    const replaced = new Set([headerNames.requestId, headerNames.deadline, headerNames.expectedEndpoint ?? '', 'content-length', 'x-forwarded-for'])
    const headers = headerRules.forwardableHeaders(req.rawHeaders, req.headers.connection, replaced)
    headers.push(headerNames.requestId, this.requestId, 'x-forwarded-for', this.forwardedFor())
    const length = req.headers['content-length']
    if (!body.isFullyBuffered && length !== undefined) headers.push('content-length', length)
    return {
      method: req.method ?? 'GET',
      requestTarget: req.url ?? '/',
      headers: [...headers, ...extraHeaders],
      body,
      deadlineAt: this.deadlineAt(lane),
      idempotent: lane.idempotent,
      requestId: this.requestId,
      headerNames
    }
  }

  private forwardedFor (): string {
    const received = this.req.headers['x-forwarded-for']
    const callerAddress = this.req.socket.remoteAddress ?? 'unknown'
    return typeof received === 'string' ? `${received}, ${callerAddress}` : callerAddress
  }

  private startCall (namedLane: laneRegistry.MatchedLane, identity: requestIdentity.RequestIdentity, body: callerBody.CallerBody, targetReq: httpAttempt.TargetReq, claim: idempotencyClaims.Claim | undefined): void {
    const service = this.deps.lanes.chooseService(namedLane)
    const budgets = this.deps.lanes.countRequestAndGetBudgets(namedLane.state, service)
    const runCall = (req: httpAttempt.TargetReq, arrivedAt: number, avoidedEndpoints: readonly string[], listener: callSpec.ICallListener): void => {
      this.activeCall = new call.Call({
        requestId: this.requestId,
        laneName: namedLane.name,
        lane: namedLane.lane,
        arrivedAt,
        deadlineAt: req.deadlineAt,
        identity,
        replayable: () => body.isReplayable,
        excludedEndpoints: avoidedEndpoints
      }, this.buildCallDeps(service, namedLane.state, budgets, req), listener)
      this.activeCall.start()
    }
    const fetchRest: downloadResumer.RestFetcher = (headers, avoidedEndpoints, listener) => {
      const now = performance.now()
      runCall({ ...this.buildTargetReq(namedLane, body, headers), deadlineAt: now + namedLane.lane.deadlineMs }, now, avoidedEndpoints, listener)
    }
    runCall(targetReq, this.arrivedAt, [], {
      onResponse: (response) => this.passOn(response, identity, () => this.sendResponse(namedLane, body, response, fetchRest)),
      onFailed: (fault) => {
        if (fault.kind === 'not-run' || fault.kind === 'quarantined') claim?.release()
        this.refuseAfterSuspectWrites(identity, body.fault ?? fault)
      }
    })
  }

  /** Passes a response on. The call has ended with it, so that no deadline ends the request when that fails. */
  private passOn (response: callSpec.CallResponse, identity: requestIdentity.RequestIdentity, send: () => void): void {
    try {
      send()
    } catch (err) {
      const message = `the response could not be passed on: ${errors.messageOf(err)}`
      this.deps.decisions.record({ event: 'refuse', requestId: this.requestId, lane: this.laneName, choice: response.endpoint.endpoint, why: message })
      response.attempt.cancel()
      this.refuseAfterSuspectWrites(identity, { kind: 'unknown', message, timedOut: false })
    }
  }

  /** Sends peers the update that the request crashed targets before the response, since the caller may resend it right after. */
  private async refuseAfterSuspectWrites (identity: requestIdentity.RequestIdentity, fault: errors.Fault): Promise<void> {
    try {
      if (fault.kind === 'unknown' && quarantine.getSuspectStatus(this.deps.suspects, identity) !== 'clear') await this.deps.waitForSuspectWrites()
      this.refuse(fault)
    } catch (err) {
      this.done.reject(err as Error)
    }
  }

  private buildCallDeps (service: string, { latency, domainPreference }: laneRegistry.LaneState, budgets: budget.LaneBudgets, req: httpAttempt.TargetReq): callSpec.CallDeps {
    const { lanes, connections, notices, suspects, crashDetector, decisions } = this.deps
    return {
      dispatcher: lanes.dispatcherOf(service),
      transport: new httpAttempt.HttpTransport(req, connections, notices),
      suspects,
      crashDetector,
      budgets,
      latency,
      domainPreference,
      probing: this.probingFor(service),
      decisions,
      clock: this.deps.clock,
      random: this.deps.random
    }
  }

  private probingFor (service: string): callSpec.CallDeps['probing'] {
    const { lanes, connections, notices, probing, headers } = this.deps
    const healthPath = lanes.healthPathOf(service)
    if (probing === undefined || headers.slotLoad === undefined || healthPath === undefined) return undefined
    const prober = new httpProber.HttpProber({ healthPath, names: headers, connections, notices })
    return {
      deps: { dispatcher: lanes.dispatcherOf(service), prober, budget: lanes.probeBudgetOf(service), clock: this.deps.clock },
      options: probing
    }
  }

  private sendResponse ({ lane, state }: laneRegistry.MatchedLane, body: callerBody.CallerBody, response: callSpec.CallResponse, fetchRest: downloadResumer.RestFetcher): void {
    const attempt = response.attempt as httpAttempt.HttpAttempt
    const head = response.head as httpAttempt.HttpHead
    if (lane.weights.reportedLoad > 0) this.recordReportedLoad(response.endpoint, head)
    this.sendHead(head, body)
    this.countOutcome('answered')
    const stream = new responseStream.ResponseStream(this.res, attempt, lane.progressTimeoutMs, this.newResumer(lane.idempotent, response, fetchRest), (end, bytes) => {
      state.domainPreference.recordResponseSize(bytes)
      if (end === 'broken') this.deps.decisions.record({ event: 'cut', requestId: this.requestId, lane: this.laneName, choice: response.endpoint.endpoint, why: 'the response of the target was incomplete' })
      this.done.resolve()
      if (end === 'complete' && !body.isFullyBuffered) this.discardRest(body)
    })
    attempt.pipe(stream)
  }

  /** Reads the rest of a request body that the target did not wait for, so that the next request of the connection can be read. */
  private async discardRest (body: callerBody.CallerBody): Promise<void> {
    const { req } = this
    // Node.js ends a request with its connection only until the response is complete.
    const endWithConnection = (): void => { req.destroy() }
    req.socket.once('close', endWithConnection)
    try {
      await body.discardRest()
    } catch (err) {
      if (!req.socket.destroyed) this.deps.decisions.record({ event: 'close', requestId: this.requestId, lane: this.laneName, why: errors.messageOf(err) })
      req.destroy()
    } finally {
      req.socket.off('close', endWithConnection)
    }
  }

  private newResumer (idempotent: boolean, response: callSpec.CallResponse, fetchRest: downloadResumer.RestFetcher): downloadResumer.DownloadResumer | undefined {
    const validator = downloadResumer.validatorOf(response.head as httpAttempt.HttpHead)
    if (!idempotent || this.req.method !== 'GET' || validator === undefined) return undefined
    return new downloadResumer.DownloadResumer(validator, response.endpoint.endpoint, fetchRest)
  }

  private recordReportedLoad (endpoint: endpointTable.Endpoint, head: httpAttempt.HttpHead): void {
    const report = head.headers[headerRules.orcaLoadHeader]
    const load = typeof report === 'string' ? orcaLoad.parseUtilization(report) : undefined
    if (load !== undefined) this.deps.endpoints.updateLoad(endpoint.endpoint, load)
  }

  private sendHead (head: httpAttempt.HttpHead, body: callerBody.CallerBody): void {
    const { res } = this
    const { requestId } = this.deps.headers
    const headers = headerRules.forwardableHeaders(head.rawHeaders, head.headers.connection, new Set([requestId]))
    headers.push(requestId, this.requestId)
    if (this.deps.isStopping() || !body.hasShortRest) headers.push('Connection', 'close')
    res.writeHead(head.status, headers)
  }

  private refuse (fault: errors.Fault): void {
    const { res } = this
    if (res.writableEnded) return
    this.countOutcome(fault.kind)
    this.recordRefusal(fault)
    if (res.headersSent || res.destroyed) {
      responseAbort.abortResponse(res)
      return
    }
    const body = JSON.stringify(errors.bodyOf(fault))
    res.setHeader('Content-Type', 'application/json')
    res.setHeader('Content-Length', Buffer.byteLength(body))
    res.setHeader(this.deps.headers.requestId, this.requestId)
    res.setHeader(headerRules.outcomeHeader, fault.kind)
    const retryAfterS = errors.retryAfterSecondsOf(fault)
    if (retryAfterS !== undefined) res.setHeader('Retry-After', this.formatRetryAfter(retryAfterS))
    // The unread rest of the body would be parsed as the next request.
    if (!this.req.complete || this.deps.isStopping()) res.setHeader('Connection', 'close')
    const status = errors.statusOf(fault)
    // Without a reason phrase, the one of a head that could not be sent would remain.
    res.writeHead(status, http.STATUS_CODES[status])
    res.end(this.req.method === 'HEAD' ? undefined : body)
    if (!this.req.complete) closeAfterResponse(this.req.socket)
  }

  /** Returns the value of `Retry-After`. If the caller sent a deadline, the value is limited so that a retry is still possible before it. */
  private formatRetryAfter (seconds: number): string {
    const callerDeadlineMs = Number(this.req.headers[this.deps.headers.deadline] ?? NaN)
    if (!this.deps.fractionalRetryAfter || !(callerDeadlineMs > 0)) return String(Math.ceil(seconds))
    const remainingS = (this.arrivedAt + callerDeadlineMs - performance.now()) / msPerSecond
    return Math.max(minRetryAfterS, Math.min(seconds, remainingS * maxRetryAfterShare)).toFixed(3)
  }

  /** Records a refusal before a call was started; a call records its own. */
  private recordRefusal (fault: errors.Fault): void {
    if (this.activeCall !== undefined) return
    this.deps.decisions.record({ event: 'refuse', requestId: this.requestId, lane: this.laneName, choice: fault.kind, why: fault.message })
  }

  private countOutcome (outcome: string): void {
    const { metrics } = this.deps
    metrics.count('rosemaryrack_requests_total', { lane: this.laneName, outcome })
    metrics.recordLatency('rosemaryrack_latency_seconds', { lane: this.laneName }, performance.now() - this.arrivedAt)
  }
}

/**
 * Reads and discards the rest of a refused request for a moment before the connection is closed, so that the caller can
 * read the response.
 */
function closeAfterResponse (socket: net.Socket): void {
  const lingerMs = 500
  socket.resume()
  setTimeout(() => socket.destroy(), lingerMs).unref()
}
