/** Handles one request of a caller or a peer, from its headers to the end of its response. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as laneMatcher from '@rosemaryrack/routing/common/laneMatcher.js'
import * as quarantine from '@rosemaryrack/routing/common/quarantine.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as labelledLog from '@rosemaryrack/telemetry/common/labelledLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as forwardHeaders from '../common/forwardHeaders.js'
import * as headerRules from '../common/headerRules.js'
import * as orcaLoad from '../common/orcaLoad.js'
import * as requestGuard from '../common/requestGuard.js'
import * as retryAfter from '../common/retryAfter.js'
import * as responseCut from './responseCut.js'
import * as responseStream from './responseStream.js'
import * as responseWriter from './responseWriter.js'
import type * as bodyTransfers from './bodyTransfers.js'
import * as callerBody from './callerBody.js'
import type * as callerConnections from './callerConnections.js'
import * as downloadResumer from './downloadResumer.js'
import * as faultResponse from './faultResponse.js'
import * as gracefulServer from './gracefulServer.js'
import * as httpAttempt from './httpAttempt.js'
import type * as idempotencyClaims from './idempotencyClaims.js'
import type * as laneRegistry from './laneRegistry.js'
import type * as quotaGate from './quotaGate.js'
import * as requestAdmission from './requestAdmission.js'
import * as requestCount from './requestCount.js'
import * as requestIdentity from './requestIdentity.js'
import type * as requestOrigin from './requestOrigin.js'
import * as requestRun from './requestRun.js'
import * as startup from './startup.js'
import * as targetRequest from './targetRequest.js'
import type * as unframedResponses from './unframedResponses.js'
import type * as unreadResponses from './unreadResponses.js'
import type * as workspaceAuth from './workspaceAuth.js'

/** Final refusals of peers with which no endpoint has run the request. */
const unrunOutcomes: readonly string[] = ['quarantined', 'unauthorized', 'over-quota'] satisfies readonly errors.ErrorKind[]

/** Dependencies shared by all caller tasks. */
export interface CallerDeps extends requestRun.RunDeps {
  readonly endpoints: endpointTable.EndpointTable
  readonly claims: idempotencyClaims.IdempotencyClaims
  /** Resolves once the current updates on suspects are written to the streams of the peers; awaits no acknowledgement. */
  readonly waitForSuspectWrites: () => Promise<void>
  readonly metrics: metrics.Metrics
  readonly bodyTransfers: Pick<bodyTransfers.BodyTransfers, 'record'>
  readonly unframedResponses: Pick<unframedResponses.UnframedResponses, 'record'>
  readonly fractionalRetryAfter: boolean
  readonly startup: startup.Startup
  readonly auth: workspaceAuth.WorkspaceAuth
  readonly quotas: Pick<quotaGate.QuotaGate, 'admit'>
  readonly unreadResponses: Pick<unreadResponses.UnreadResponses, 'add'>
  /** True during graceful shutdown: the last response on a connection asks the caller to close it. */
  readonly isStopping: () => boolean
}

/** The server that has read the request. */
export interface ICallerServer {
  readonly connections: callerConnections.IConnectionEnds
  readonly canStartRequests: boolean
}

/** Handles one request; refuses it at once if it was given a fault. */
export class CallerTask implements gracefulServer.IRequestTask {
  private readonly requestId: string
  private readonly done = new async.Deferred<void>()
  private activeRun: requestRun.RequestRun | undefined
  private readonly admission: requestAdmission.RequestAdmission
  private laneName = 'none'
  /** Names the workspace once the request is authenticated. */
  private decisions: decisionLog.IDecisionLog
  private body: callerBody.CallerBody | undefined
  /** The response while its caller gets nothing of it before its end. */
  private bufferedStream: responseStream.ResponseStream | undefined

  constructor (private readonly req: http.IncomingMessage, readonly res: http.ServerResponse, private readonly origin: requestOrigin.RequestOrigin, private readonly server: ICallerServer, private readonly deps: CallerDeps, private readonly refusal?: errors.Fault) {
    const suppliedId = req.headers[deps.headers.requestId]
    this.admission = new requestAdmission.RequestAdmission(deps.quotas, () => this.isAnswered)
    const isUsable = typeof suppliedId === 'string' && requestGuard.isValidRequestId(suppliedId)
    this.decisions = deps.decisions
    this.requestId = isUsable ? suppliedId : crypto.randomUUID()
  }

