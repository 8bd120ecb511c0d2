/** One attempt at a target over HTTP, and the transport that starts them. */
import type * as http from 'node:http'
import type * as undici from 'undici'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as transport from '@rosemaryrack/routing/common/transport.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as callerBody from './callerBody.js'
import * as headerRules from '../common/headerRules.js'
import type * as targetConnection from './targetConnection.js'
import type * as targetConnections from './targetConnections.js'

const firstFinalStatus = 200
const refusedCode = 'ECONNREFUSED'
const secondLookMs = 40

/** The request as it goes to targets; the same for each attempt. */
export interface TargetReq {
  readonly method: string
  readonly target: string
  /** Flat list of names and values. */
  readonly headers: readonly string[]
  readonly body: callerBody.CallerBody
  /** When the answer's head is due, on the process's monotonic clock. */
  readonly deadlineAt: number
  readonly idempotent: boolean
  readonly requestId: string
  readonly names: settings.HeaderNames
}

/** Head of an answer with all that the caller gets of it. */
export interface HttpHead extends transport.AnswerHead {
  readonly statusMessage: string
  readonly headers: http.IncomingHttpHeaders
  /** Flat list of names and values, as received. */
  readonly rawHeaders: readonly string[]
}

/** Takes the body of an answer. */
export interface IBodySink {
  /** Returns false to pause until `resume` is called. */
  onData(chunk: Buffer): boolean
  onEnd(): void
  onBroken(err: Error): void
}

/** Starts attempts for one request. */
export class HttpTransport implements transport.ITransport {
  constructor (
    private readonly req: TargetReq,
    private readonly connections: targetConnections.TargetConnections,
    private readonly notices: endpointNotices.IEndpointNotices
  ) {}

  start (endpoint: endpointTable.Endpoint, events: transport.IAttemptEvents, fresh: boolean): HttpAttempt {
    const attempt = new HttpAttempt(endpoint, this.req, events, this.connections, this.notices)
    attempt.run(fresh)
    return attempt
  }

  replaceConnection (endpoint: endpointTable.Endpoint, mayMeasure: () => boolean, done: (health: transport.TargetHealth) => void): void {
    this.healthOf(endpoint.address, mayMeasure).then(done)
  }

  /** Looks twice where the budget allows it. */
  private async healthOf (address: string, mayMeasure: () => boolean): Promise<transport.TargetHealth> {
    if (!await this.accepts(address)) return 'dead'
    if (!mayMeasure()) return 'unsure'
    await async.sleep(secondLookMs)
    return await this.accepts(address) ? 'alive' : 'dead'
  }

  private async accepts (address: string): Promise<boolean> {
    try {
      this.connections.giveBack(address, await this.connections.open(address))
      return true
    } catch {
      return false
    }
  }
}

/** Sends the request on one connection and hands on the answer. */
export class HttpAttempt implements transport.IAttempt {
  private connection: targetConnection.TargetConnection | undefined
  private sink: IBodySink | undefined
  private headSeen = false
  private ended = false
  private requestSent = false
  private keepsOpen = true

  constructor (
    private readonly endpoint: endpointTable.Endpoint,
    private readonly req: TargetReq,
    private readonly events: transport.IAttemptEvents,
    private readonly connections: targetConnections.TargetConnections,
    private readonly notices: endpointNotices.IEndpointNotices
  ) {}

  get address (): string {
    return this.endpoint.address
  }

  get written (): boolean {
    return this.requestSent
  }

  /** Connects where needed, then sends. */
  async run (fresh: boolean): Promise<void> {
    const idle = fresh ? undefined : this.connections.takeIdle(this.address, !this.req.idempotent)
    try {
      this.connection = idle ?? await this.connections.open(this.address)
    } catch (err) {
      const refused = (err as NodeJS.ErrnoException).code === refusedCode
      this.fail(refused ? 'refused' : 'not-written', errors.messageOf(err))
      return
    }
    // Lets the caller of `start` take the attempt's handle before any event, also on an idle connection.
    if (idle !== undefined) await Promise.resolve()
    if (this.ended) this.connections.discard(this.connection)
    else if (this.notices.maySend(this.endpoint)) this.send(this.connection)
    else this.holdBack(this.connection)
  }

