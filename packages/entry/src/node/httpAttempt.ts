/** Sends a request to a target over HTTP: one attempt, and the transport that starts attempts. */
import type * as http from 'node:http'
import type * as undici from 'undici'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as transport from '@rosemaryrack/routing/common/transport.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as bodyReader from './bodyReader.js'
import type * as callerBody from './callerBody.js'
import * as headerRules from '../common/headerRules.js'
import * as responseHeadScanner from '../common/responseHeadScanner.js'
import * as responseStatus from '../common/responseStatus.js'
import * as heldResponse from './heldResponse.js'
import type * as targetConnection from './targetConnection.js'
import type * as targetConnections from './targetConnections.js'

const refusedCode = 'ECONNREFUSED'
/** Delay of the second check of a target: a process that is ending may accept one more connection. */
const secondCheckDelayMs = 40

/** The request as it is sent to targets; the same for each attempt. */
export interface TargetReq {
  readonly method: string
  readonly requestTarget: string
  /** Flat list of names and values. */
  readonly headers: readonly string[]
  /** Headers that go to peers only. */
  readonly peerHeaders?: readonly string[]
  readonly body: callerBody.CallerBody
  /** When the response's head is due, on the process's monotonic clock. */
  readonly deadlineAt: number
  readonly idempotent: boolean
  readonly requestId: string
  readonly headerNames: settings.HeaderNames
  /** Returns why the request must not be sent to an endpoint now; undefined if it may be. */
  readonly findRefusal?: () => string | undefined
  /** Checked right before the request is sent to an endpoint; may cancel the attempt. */
  readonly maySend?: () => boolean
}

/** Head of a response, with everything that is forwarded to the caller. */
export interface HttpHead extends transport.ResponseHead {
  readonly headers: http.IncomingHttpHeaders
  /** Flat list of names and values, as received. */
  readonly rawHeaders: readonly string[]
  /** Whether the endpoint has stated where the body ends; without that, it ends with the connection. */
  readonly isFramed: boolean
}

/** Receives the body of a response. */
export interface IBodySink {
  /** Returns false to pause until `resume` is called. */
  onData(chunk: Buffer): boolean
  onEnd(): void
  /** The connection failed before the end of the body. */
  onBroken(err: Error): void
}

/** Where an attempt is sent: an endpoint or a peer. */
export interface IAttemptTarget {
  readonly address: string
  /** Value of the header that names the expected endpoint. */
  readonly endpoint: string
  /** Checked once the connection is open. */
  canSend(): boolean
  /** Returns whether the headers of a response state where the body of the endpoint ends. */
  isFramed(headers: headerRules.MessageHeaders): boolean
  /** @param sentAt when the request of the response was sent. */
  recordNotice(notice: endpointNotices.Notice, sentAt: number): void
}

class EndpointTarget implements IAttemptTarget {
  constructor (private readonly target: endpointTable.Endpoint, private readonly notices: endpointNotices.IEndpointNotices) {}

  get address (): string {
    return this.target.address
  }

  get endpoint (): string {
    return this.target.endpoint
  }

  canSend (): boolean {
    return this.notices.canSend(this.target)
  }

  isFramed (headers: headerRules.MessageHeaders): boolean {
    return headerRules.isFramed(headers)
  }

  recordNotice (notice: endpointNotices.Notice, sentAt: number): void {
    this.notices.recordNotice(this.target, notice, sentAt)
  }
}

/** Starts attempts for one request. */
export class HttpTransport implements transport.ITransport {
  constructor (
    private readonly req: TargetReq,
    private readonly connections: targetConnections.TargetConnections,
    private readonly notices: endpointNotices.IEndpointNotices
  ) {}

  get canStart (): boolean {
    return this.req.findRefusal?.() === undefined
  }

  start (endpoint: endpointTable.Endpoint, events: transport.IAttemptEvents, isNewConnection: boolean): HttpAttempt {
    const attempt = new HttpAttempt(new EndpointTarget(endpoint, this.notices), this.req, events, this.connections)
    attempt.run(isNewConnection)
    return attempt
  }

  checkTarget (endpoint: endpointTable.Endpoint, canCheckAgain: () => boolean, done: (health: transport.TargetHealth) => void): void {
    this.checkHealth(endpoint.address, canCheckAgain).then(done)
  }

  /** Checks twice whether the target accepts connections, the second time only if the budget allows it. */
  private async checkHealth (address: string, canCheckAgain: () => boolean): Promise<transport.TargetHealth> {
    if (!await this.acceptsConnections(address)) return 'down'
    if (!canCheckAgain()) return 'unsure'
    await async.sleep(secondCheckDelayMs)
    return await this.acceptsConnections(address) ? 'up' : 'down'
  }

  private async acceptsConnections (address: string): Promise<boolean> {
    try {
      this.connections.release(address, await this.connections.open(address))
      return true
    } catch {
      return false
    }
  }
}