  /** Resolves when the response has ended; rejects when an internal error left it open. */
  async run (): Promise<void> {
    this.res.on('close', () => {
      this.recordIncompleteClose()
      this.cancelRun()
      this.body?.release()
      this.done.resolve()
    })
    try {
      await (this.refusal === undefined ? this.handle() : faultResponse.throwAfterParsing(this.refusal))
    } catch (err) {
      this.refuse(errors.faultOf(err))
    }
    await this.done.promise
  }

  /**
   * Cancels the run, and releases the claim of a request that has no response and was certainly not run. The claim of a peer is released
   * only here: a peer that gets a response may send the request to another one.
   */
  private cancelRun (): void {
    this.admission.cancel()
    const isUnrun = this.activeRun?.cancel() ?? true
    if (!isUnrun || this.res.headersSent) return
    this.admission.release()
    const peerClaim = this.origin.forwarded?.claim
    if (peerClaim !== undefined) this.deps.claims.adopt(peerClaim).release()
  }

  /** Logs that the connection ended after the response had begun and before it was complete; a call logs the end before that. */
  private recordIncompleteClose (): void {
    const { res } = this
    if (!res.headersSent || res.writableFinished) return
    this.decisions.record({ event: 'cut', requestId: this.requestId, lane: this.laneName, ended: res.writableEnded, why: 'the connection of the caller ended before the response was complete' })
  }

  /** Logs that the response is not complete and what it waits for. */
  recordIncomplete (): void {
    this.decisions.record({ event: 'incomplete', requestId: this.requestId, lane: this.laneName, choice: this.pendingStep, ageMs: Math.round(performance.now() - this.origin.arrivedAt), why: 'the shutdown ends soon' })
  }

  endWithoutResponse (fault: errors.Fault): void {
    if (this.res.headersSent) return
    if (this.bufferedStream !== undefined) this.bufferedStream.breakOff(this.deps.isStopping() ? 'stopping' : 'stalled')
    else if (this.activeRun === undefined) this.refuse(fault)
    else this.activeRun.giveUp(fault.message)
  }

  /** What the response waits for. */
  private get pendingStep (): string {
    if (this.res.writableEnded) return 'caller to read'
    if (this.res.headersSent || this.bufferedStream !== undefined) return 'rest of the body'
    return this.activeRun?.awaitsResponse === true ? 'response of the target' : 'target'
  }

  private async handle (): Promise<void> {
    await this.waitForConfig()
    if (this.isAnswered) return
    if (!this.deps.lanes.hasConfig) throw startup.noConfigError('there is no configuration yet')
    const requestTarget = this.req.url ?? ''
    // The peer has checked a forwarded request, before it added headers.
    if (this.origin.forwarded === undefined) requestGuard.checkHeaderBytes(this.req.rawHeaders, this.deps.lanes.maxHeaderBytes)
    const path = requestGuard.parsePath(requestTarget)
    requestGuard.checkTransferCodings(this.req.headers['transfer-encoding'])
    const namedLane = this.limitAttempts(this.findLane(path))
    this.laneName = namedLane.name
    const { lane } = namedLane
    const access = this.authenticate(lane)
    // Checks of what the workspace may do, such as its quota, belong here: before the body is awaited or anything is queued.
    const limits = { maxBytes: lane.maxBodyBytes, progressTimeoutMs: lane.progressTimeoutMs, firstPartDueAt: this.deadlineAt(lane) }
    const context = { requestId: this.requestId, lane: namedLane.name }
    const couldStart = this.server.canStartRequests
    const body = await callerBody.CallerBody.open(this.req, limits, (transfer) => this.deps.bodyTransfers.record(context, transfer))
    this.body = body
    if (this.isAnswered) {
      body.release()
      return
    }
    // A request that was read late as a whole, after a pause of the process, is started all the same.
    if (couldStart && !this.server.canStartRequests) throw new errors.RackError(gracefulServer.stoppingFault)
    const identity = new requestIdentity.RequestIdentity(this.req.method ?? '', requestTarget, this.idempotencyKey ?? body.firstPart)
    this.refuseQuarantined(identity)
    const subject = { workspace: access.workspace, deadlineAt: this.deadlineAt(lane), canForward: this.origin.forwarded === undefined }
    await this.admission.take(subject, async () => await this.claimKey(namedLane))
    if (!this.isAnswered) this.startAdmittedRun(namedLane, access, identity, body)
  }

