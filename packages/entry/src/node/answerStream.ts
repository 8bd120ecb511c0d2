/** Streams an answer to the caller; a broken one is continued elsewhere or cut off, never ended as if complete. */
import type * as http from 'node:http'
import type * as httpAttempt from './httpAttempt.js'

const callerStallMs = 120_000

/** Gets the rest of a broken answer from another endpoint. */
export interface IAnswerSource {
  /**
   * Calls `follow` with the attempt that sends the bytes from `offset` on, within the event of its head;
   * resolves with false when there is none.
   */
  continueFrom(offset: number, follow: (attempt: httpAttempt.HttpAttempt) => void): Promise<boolean>
}

/** How an answer's body ended. */
export type StreamEnd = 'complete' | 'broken' | 'caller-left'

/** Sink of one answer, over as many attempts as it takes. */
export class AnswerStream implements httpAttempt.IBodySink {
  private timer: NodeJS.Timeout | undefined
  private sent = 0
  private done = false

  constructor (
    private readonly res: http.ServerResponse,
    private attempt: httpAttempt.HttpAttempt,
    private readonly progressTimeoutMs: number,
    private readonly source: IAnswerSource | undefined,
    private readonly onDone: (end: StreamEnd, bytes: number) => void
  ) {
    // The head goes out with the first bytes of the body, or by itself when they are late.
    setImmediate(() => { if (this.sent === 0 && !this.done) res.flushHeaders() })
    res.on('close', () => this.callerClosed())
    res.on('drain', () => this.drained())
    this.watchTarget()
  }

  onData (chunk: Buffer): boolean {
    this.sent += chunk.length
    const more = this.res.write(chunk)
    if (more) this.timer?.refresh()
    else this.watch(callerStallMs, () => this.res.destroy())
    return more
  }

  onEnd (): void {
    this.res.end()
    this.watch(callerStallMs, () => this.res.destroy())
  }

  onBroken (): void {
    this.continueElsewhere()
  }

  private drained (): void {
    this.watchTarget()
    this.attempt.resume()
  }

  private callerClosed (): void {
    const complete = this.res.writableFinished
    if (!complete) this.attempt.cancel()
    this.finish(complete ? 'complete' : 'caller-left')
  }

  private async continueElsewhere (): Promise<void> {
    clearTimeout(this.timer)
    const continued = await this.source?.continueFrom(this.sent, (attempt) => this.follow(attempt)) ?? false
    if (continued || this.done) return
    this.finish('broken')
    this.res.destroy()
  }

  /** Runs before the attempt's first data: a pause that it causes must be undone on the same attempt. */
  private follow (attempt: httpAttempt.HttpAttempt): void {
    if (this.done) {
      attempt.cancel()
      return
    }
    this.attempt = attempt
    attempt.pipe(this)
    this.watchTarget()
  }

  private watchTarget (): void {
    this.watch(this.progressTimeoutMs, () => {
      this.attempt.abandon()
      this.continueElsewhere()
    })
  }

  private watch (ms: number, onSilent: () => void): void {
    clearTimeout(this.timer)
    if (!this.done) this.timer = setTimeout(onSilent, ms)
  }

  private finish (end: StreamEnd): void {
    if (this.done) return
    this.done = true
    clearTimeout(this.timer)
    this.onDone(end, this.sent)
  }
}
