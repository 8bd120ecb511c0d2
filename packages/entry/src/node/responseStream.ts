/**
 * Streams a response to the caller. A response that breaks off is continued from another endpoint, or the caller's
 * connection is closed; it is never ended as if it were complete.
 */
import type * as http from 'node:http'
import type * as httpAttempt from './httpAttempt.js'
import * as responseAbort from './responseAbort.js'

const callerStallTimeoutMs = 120_000

/** Gets the rest of an incomplete response from another endpoint. */
export interface IContinuationSource {
  /**
   * Requests the bytes from `offset` on, and calls `attach` with that attempt while its `onHead` event is handled. Resolves
   * with false if no endpoint can continue.
   */
  continueFrom(offset: number, attach: (attempt: httpAttempt.HttpAttempt) => void): Promise<boolean>
}

/** How the body of a response ended. */
export type StreamEnd = 'complete' | 'broken' | 'caller-left'

/** Sink of one response, which may come from several attempts in turn. */
export class ResponseStream implements httpAttempt.IBodySink {
  private timer: NodeJS.Timeout | undefined
  private sentBytes = 0
  private isDone = false

  constructor (
    private readonly res: http.ServerResponse,
    private attempt: httpAttempt.HttpAttempt,
    private readonly progressTimeoutMs: number,
    private readonly continuationSource: IContinuationSource | undefined,
    private readonly onDone: (end: StreamEnd, bytes: number) => void
  ) {
    // The head is sent together with the first bytes of the body, or alone when these have not arrived yet.
    setImmediate(() => { if (this.sentBytes === 0 && !this.isDone) res.flushHeaders() })
    res.on('close', () => this.handleClose())
    res.on('drain', () => this.handleDrain())
    this.startProgressTimer()
  }

  onData (chunk: Buffer): boolean {
    this.sentBytes += chunk.length
    const canTakeMore = this.res.write(chunk)
    if (canTakeMore) this.timer?.refresh()
    else this.startTimer(callerStallTimeoutMs, () => responseAbort.abortResponse(this.res))
    return canTakeMore
  }

  onEnd (): void {
    this.res.end()
    this.startTimer(callerStallTimeoutMs, () => responseAbort.abortResponse(this.res))
  }

  onBroken (): void {
    this.continueElsewhere()
  }

  private handleDrain (): void {
    this.startProgressTimer()
    this.attempt.resume()
  }

  private handleClose (): void {
    const isComplete = this.res.writableFinished
    if (!isComplete) this.attempt.cancel()
    this.finish(isComplete ? 'complete' : 'caller-left')
  }

  private async continueElsewhere (): Promise<void> {
    clearTimeout(this.timer)
    const isContinued = await this.continuationSource?.continueFrom(this.sentBytes, (attempt) => this.attach(attempt)) ?? false
    if (isContinued || this.isDone) return
    this.finish('broken')
    responseAbort.abortResponse(this.res)
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
    this.startTimer(this.progressTimeoutMs, () => {
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
    this.onDone(end, this.sentBytes)
  }
}
