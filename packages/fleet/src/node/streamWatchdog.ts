/** Aborts a stream that received nothing for a few heartbeats, even if its TCP connection still appears open. */
import * as clock from '@rosemaryrack/base/common/clock.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const defaultSilenceTimeoutMs = 3500

/** Watches one stream; its signal aborts when the stream times out or the parent signal aborts. */
export class StreamWatchdog implements lifecycle.IDisposable {
  private readonly controller = new AbortController()
  private cancelCheck: () => void
  private readonly onParentAbort = (): void => this.controller.abort()
  private lastActivityAt: number
  private isSilent = false

  /** @param onTimeout called once when the stream times out. */
  constructor (
    private readonly parent: AbortSignal,
    private readonly onTimeout: () => void,
    private readonly silenceTimeoutMs = defaultSilenceTimeoutMs,
    private readonly time: clock.IClock = new clock.SystemClock()
  ) {
    this.lastActivityAt = this.time.now()
    parent.addEventListener('abort', this.onParentAbort)
    this.cancelCheck = this.time.after(silenceTimeoutMs, () => this.check())
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Message of the timeout; undefined while the stream has not timed out. */
  get timeoutMessage (): string | undefined {
    return this.isSilent ? `no message for ${this.silenceTimeoutMs} ms` : undefined
  }

  noteActivity (): void {
    this.lastActivityAt = this.time.now()
  }

  /** Aborts the stream without calling `onTimeout`. */
  abort (): void {
    this.controller.abort()
  }

  dispose (): void {
    this.cancelCheck()
    this.parent.removeEventListener('abort', this.onParentAbort)
  }

  /** Aborts the stream if it received nothing during the timeout; otherwise checks again when the timeout since the last activity would expire. */
  private check (): void {
    const remainingMs = this.silenceTimeoutMs - (this.time.now() - this.lastActivityAt)
    if (remainingMs > 0) {
      this.cancelCheck = this.time.after(remainingMs, () => this.check())
      return
    }
    this.isSilent = true
    this.controller.abort()
    this.onTimeout()
    this.dispose()
  }
}
