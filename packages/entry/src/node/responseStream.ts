/**
 * Streams a response to the caller. A response that breaks off is continued from another endpoint, or ended in a way that
 * its caller can see; it is never ended as if it were complete. So is a response that is overdue.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import type * as stalls from '../common/stalls.js'
import type * as httpAttempt from './httpAttempt.js'
import type * as responseCut from './responseCut.js'
import type * as responseWriter from './responseWriter.js'

const callerStallTimeoutMs = 120_000
/** Time after the deadline in which the rest of a body may still arrive from its target, besides the time in which the caller took no bytes. */
const overdueAfterMs = 200

/** Limits on the time of a body. */
export interface BodyLimits {
  /** Longest time without further bytes from the target. */
  readonly progressTimeoutMs: number
  /** When the response is due, on the process's monotonic clock. */
  readonly deadlineAt: number
}

/** Gets the rest of an incomplete response from another endpoint. */
export interface IContinuationSource {
  /** Length of the whole body. */
  readonly length: number
  /**
   * Requests the bytes from `offset` on, and calls `attach` with that attempt while its `onHead` event is handled. Resolves
   * with false if no endpoint can continue.
   */
  continueFrom(offset: number, attach: (attempt: httpAttempt.HttpAttempt) => void): Promise<boolean>
}

/** How the body of a response ended. */
export type StreamEnd = 'complete' | responseCut.CutReason

/** Sink of one response, which may come from several attempts in turn. */
export class ResponseStream implements httpAttempt.IBodySink, stalls.IStallable {
  private timer: NodeJS.Timeout | undefined
  private overdueTimer: NodeJS.Timeout | undefined
  /** Time in which the caller took no bytes, and since when it takes none. */
  private heldMs = 0
  private heldSince: number | undefined
  /** Bytes that the kernel had not taken when they were last counted, and since when there are as many; 0 before the first count. */
  private queuedBytes = 0
  private queuedSince = 0
  /** True once the target has sent the whole body. */
  private isReceived = false
  private sentBytes = 0
  private isDone = false

  constructor (
    private readonly res: http.ServerResponse,
    private readonly writer: responseWriter.IResponseWriter,
    private attempt: httpAttempt.HttpAttempt,
    private readonly limits: BodyLimits,
    private readonly continuationSource: IContinuationSource | undefined,
    private readonly onDone: (end: StreamEnd, bytes: number) => void
  ) {
    // The head is sent together with the first bytes of the body, or alone when these have not arrived yet.
    setImmediate(() => { if (this.sentBytes === 0 && !this.isDone) writer.flushHead() })
    res.on('close', () => this.handleClose())
    res.on('drain', () => this.handleDrain())
    this.startProgressTimer()
    this.startOverdueTimer()
  }

  onData (chunk: Buffer): boolean {
    // The response of another endpoint may have a length of its own.
    if (this.sentBytes + chunk.length > (this.continuationSource?.length ?? Infinity)) {
      this.attempt.cancel()
      this.continueElsewhere()
      return true
    }
    const result = this.writer.write(chunk)
    if (result === 'refused') {
      this.breakOff('too-long')
      return true
    }
    this.sentBytes += chunk.length
    if (result === 'ready') {
      this.timer?.refresh()
    } else {
      this.holdBack()
      this.startTimer(callerStallTimeoutMs, () => this.res.destroy())
    }
    return result === 'ready'
  }

  onEnd (): void {
    if (this.sentBytes < (this.continuationSource?.length ?? 0)) {
      this.continueElsewhere()
      return
    }
    this.isReceived = true
    clearTimeout(this.overdueTimer)
    this.writer.end()
    this.startTimer(callerStallTimeoutMs, () => this.res.destroy())
  }

  onBroken (): void {
    this.continueElsewhere()
  }

  /** Breaks the response off unless the caller's connection has taken the whole of it. */
  breakOff (reason: responseCut.CutReason): void {
    if (this.isDone || this.res.writableFinished) return
    this.attempt.cancel()
    this.finish(reason)
    this.writer.abort(reason)
  }

  get stalledSince (): number | undefined {
    const { socket } = this.res
    // A response that is queued behind another one waits for that one, and a received one holds no slot.
    if (this.heldSince === undefined || this.isReceived || this.isDone || socket === null) return undefined
    this.countQueued(socket)
    return this.queuedSince
  }

  endStalled (): void {
    this.breakOff('stalled')
  }

  private holdBack (): void {
    if (this.heldSince !== undefined) return
    this.heldSince = performance.now()
    if (this.res.socket !== null) this.countQueued(this.res.socket)
  }

  /** Notes whether the caller has made progress since the last count; Node.js has no public property for what the kernel has not taken. */
  private countQueued (socket: net.Socket): void {
    const { writeQueueSize = 0 } = (socket as { _handle?: { readonly writeQueueSize?: number } | null })._handle ?? {}
    if (writeQueueSize === this.queuedBytes && this.queuedSince > 0) return
    this.queuedBytes = writeQueueSize
    this.queuedSince = performance.now()
  }

  private handleDrain (): void {
    if (this.heldSince !== undefined) this.heldMs += performance.now() - this.heldSince
    this.heldSince = undefined
    this.queuedSince = 0
    if (this.overdueTimer === undefined) this.startOverdueTimer()
    this.startProgressTimer()
    this.attempt.resume()
  }

  private handleClose (): void {
    const isComplete = this.res.writableFinished
    if (!isComplete) this.attempt.cancel()
    this.finish(isComplete ? 'complete' : 'caller-left')
  }

  private get overdueInMs (): number {
    return this.limits.deadlineAt + overdueAfterMs + this.heldMs - performance.now()
  }

  private startOverdueTimer (): void {
    if (!this.isReceived && !this.isDone) this.overdueTimer = setTimeout(() => this.endOverdue(), Math.min(Math.max(0, this.overdueInMs), clock.maxTimerMs))
  }

  /** Breaks the response off unless its end has arrived: the timers of a process that was busy run before it reads. */
  private async endOverdue (): Promise<void> {
    await async.nextTurn()
    if (this.isReceived || this.isDone) return
    this.overdueTimer = undefined
    // The next drain event starts the timer again.
    if (this.heldSince !== undefined) return
    if (this.overdueInMs > 0) {
      this.startOverdueTimer()
      return
    }
    this.breakOff('overdue')
  }

  private async continueElsewhere (): Promise<void> {
    clearTimeout(this.timer)
    const isContinued = await this.continuationSource?.continueFrom(this.sentBytes, (attempt) => this.attach(attempt)) ?? false
    if (isContinued || this.isDone) return
    this.finish('broken')
    this.writer.abort('broken')
  }

  /** Must run before the attempt's first data: a drain event that follows a pause then resumes this attempt, not the previous one. */
  private attach (attempt: httpAttempt.HttpAttempt): void {
    if (this.isDone) {
      attempt.cancel()
      return
    }
    this.attempt = attempt
    attempt.pipe(this)
    this.startProgressTimer()
  }

  private startProgressTimer (): void {
    this.startTimer(this.limits.progressTimeoutMs, () => {
      this.attempt.abandon()
      this.continueElsewhere()
    })
  }

  private startTimer (ms: number, onTimeout: () => void): void {
    clearTimeout(this.timer)
    if (!this.isDone) this.timer = setTimeout(onTimeout, ms)
  }

  private finish (end: StreamEnd): void {
    if (this.isDone) return
    this.isDone = true
    clearTimeout(this.timer)
    clearTimeout(this.overdueTimer)
    this.writer.dispose()
    this.onDone(end, this.sentBytes)
  }
}