  cancel (): void {
    if (this.ended) return
    this.ended = true
    this.dropConnection()
    if (this.headSeen) this.events.onBodyEnd()
  }

  abandon (): void {
    const waited = this.requestSent && !this.ended
    this.cancel()
    if (waited) this.connections.distrustElders(this.address)
  }

  /** Gives the body to a sink; call within the head's event. */
  pipe (sink: IBodySink): void {
    this.sink = sink
  }

  pause (): void {
    this.connection?.hold()
  }

  resume (): void {
    this.connection?.release()
  }

  private holdBack (connection: targetConnection.TargetConnection): void {
    this.connections.giveBack(this.address, connection)
    this.connection = undefined
    this.fail('not-written', 'the endpoint has asked for a time without requests')
  }

  private send (connection: targetConnection.TargetConnection): void {
    try {
      connection.dispatch(this.options(), this.handler())
    } catch (err) {
      this.dropConnection()
      this.fail('not-written', errors.messageOf(err))
    }
  }

  private options (): undici.Dispatcher.DispatchOptions {
    const { names } = this.req
    const leftMs = Math.max(0, Math.round(this.req.deadlineAt - performance.now()))
    const expected = names.expectedEndpoint === undefined ? [] : [names.expectedEndpoint, this.endpoint.endpoint]
    return {
      path: this.req.target,
      method: this.req.method as undici.Dispatcher.HttpMethod,
      headers: [...this.req.headers, names.deadline, String(leftMs), ...expected],
      body: this.req.body.content() as undici.Dispatcher.DispatchOptions['body']
    }
  }

  private handler (): undici.Dispatcher.DispatchHandler {
    return {
      onRequestStart: () => { this.requestSent = true },
      onResponseStart: (controller, status, headers, statusMessage) => {
        if (status < firstFinalStatus || this.ended) return
        const foreign = headerRules.findForeignSign(this.req.names, this.req.requestId, status, headers)
        if (foreign !== undefined) {
          this.broken(new Error(`not the target's answer: ${foreign}`))
          return
        }
        this.notices.note(this.endpoint, headerRules.noticeOf(this.req.names, status, headers))
        this.headSeen = true
        this.keepsOpen = headers['connection'] !== 'close'
        this.connection?.noteKeepAlive(headers['keep-alive'])
        this.events.onHead(toHead(controller, status, headers, statusMessage ?? '', headerRules.statesNotRun(this.req.names, status, headers)))
      },
      onResponseData: (_controller, chunk) => {
        if (!this.ended && this.sink?.onData(chunk) === false) this.pause()
      },
      onResponseEnd: () => this.complete(),
      onResponseError: (_controller, err) => this.broken(err)
    }
  }

  private complete (): void {
    if (this.ended) return
    this.ended = true
    const connection = this.connection!
    if (this.keepsOpen) {
      // The client still holds the request while this event runs.
      setImmediate(() => this.connections.giveBack(this.address, connection))
    } else {
      this.dropConnection()
    }
    this.events.onBodyEnd()
    this.sink?.onEnd()
  }

  private broken (err: Error): void {
    if (this.ended) return
    if (!this.headSeen) {
      this.dropConnection()
      this.failAfterSend(err)
      return
    }
    this.ended = true
    this.dropConnection()
    this.events.onBodyEnd()
    this.sink?.onBroken(err)
  }

  /** A fault of the caller's own body isn't the target's. */
  private failAfterSend (err: Error): void {
    this.fail(this.requestSent ? 'lost' : 'not-written', err.message)
  }

  private fail (kind: 'refused' | 'not-written' | 'lost', message: string): void {
    if (this.ended) return
    this.ended = true
    this.events.onFailure({ kind, message })
  }

  private dropConnection (): void {
    if (this.connection !== undefined) this.connections.discard(this.connection)
    this.connection = undefined
  }
}

function toHead (controller: undici.Dispatcher.DispatchController, status: number, headers: http.IncomingHttpHeaders, statusMessage: string, notRun: boolean): HttpHead {
  const rawHeaders = (controller.rawHeaders as readonly Buffer[]).map((text) => text.toString('latin1'))
  return { status, notRun, statusMessage, headers, rawHeaders }
}