/** Sends the request on one connection and passes on the response. */
export class HttpAttempt implements transport.IAttempt {
  private connection: targetConnection.TargetConnection | undefined
  private opening: targetConnections.OpeningConnection | undefined
  private sink: IBodySink | undefined
  /** A response that is not reported yet. */
  private held: heldResponse.HeldResponse | undefined
  /** Looks for another response within a body whose length is not known. */
  private scanner: responseHeadScanner.ResponseHeadScanner | undefined
  private hasResponseBegun = false
  /** True once the head of the response was reported. */
  private hasHead = false
  private hasEnded = false
  private hasSentRequest = false
  private sentAt = 0
  private isKeptAlive = true
  private reqBody: bodyReader.BodyReader | undefined
  private finalConnectionState: checkedSocket.ConnectionState = 'open'

  constructor (
    private readonly target: IAttemptTarget,
    private readonly req: TargetReq,
    private readonly events: transport.IAttemptEvents,
    private readonly connections: targetConnections.TargetConnections
  ) {}

  get address (): string {
    return this.target.address
  }

  get written (): boolean {
    return this.hasSentRequest
  }

  /** True once the attempt was cancelled, also by what it has just called. */
  private get isCancelled (): boolean {
    return this.hasEnded
  }

  /** True once the whole request body has been handed over to the connection. */
  get hasSentBody (): boolean {
    return this.reqBody?.isSent === true
  }

  /** State of the connection; when the response has ended, how the target ended it. */
  get connectionState (): checkedSocket.ConnectionState {
    return this.connection?.state ?? this.finalConnectionState
  }

  /** Takes an idle connection or opens one, then sends the request. */
  async run (isNewConnection: boolean): Promise<void> {
    const idle = isNewConnection ? undefined : this.connections.takeIdle(this.address, !this.req.idempotent)
    let connection: targetConnection.TargetConnection
    try {
      connection = idle ?? await this.open()
    } catch (err) {
      const isRefused = (err as NodeJS.ErrnoException).code === refusedCode
      this.fail(isRefused ? 'refused' : 'not-written', errors.messageOf(err))
      return
    }
    // Lets `start` return the attempt before its first event, on an idle connection too.
    if (idle !== undefined) await Promise.resolve()
    if (this.hasEnded) {
      this.connections.discard(connection)
      return
    }
    this.connection = connection
    const maySend = this.req.maySend?.() ?? true
    if (this.isCancelled) return
    if (!maySend) this.skipSend(connection, 'the request must no longer be sent')
    else if (this.target.canSend()) this.send(connection)
    else this.skipSend(connection, 'the endpoint asked for a pause in requests, named a limit, or is evacuated')
  }

  private async open (): Promise<targetConnection.TargetConnection> {
    this.opening = this.connections.openWithinLimits(this.address)
    try {
      return await this.opening.connection
    } finally {
      this.opening = undefined
    }
  }

  cancel (): void {
    if (this.hasEnded) return
    this.markEnded()
    this.opening?.cancel()
    this.dropHeld()
    this.discardConnection()
    if (this.hasHead) this.events.onBodyEnd()
  }

  deliverHeld (): void {
    const { held } = this
    if (held === undefined) return
    this.held = undefined
    this.reportHead(held.head)
    for (const chunk of held.release()) this.passOn(chunk)
  }

  /** Cancels the attempt after a timeout. If the request was sent and its response is incomplete, connections to the target that are open now are no longer reused. */
  abandon (): void {
    const { connection } = this
    const wasWaiting = this.hasSentRequest && !this.hasEnded
    this.cancel()
    if (!wasWaiting) return
    if (connection !== undefined && !this.hasResponseBegun) this.connections.recordNoResponse(this.address, connection, this.sentAt)
    this.connections.retireAll(this.address)
  }

  /** Sets the sink of the body; to be called within `onHead`. */
  pipe (sink: IBodySink): void {
    this.sink = sink
  }

  pause (): void {
    this.connection?.pauseReading()
  }

  resume (): void {
    this.connection?.resumeReading()
  }

  /** Returns the unused connection to the pool and fails the attempt. */
  private skipSend (connection: targetConnection.TargetConnection, why: string): void {
    this.connections.release(this.address, connection)
    this.connection = undefined
    this.fail('not-written', why)
  }

  private send (connection: targetConnection.TargetConnection): void {
    connection.noteRequest(this.req.requestId)
    try {
      connection.dispatch(this.dispatchOptions(), this.dispatchHandler())
    } catch (err) {
      this.discardConnection()
      this.fail('not-written', errors.messageOf(err))
    }
  }

  private dispatchOptions (): undici.Dispatcher.DispatchOptions {
    const { headerNames } = this.req
    const remainingMs = Math.max(0, Math.round(this.req.deadlineAt - performance.now()))
    const expectedEndpointHeader = headerNames.expectedEndpoint === undefined ? [] : [headerNames.expectedEndpoint, this.target.endpoint]
    this.reqBody = this.req.body.openReader(this.address)
    const body = this.reqBody.take()
    const lengthHeader = body === null || this.reqBody.length === undefined ? [] : ['content-length', String(this.reqBody.length)]
    return {
      path: this.req.requestTarget,
      method: this.req.method as undici.Dispatcher.HttpMethod,
      headers: [...this.req.headers, headerNames.deadline, String(remainingMs), ...expectedEndpointHeader, ...lengthHeader],
      body: body as undici.Dispatcher.DispatchOptions['body']
    }
  }

