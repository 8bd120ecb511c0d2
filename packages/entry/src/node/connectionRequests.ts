/** Requests of one caller's connection: those that are served, and those that wait for them. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import * as requestFeed from '@rosemaryrack/listener/node/requestFeed.js'
import type * as stalls from '../common/stalls.js'
import * as callerLimiter from './callerLimiter.js'

const refusedStatus = 503

/** Serves the requests of connections. */
export interface IRequestServer {
  /** Serves a request, or refuses it with the given fault. */
  serve(req: http.IncomingMessage, res: http.ServerResponse, refusal: errors.Fault | undefined): void
  /** Ends a request that is being served with the given fault, unless its response has begun. */
  end(res: http.ServerResponse, fault: errors.Fault): void
}

/** A request that is served, refused or waits. */
export interface AdmittedRequest {
  readonly req: http.IncomingMessage
  readonly res: http.ServerResponse
  isServing: boolean
  /** True once it has waited for the rest of what was received together with its head. */
  hasBeenDeferred: boolean
}

/** Serves requests in their order, a limited number at a time. */
export class ConnectionRequests implements stalls.IStallable {
  private readonly feed: requestFeed.RequestFeed
  /** Requests that were parsed together with the last one that can be served now. */
  private readonly waiting: AdmittedRequest[] = []
  private serving = 0
  private parsed = 0
  private unanswered = 0
  /** True once the connection has had as many requests as are served at a time, and once one was refused, since its last pause. */
  private hasReachedLimit = false
  private hasRefusal = false
  private endPause: (() => void) | undefined
  /** The request that was started last, unless it was received whole by then. */
  private arriving: AdmittedRequest | undefined

  constructor (private readonly socket: net.Socket, private readonly limiter: callerLimiter.CallerLimiter, private readonly server: IRequestServer) {
    this.feed = new requestFeed.RequestFeed(socket, () => this.endPause === undefined && this.unanswered < this.limiter.limits.requestsPerConnection, this.limiter.turns, (bytes) => this.hold(bytes))
  }

  /** Bytes received that are not parsed yet. */
  get unparsedBytes (): number {
    return this.feed.unparsedBytes
  }

  get isPaused (): boolean {
    return this.feed.isPaused
  }

  /** Number of requests whose head was complete. */
  get requestCount (): number {
    return this.parsed
  }

  /** Must be called with each request of the connection. */
  noteRequest (req: http.IncomingMessage): void {
    this.feed.noteRequest(req)
    this.unanswered++
    this.parsed++
    if (this.unanswered < this.limiter.limits.requestsPerConnection) return
    this.hasReachedLimit = true
    this.limiter.count('requestsPerConnection')
  }

  /** Serves a request, at once or once others of the connection are complete; refuses it if the instance has no slot for it. */
  admit (request: AdmittedRequest): void {
    this.waiting.push(request)
    this.startWaiting()
  }

  get stalledSince (): number | undefined {
    const { req, res } = this.arriving ?? {}
    // A response that has begun can no longer be replaced by a refusal.
    return req?.complete === false && res?.headersSent === false ? this.feed.stalledSince : undefined
  }

  endStalled (): void {
    const request = this.arriving
    if (request === undefined) return
    this.setArriving(undefined)
    this.limiter.count('requests')
    request.isServing = false
    this.release()
    this.server.end(request.res, callerLimiter.stalledFault)
  }

  /** Must be called when the response to an admitted request is complete or its connection has ended. */
  complete (request: AdmittedRequest): void {
    const { res, isServing } = request
    this.unanswered--
    if (isServing) this.release()
    if (request === this.arriving) this.setArriving(undefined)
    if (res.statusCode === refusedStatus) this.hasRefusal = true
    this.pauseAfterRefusal()
    this.startWaiting()
    this.feed.continue()
  }

  /** Reads and serves no further requests. */
  discard (): void {
    this.waiting.length = 0
    this.endPause?.()
    this.endPause = undefined
    this.feed.discard()
  }

  /** Counts the input that waits in this process; closes the connection if that is too much in all. */
  private hold (changedBytes: number): void {
    const { limiter, socket } = this
    limiter.heldInputBytes += changedBytes
    if (changedBytes <= 0 || limiter.heldInputBytes <= limiter.limits.heldInputBytes || socket.destroyed) return
    limiter.recordClose('heldInputBytes', socket.remoteAddress)
    socket.resetAndDestroy()
  }

  /** Pauses a connection that sends more than is served at a time although requests of it were refused. */
  private pauseAfterRefusal (): void {
    if (!this.hasReachedLimit || !this.hasRefusal || this.endPause !== undefined) return
    this.hasReachedLimit = false
    this.hasRefusal = false
    this.endPause = this.limiter.pacing.pause(() => {
      this.endPause = undefined
      this.feed.continue()
    })
  }

  /** Starts what waits, at most as many as there is room for. */
  private startWaiting (): void {
    while (this.waiting.length > 0 && this.serving < this.limiter.limits.requestsPerConnection) {
      const request = this.waiting[0]!
      const isStarted = this.tryTakeSlot(request.req.complete)
      // The next completion on this connection starts it.
      if (!isStarted && this.serving > 0) return
      if (!isStarted && this.tryDefer(request)) return
      this.waiting.shift()
      if (isStarted) this.start(request)
      else this.refuse(request)
    }
  }

  /** A stalled request makes room for the first one of a connection. */
  private tryTakeSlot (isWhole: boolean): boolean {
    const { slots, arriving } = this.limiter
    const isSingle = this.serving === 0
    return slots.tryTake(isSingle) || (isSingle && arriving.endLongestStalled(performance.now(), isWhole) && slots.tryTake(isSingle))
  }

  /** Lets the parser go on first, which reports a request before its body; returns false if that was done. */
  private tryDefer (request: AdmittedRequest): boolean {
    if (request.req.complete || request.hasBeenDeferred) return false
    request.hasBeenDeferred = true
    process.nextTick(() => this.startWaiting())
    return true
  }

  private start (request: AdmittedRequest): void {
    this.serving++
    request.isServing = true
    this.setArriving(request.req.complete ? undefined : request)
    this.server.serve(request.req, request.res, undefined)
  }

  private setArriving (request: AdmittedRequest | undefined): void {
    this.arriving = request
    if (request === undefined) this.limiter.arriving.delete(this)
    else this.limiter.arriving.add(this)
  }

  private refuse ({ req, res }: AdmittedRequest): void {
    this.limiter.count('requests')
    this.server.serve(req, res, callerLimiter.noSlotFault)
  }

  private release (): void {
    this.serving--
    this.limiter.slots.release()
  }
}
