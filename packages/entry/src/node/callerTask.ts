/** The task of one caller's request, from its head to the end of its answer. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'
import type * as budget from '@rosemaryrack/routing/common/budget.js'
import * as call from '@rosemaryrack/routing/common/call.js'
import type * as deathWatch from '@rosemaryrack/routing/common/deathWatch.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as laneMatcher from '@rosemaryrack/routing/common/laneMatcher.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as requestStanding from '@rosemaryrack/routing/common/requestStanding.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as headerRules from '../common/headerRules.js'
import * as orcaLoad from '../common/orcaLoad.js'
import * as requestGuard from '../common/requestGuard.js'
import * as answerStream from './answerStream.js'
import * as callerBody from './callerBody.js'
import * as downloadResumer from './downloadResumer.js'
import * as httpAttempt from './httpAttempt.js'
import * as httpProber from './httpProber.js'
import type * as idempotencyClaims from './idempotencyClaims.js'
import type * as laneRegistry from './laneRegistry.js'
import * as requestIdentity from './requestIdentity.js'
import type * as startup from './startup.js'
import type * as targetConnections from './targetConnections.js'

const comeBackS = 1
const msPerSecond = 1000
/** Share of what is left of the caller's time that it may be asked to stay away for; longer times are not heeded. */
const maxAwayShare = 1 / 3
/** Shortest time for which a caller is asked to stay away, in seconds. */
const minAwayS = 0.01

/** What caller tasks share. */
export interface CallerDeps {
  readonly lanes: laneRegistry.LaneRegistry
  readonly connections: targetConnections.TargetConnections
  readonly notices: endpointNotices.IEndpointNotices
  readonly endpoints: endpointTable.EndpointTable
  readonly suspects: suspectTable.SuspectTable
  readonly deaths: deathWatch.DeathWatch
  readonly claims: idempotencyClaims.IdempotencyClaims
  /** Resolves once peers are being told what is known of suspects; waits for none of them. */
  readonly suspectNewsWritten: () => Promise<void>
  readonly decisions: decisionLog.IDecisionLog
  readonly metrics: metrics.Metrics
  readonly clock: clock.IClock
  readonly random: balancingPolicy.IRandom
  readonly headers: settings.HeaderNames
  readonly fractionalRetryAfter: boolean
  readonly probing: loadProbing.ProbingOptions | undefined
  readonly startup: startup.Startup
  /** True while this instance stops: answers ask callers to close. */
  readonly isStopping: () => boolean
}

/** Handles one request; never rejects. */
export class CallerTask {
  private readonly arrivedAt = performance.now()
  private readonly requestId: string
  private readonly done = new async.Deferred<void>()
  private running: call.Call | undefined
  private laneName = 'none'

  constructor (private readonly req: http.IncomingMessage, private readonly res: http.ServerResponse, private readonly deps: CallerDeps) {
    const given = req.headers[deps.headers.requestId]
    const usable = typeof given === 'string' && requestGuard.isRequestId(given)
    this.requestId = usable ? given : crypto.randomUUID()
  }

  /** Resolves when the answer has ended. */
  async run (): Promise<void> {
    this.res.on('close', () => {
      this.running?.cancel()
      this.done.resolve()
    })
    try {
      await this.route()
    } catch (err) {
      this.refuse(errors.faultOf(err))
    }
    await this.done.promise
  }

  private async route (): Promise<void> {
    await this.awaitConfig()
    if (this.res.closed) return
    const target = this.req.url ?? ''
    requestGuard.checkHeaderBytes(this.req.rawHeaders, this.deps.lanes.maxHeaderBytes)
    const path = requestGuard.pathOf(target)
    const named = this.findLane(path)
    this.laneName = named.name
    const { lane } = named
    const body = await callerBody.CallerBody.open(this.req, { maxBytes: lane.maxBodyBytes, progressTimeoutMs: lane.progressTimeoutMs })
    const identity = new requestIdentity.RequestIdentity(this.req.method ?? '', target, this.idempotencyKey ?? body.head)
    this.refuseQuarantined(identity)
    const claim = await this.claimKey(named)
    if (this.res.closed) claim?.release()
    else this.startCall(named, identity, body, this.targetReq(named, body, []), claim)
  }

  /** An instance that just started holds requests until it knows what to do with them. */
  private async awaitConfig (): Promise<void> {
    const { deps } = this
    if (deps.startup.isOver) return
    const askedMs = Number(this.req.headers[deps.headers.deadline] ?? NaN)
    if (await deps.startup.waitForConfig(askedMs > 0 ? askedMs : undefined)) return
    throw new errors.RackError({ kind: 'not-run', message: 'no configuration has been confirmed yet', retryAfterS: comeBackS })
  }

  private findLane (path: string): laneMatcher.NamedLane {
    const host = this.req.headers.host?.replace(/:\d+$/, '')
    const named = this.deps.lanes.find(this.req.method ?? '', host, path)
    if (named !== undefined) return named
    throw new errors.RackError({ kind: 'no-lane', message: `no lane matches ${this.req.method ?? ''} ${path}` })
  }