  /** Starts the run; releases what it was admitted with when an exception prevents that. */
  private startAdmittedRun (namedLane: laneRegistry.MatchedLane, access: workspaceAuth.RequestAccess, identity: requestIdentity.RequestIdentity, body: callerBody.CallerBody): void {
    try {
      this.startRun(namedLane, access, identity, body)
    } catch (err) {
      if (this.activeRun === undefined) this.admission.release()
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
    const { callerDeadlineAt } = this.origin
    if (await deps.startup.waitForConfig(callerDeadlineAt === undefined ? undefined : callerDeadlineAt - performance.now())) return
    throw startup.noConfigError('no configuration has been confirmed yet')
  }

  private findLane (path: string): laneRegistry.MatchedLane {
    const host = this.req.headers.host?.replace(/:\d+$/, '')
    const namedLane = this.deps.lanes.find(this.req.method ?? '', host, path)
    if (namedLane !== undefined) return namedLane
    throw new errors.RackError({ kind: 'no-lane', message: `no lane matches ${this.req.method ?? ''} ${requestGuard.abbreviate(path)}` })
  }

  /** Finds the caller's workspace by its API key. A request that a peer can take may go on without a verdict on its key. */
  private authenticate (lane: laneMatcher.NamedLane['lane']): workspaceAuth.RequestAccess {
    const { auth, reachability, decisions } = this.deps
    const access = auth.authenticate(this.req.rawHeaders, lane, this.origin.forwarded === undefined && reachability.isCutOff)
    const { workspace } = access
    if (workspace === undefined) return access
    decisions.recordWithoutLogging({ event: 'workspace', requestId: this.requestId, lane: this.laneName, choice: workspace.name, why: 'the API key of the request belongs to it' })
    this.decisions = new labelledLog.LabelledLog(decisions, { workspace: workspace.name })
    return access
  }

  /** Applies the limit on attempts that came with a forwarded request. */
  private limitAttempts (namedLane: laneRegistry.MatchedLane): laneRegistry.MatchedLane {
    const attemptsLeft = this.origin.forwarded?.attemptsLeft
    if (attemptsLeft === undefined || attemptsLeft >= namedLane.lane.maxAttempts) return namedLane
    return { ...namedLane, lane: { ...namedLane.lane, maxAttempts: attemptsLeft } }
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
    if (lane.idempotent || key === undefined || this.origin.forwarded?.isClaimed === true) return undefined
    return await this.deps.claims.claim(name, key, this.deadlineAt(lane))
  }

  /** Returns when the lane's deadline ends, which is at most the longest timer, or the caller's when that is earlier. */
  private deadlineAt ({ deadlineMs }: { readonly deadlineMs: number }): number {
    return Math.min(this.origin.arrivedAt + Math.min(deadlineMs, clock.maxTimerMs), this.origin.callerDeadlineAt ?? Infinity)
  }

  private buildTargetReq ({ lane }: laneMatcher.NamedLane, access: workspaceAuth.RequestAccess, body: callerBody.CallerBody, extraHeaders: readonly string[]): httpAttempt.TargetReq {
    const { requestId, origin: { forwardedFor } } = this
    const options = { requestId, forwardedFor, deadlineAt: this.deadlineAt(lane), idempotent: lane.idempotent, headerNames: this.deps.headers }
    return targetRequest.buildTargetReq(this.req, body, access, extraHeaders, options)
  }

  private startRun (namedLane: laneRegistry.MatchedLane, access: workspaceAuth.RequestAccess, identity: requestIdentity.RequestIdentity, body: callerBody.CallerBody): void {
    const { lanes } = this.deps
    const service = lanes.chooseService(namedLane)
    const { state } = namedLane
    const { arrivedAt, forwarded } = this.origin
    const spec = {
      namedLane,
      workspace: access.workspace,
      findRefusal: access.findRefusal,
      service,
      token: this.admission.token,
      laneState: state,
      budgets: lanes.budgetsOf(state, service),
      count: new requestCount.RequestCount(lanes, state, service, forwarded?.isCounted === true),
      identity,
      body,
      canForward: forwarded === undefined,
      claim: this.admission.claimId
    }
    const run = (target: Pick<requestRun.RunSpec, 'req' | 'arrivedAt' | 'excludedEndpoints'>, listener: requestRun.IRunListener): void => {
      this.activeRun = new requestRun.RequestRun({ ...spec, ...target, connection: this.origin.connection }, this.deps, listener)
      this.activeRun.start()
    }
    const fetchRest: downloadResumer.RestFetcher = (headers, excludedEndpoints, listener) => {
      this.admission.token.recordRepeat()
      run({ req: this.buildTargetReq(namedLane, access, body, headers), arrivedAt: performance.now(), excludedEndpoints }, listener)
    }
    run({ req: this.buildTargetReq(namedLane, access, body, []), arrivedAt, excludedEndpoints: [] }, {
      onResponse: (response) => {
        body.release()
        if (unrunOutcomes.includes(response.outcome)) this.admission.releaseClaim()
        this.passOn(response, identity, () => this.sendResponse(namedLane, body, response, fetchRest, identity))
      },
      onFailed: (fault) => {
        if (fault.kind === 'not-run') this.admission.release()
        if (fault.kind === 'quarantined') this.admission.releaseClaim()
        this.refuseAfterSuspectWrites(identity, body.fault ?? fault)
      }
    })
  }

  /** Passes a response on. The call has ended with it, so that no deadline ends the request when that fails. */
  private passOn (response: requestRun.RunResponse, identity: requestIdentity.RequestIdentity, send: () => void): void {
    try {
      send()
    } catch (err) {
      const message = `the response could not be passed on: ${errors.messageOf(err)}`
      this.decisions.record({ event: 'refuse', requestId: this.requestId, lane: this.laneName, choice: response.source, why: message })
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

  private sendResponse ({ lane, state }: laneRegistry.MatchedLane, body: callerBody.CallerBody, response: requestRun.RunResponse, fetchRest: downloadResumer.RestFetcher, identity: requestIdentity.RequestIdentity): void {
    const { attempt, head, endpoint, source } = response
    if (endpoint !== undefined && lane.weights.reportedLoad > 0) this.recordReportedLoad(endpoint, head)
    const writer = this.openWriter(response, body, identity)
    const limits = { progressTimeoutMs: lane.progressTimeoutMs, deadlineAt: this.deadlineAt(lane) }
    const stream = new responseStream.ResponseStream(this.res, writer, attempt, limits, this.newResumer(lane.idempotent && body.isReplayable, response, fetchRest), (end, bytes) => {
      deleteUnread?.()
      if (endpoint !== undefined) state.domainPreference.recordResponseSize(bytes)
      if (!head.isFramed) this.deps.unframedResponses.record({ requestId: this.requestId, lane: this.laneName, source, status: head.status, bytes, end, connection: attempt.connectionState })
      if (end !== 'complete') this.recordCut(end, source)
      // Without a head a refusal follows, whose end resolves it.
      if (this.res.headersSent || this.res.destroyed) this.done.resolve()
      if (end === 'complete' && !body.isReceived) callerBody.discardRestOf(this.req, body, (why) => this.decisions.record({ event: 'close', requestId: this.requestId, lane: this.laneName, why }))
    })
    const deleteUnread = endpoint === undefined ? undefined : this.deps.unreadResponses.add(endpoint.service, stream)
    if (!this.res.headersSent) this.bufferedStream = stream
    attempt.pipe(stream)
  }

  private openWriter (response: requestRun.RunResponse, body: callerBody.CallerBody, identity: requestIdentity.RequestIdentity): responseWriter.IResponseWriter {
    if (!this.needsLength(response.head)) {
      this.sendHead(response, body)
      return new responseWriter.StreamingWriter(this.res)
    }
    return new responseWriter.BufferingWriter(this.res, {
      send: (content) => this.passOn(response, identity, () => {
        this.sendHead(response, body, ['Content-Length', String(content.length)])
        this.res.end(content)
      }),
      refuse: (reason) => this.refuse(responseCut.cutFault(reason))
    })
  }

  private recordCut (reason: responseCut.CutReason, source: string): void {
    const { decisions, deps: { metrics } } = this
    // The peer counts a forwarded request as its caller's.
    if (this.origin.forwarded === undefined) metrics.count('rosemaryrack_cut_responses_total', { lane: this.laneName, reason })
    const why = responseCut.cutMessages[reason]
    if (why !== undefined) decisions.record({ event: 'cut', requestId: this.requestId, lane: this.laneName, choice: source, why })
  }

  private newResumer (canRunAgain: boolean, { head, source }: requestRun.RunResponse, fetchRest: downloadResumer.RestFetcher): downloadResumer.DownloadResumer | undefined {
    const validator = downloadResumer.validatorOf(head)
    if (!canRunAgain || this.req.method !== 'GET' || validator === undefined) return undefined
    return new downloadResumer.DownloadResumer(validator, source, fetchRest)
  }

  private recordReportedLoad (endpoint: endpointTable.Endpoint, head: httpAttempt.HttpHead): void {
    const report = head.headers[headerRules.orcaLoadHeader]
    const load = typeof report === 'string' ? orcaLoad.parseUtilization(report) : undefined
    if (load !== undefined) this.deps.endpoints.updateLoad(endpoint.endpoint, load)
  }

  /** @param extraHeaders flat list of names and values. */
  private sendHead ({ head, outcome }: requestRun.RunResponse, body: callerBody.CallerBody, extraHeaders: readonly string[] = []): void {
    const { res } = this
    const { requestId } = this.deps.headers
    const headers = headerRules.forwardableHeaders(head.rawHeaders, head.headers.connection, new Set([requestId]))
    headers.push(requestId, this.requestId, ...extraHeaders)
    if (this.origin.forwarded !== undefined) headers.push(...forwardHeaders.formatAnswer(head.isFramed))
    const announcesEnd = !body.hasShortRest || this.endsWhileStopping
    if (announcesEnd) headers.push('Connection', 'close')
    res.writeHead(head.status, headers)
    if (announcesEnd) this.server.connections.endAfter(res)
    this.countOutcome(outcome)
  }

  /** True if the connection ends with this response because the process is stopping. */
  private get endsWhileStopping (): boolean {
    return this.deps.isStopping() && this.server.connections.canEndAfter(this.res)
  }

  /** True if the end of the connection would mark that of the body: an HTTP/1.0 caller gets no chunks. */
  private needsLength ({ status, headers }: httpAttempt.HttpHead): boolean {
    return !this.res.useChunkedEncodingByDefault && headers['content-length'] === undefined && headerRules.canHaveBody(this.req.method, status)
  }

  private refuse (fault: errors.Fault): void {
    const { res } = this
    if (res.writableEnded) return
    this.countOutcome(fault.kind)
    this.recordRefusal(fault)
    if (res.headersSent || res.destroyed) {
      res.destroy()
      return
    }
    const retryAfterS = errors.retryAfterSecondsOf(fault)
    const announcesEnd = faultResponse.sendFault(this.req, res, fault, {
      headers: { [this.deps.headers.requestId]: this.requestId, ...this.forwardOutcome(fault), ...faultResponse.challengeOf(fault) },
      retryAfter: retryAfterS === undefined ? undefined : this.formatRetryAfter(retryAfterS),
      close: this.endsWhileStopping,
      drainsBody: this.origin.forwarded !== undefined
    })
    if (announcesEnd) this.server.connections.endAfter(res)
  }

  /** Returns the headers that tell a peer how its forwarded request ended. */
  private forwardOutcome ({ kind }: errors.Fault): Readonly<Record<string, string>> {
    if (this.origin.forwarded === undefined) return {}
    return { [forwardHeaders.outcomeHeader]: kind, [forwardHeaders.attemptsHeader]: String(this.activeRun?.sentAttempts ?? 0) }
  }

  private formatRetryAfter (seconds: number): string {
    const { callerDeadlineAt } = this.origin
    const remainingMs = callerDeadlineAt === undefined ? undefined : callerDeadlineAt - performance.now()
    return retryAfter.formatRetryAfter(seconds, { fractional: this.deps.fractionalRetryAfter, remainingMs, random: this.deps.random.next() })
  }

  /** Records a refusal before a run was started; a run records its own. */
  private recordRefusal (fault: errors.Fault): void {
    if (this.activeRun !== undefined) return
    this.decisions.record({ event: 'refuse', requestId: this.requestId, lane: this.laneName, choice: fault.kind, why: fault.message })
  }

  private countOutcome (outcome: string): void {
    const { metrics } = this.deps
    // The peer counts a forwarded request as its caller's.
    if (this.origin.forwarded !== undefined) return
    metrics.count('rosemaryrack_requests_total', { lane: this.laneName, outcome })
    metrics.recordLatency('rosemaryrack_latency_seconds', { lane: this.laneName }, performance.now() - this.origin.arrivedAt)
  }
}