  private dispatchHandler (): undici.Dispatcher.DispatchHandler {
    return {
      onRequestStart: () => {
        this.hasSentRequest = true
        this.sentAt = performance.now()
      },
      onResponseStart: (controller, status, headers) => {
        if (this.connection !== undefined) this.connections.recordResponse(this.address, this.connection)
        if (responseStatus.isInterim(status) || this.hasEnded) return
        // Without an id, it can be a late duplicate of the response to a health check.
        const mustHaveId = this.connection?.hasHealthCheck === true
        const mismatch = headerRules.findMismatch(this.req.headerNames, this.req.requestId, status, headers, mustHaveId)
        if (mismatch !== undefined) {
          this.handleError(new Error(`not the target's response to this request: ${mismatch}`))
          return
        }
        this.target.recordNotice(headerRules.parseNotice(this.req.headerNames, status, headers), this.sentAt)
        this.hasResponseBegun = true
        this.isKeptAlive = headers['connection'] !== 'close'
        this.connection?.applyKeepAlive(headers['keep-alive'])
        this.receiveHead(this.toHead(controller, status, headers))
      },
      onResponseData: (_controller, chunk) => {
        this.receive(chunk)
      },
      onResponseEnd: () => this.complete(),
      onResponseError: (_controller, err) => {
        this.recordLoss()
        this.handleError(err)
      }
    }
  }

  /** Reports a response, or holds it back while only the end of its connection can tell whether it is complete. */
  private receiveHead (head: HttpHead): void {
    const endsWithConnection = !head.isFramed && headerRules.canHaveBody(this.req.method, head.status)
    if (endsWithConnection) this.scanner = new responseHeadScanner.ResponseHeadScanner(this.req.headerNames.requestId, this.connection!.requestIds)
    if (endsWithConnection && !head.notRun && this.events.tryHoldBack(head)) this.held = new heldResponse.HeldResponse(head, () => this.deliverHeld())
    else this.reportHead(head)
  }

  private toHead (controller: undici.Dispatcher.DispatchController, status: number, headers: http.IncomingHttpHeaders): HttpHead {
    const rawHeaders = (controller.rawHeaders as readonly Buffer[]).map((text) => text.toString('latin1'))
    return { status, notRun: headerRules.statesNotRun(this.req.headerNames, status, headers), headers, rawHeaders, isFramed: this.target.isFramed(headers) }
  }

  private reportHead (head: HttpHead): void {
    this.hasHead = true
    this.events.onHead(head)
  }

  private receive (chunk: Buffer): void {
    if (this.hasEnded) return
    const parts = this.scanner === undefined ? [chunk] : this.scanner.scan(chunk)
    if (parts === undefined) this.handleError(new Error('another response follows within the body, which has no length'))
    else for (const part of parts) this.passOn(part)
  }

  private passOn (chunk: Buffer): void {
    if (this.hasEnded) return
    if (this.held?.add(chunk) === true) return
    this.deliverHeld()
    if (!this.hasEnded && this.sink?.onData(chunk) === false) this.pause()
  }

  private dropHeld (): void {
    this.held?.release()
    this.held = undefined
  }

  private complete (): void {
    for (const part of this.scanner?.flush() ?? []) this.passOn(part)
    this.deliverHeld()
    if (this.hasEnded) return
    this.markEnded()
    const connection = this.connection!
    if (this.isKeptAlive && this.hasSentBody) {
      // undici still counts the request as running while this event runs.
      setImmediate(() => this.connections.release(this.address, connection))
    } else {
      this.discardConnection()
    }
    this.events.onBodyEnd()
    this.sink?.onEnd()
  }

  private handleError (err: Error): void {
    if (this.hasEnded) return
    if (!this.hasHead) {
      this.discardConnection()
      this.failBeforeHead(err)
      return
    }
    this.markEnded()
    this.discardConnection()
    this.events.onBodyEnd()
    this.sink?.onBroken(err)
  }

  /**
   * Fails the attempt before its response has begun. An error of the caller's own body is reported here too;
   * `CallerBody.fault` distinguishes it from an error of the target.
   */
  private failBeforeHead (err: Error): void {
    this.fail(this.hasSentRequest ? 'lost' : 'not-written', err.message)
  }

  private fail (kind: 'refused' | 'not-written' | 'lost', message: string): void {
    if (this.hasEnded) return
    this.markEnded()
    this.dropHeld()
    this.events.onFailure({ kind, message })
  }

  private markEnded (): void {
    this.hasEnded = true
    this.reqBody?.close()
  }

  /** Records that the connection was lost before a response, unless the caller's own body has failed. */
  private recordLoss (): void {
    if (this.hasEnded || this.hasResponseBegun || this.connection === undefined || this.req.body.fault !== undefined) return
    this.connections.recordNoResponse(this.address, this.connection, this.sentAt)
  }

  private discardConnection (): void {
    if (this.connection === undefined) return
    this.finalConnectionState = this.connection.state
    this.connections.discard(this.connection)
    this.connection = undefined
  }
}