  private refuseQuarantined (identity: requestIdentity.RequestIdentity): void {
    if (requestStanding.standingOf(this.deps.suspects, identity) === 'quarantined') throw new errors.RackError(requestStanding.quarantinedFault())
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

  /** The lane's deadline, or the caller's when that is shorter. */
  private deadlineAt ({ deadlineMs }: { readonly deadlineMs: number }): number {
    const asked = Number(this.req.headers[this.deps.headers.deadline] ?? NaN)
    const ms = Number.isFinite(asked) && asked > 0 ? Math.min(asked, deadlineMs) : deadlineMs
    return this.arrivedAt + ms
  }

  private targetReq ({ lane }: laneMatcher.NamedLane, body: callerBody.CallerBody, extraHeaders: readonly string[]): httpAttempt.TargetReq {
    const { req } = this
    const names = this.deps.headers
    const replaced = new Set([names.requestId, names.deadline, names.expectedEndpoint ?? '', 'content-length', 'x-forwarded-for'])
    const headers = headerRules.forwardable(req.rawHeaders, req.headers.connection, replaced)
    headers.push(names.requestId, this.requestId, 'x-forwarded-for', this.forwardedFor())
    const length = req.headers['content-length']
    if (!body.isWhole && length !== undefined) headers.push('content-length', length)
    return {
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      headers: [...headers, ...extraHeaders],
      body,
      deadlineAt: this.deadlineAt(lane),
      idempotent: lane.idempotent,
      requestId: this.requestId,
      names
    }
  }

  private forwardedFor (): string {
    const before = this.req.headers['x-forwarded-for']
    const own = this.req.socket.remoteAddress ?? 'unknown'
    return typeof before === 'string' ? `${before}, ${own}` : own
  }

  private startCall (namedLane: laneMatcher.NamedLane, identity: requestIdentity.RequestIdentity, body: callerBody.CallerBody, targetReq: httpAttempt.TargetReq, claim: idempotencyClaims.Claim | undefined): void {
    const service = this.deps.lanes.serviceFor(namedLane)
    const budgets = this.deps.lanes.budgetsFor(namedLane.name, service)
    // The lane may be gone when its answers end.
    const state = this.deps.lanes.stateOf(namedLane.name)
    const callWith = (req: httpAttempt.TargetReq, arrivedAt: number, avoid: readonly string[], listener: call.ICallListener): void => {
      this.running = new call.Call({
        requestId: this.requestId,
        laneName: namedLane.name,
        lane: namedLane.lane,
        arrivedAt,
        deadlineAt: req.deadlineAt,
        identity,
        replayable: () => body.isReplayable,
        avoid
      }, this.callDeps(service, state, budgets, req), listener)
      this.running.start()
    }
    const callRest: downloadResumer.RestCaller = (headers, avoid, listener) => {
      const now = performance.now()
      callWith({ ...this.targetReq(namedLane, body, headers), deadlineAt: now + namedLane.lane.deadlineMs }, now, avoid, listener)
    }
    callWith(targetReq, this.arrivedAt, [], {
      onAnswer: (answer) => this.answer(namedLane, state, answer, callRest),
      onRefused: (fault) => {
        if (fault.kind === 'not-run' || fault.kind === 'quarantined') claim?.release()
        this.refuseAfterNews(identity, body.fault ?? fault)
      }
    })
  }

  /** The news that targets died of a request goes out before the answer, which its caller may follow with a resend. */
  private async refuseAfterNews (identity: requestIdentity.RequestIdentity, fault: errors.Fault): Promise<void> {
    if (fault.kind === 'unknown' && requestStanding.standingOf(this.deps.suspects, identity) !== 'clear') await this.deps.suspectNewsWritten()
    this.refuse(fault)
  }

  private callDeps (service: string, { latency, domains }: laneRegistry.LaneState, budgets: budget.LaneBudgets, req: httpAttempt.TargetReq): call.CallDeps {
    const { lanes, connections, notices, suspects, deaths, decisions } = this.deps
    return {
      dispatcher: lanes.dispatcherOf(service),
      transport: new httpAttempt.HttpTransport(req, connections, notices),
      suspects,
      deaths,
      budgets,
      latency,
      domains,
      probing: this.probingFor(service),
      decisions,
      clock: this.deps.clock,
      random: this.deps.random
    }
  }

  private probingFor (service: string): call.CallDeps['probing'] {
    const { lanes, connections, notices, probing, headers } = this.deps
    const healthPath = lanes.healthPathOf(service)
    if (probing === undefined || headers.slotLoad === undefined || healthPath === undefined) return undefined
    const prober = new httpProber.HttpProber({ healthPath, names: headers, connections, notices })
    return {
      deps: { dispatcher: lanes.dispatcherOf(service), prober, budget: lanes.probesOf(service), clock: this.deps.clock },
      options: probing
    }
  }

  private answer ({ lane }: laneMatcher.NamedLane, { domains }: laneRegistry.LaneState, answer: call.CallAnswer, callRest: downloadResumer.RestCaller): void {
    const attempt = answer.attempt as httpAttempt.HttpAttempt
    const head = answer.head as httpAttempt.HttpHead
    if (lane.weights.reportedLoad > 0) this.noteLoad(answer.endpoint, head)
    this.count('answered')
    this.sendHead(head)
    const stream = new answerStream.AnswerStream(this.res, attempt, lane.progressTimeoutMs, this.resumer(lane.idempotent, answer, callRest), (end, bytes) => {
      domains.note(bytes)
      if (end === 'broken') this.deps.decisions.record({ event: 'cut', requestId: this.requestId, lane: this.laneName, choice: answer.endpoint.endpoint, why: 'the target broke off its answer' })
      this.done.resolve()
    })
    attempt.pipe(stream)
  }

  private resumer (idempotent: boolean, answer: call.CallAnswer, callRest: downloadResumer.RestCaller): downloadResumer.DownloadResumer | undefined {
    const validator = downloadResumer.validatorOf(answer.head as httpAttempt.HttpHead)
    if (!idempotent || this.req.method !== 'GET' || validator === undefined) return undefined
    return new downloadResumer.DownloadResumer(validator, answer.endpoint.endpoint, callRest)
  }

  private noteLoad (endpoint: endpointTable.Endpoint, head: httpAttempt.HttpHead): void {
    const report = head.headers[headerRules.loadHeader]
    const load = typeof report === 'string' ? orcaLoad.parseUtilization(report) : undefined
    if (load !== undefined) this.deps.endpoints.noteLoad(endpoint.endpoint, load)
  }

  private sendHead (head: httpAttempt.HttpHead): void {
    const { res } = this
    const { requestId } = this.deps.headers
    const headers = headerRules.forwardable(head.rawHeaders, head.headers.connection, new Set([requestId]))
    headers.push(requestId, this.requestId)
    const framed = head.headers['content-length'] !== undefined || head.headers['transfer-encoding'] !== undefined
    if (!framed && this.hasBody(head.status)) {
      // The target ends its body by closing, so the caller must be told the same way.
      res.useChunkedEncodingByDefault = false
      headers.push('Connection', 'close')
    } else if (this.deps.isStopping()) {
      headers.push('Connection', 'close')
    }
    res.writeHead(head.status, head.statusMessage, headers)
  }

  private hasBody (status: number): boolean {
    return this.req.method !== 'HEAD' && status !== 204 && status !== 304
  }

  private refuse (fault: errors.Fault): void {
    const { res } = this
    this.count(fault.kind)
    this.recordRefusal(fault)
    if (res.headersSent || res.destroyed) {
      res.destroy()
      return
    }
    const body = JSON.stringify(errors.bodyOf(fault))
    res.setHeader('Content-Type', 'application/json')
    res.setHeader('Content-Length', Buffer.byteLength(body))
    res.setHeader(this.deps.headers.requestId, this.requestId)
    res.setHeader(headerRules.outcomeHeader, fault.kind)
    const retryAfterS = errors.retryAfterOf(fault)
    if (retryAfterS !== undefined) res.setHeader('Retry-After', this.awayTime(retryAfterS))
    // What is left of the body would be taken for the next request.
    if (!this.req.complete || this.deps.isStopping()) res.setHeader('Connection', 'close')
    res.writeHead(errors.statusOf(fault))
    res.end(this.req.method === 'HEAD' ? undefined : body)
    if (!this.req.complete) closeAfterAnswer(this.req.socket)
  }

  /** Seconds to stay away; a caller that told how long it waits is left time to come back. */
  private awayTime (seconds: number): string {
    const askedMs = Number(this.req.headers[this.deps.headers.deadline] ?? NaN)
    if (!this.deps.fractionalRetryAfter || !(askedMs > 0)) return String(Math.ceil(seconds))
    const leftS = (this.arrivedAt + askedMs - performance.now()) / msPerSecond
    return Math.max(minAwayS, Math.min(seconds, leftS * maxAwayShare)).toFixed(3)
  }

  /** Refusals within a call are recorded there. */
  private recordRefusal (fault: errors.Fault): void {
    if (this.running !== undefined) return
    this.deps.decisions.record({ event: 'refuse', requestId: this.requestId, lane: this.laneName, choice: fault.kind, why: fault.message })
  }

  private count (outcome: string): void {
    const { metrics } = this.deps
    metrics.count('rosemaryrack_requests_total', { lane: this.laneName, outcome })
    metrics.latency('rosemaryrack_latency_seconds', { lane: this.laneName }, performance.now() - this.arrivedAt)
  }
}

/** Reads and drops what a refused caller still sends for a moment, so that it gets to read the answer. */
function closeAfterAnswer (socket: net.Socket): void {
  const lingerMs = 500
  socket.resume()
  setTimeout(() => socket.destroy(), lingerMs).unref()
}
