/** Aborts a stream that received nothing for a few heartbeats, even if its TCP connection still appears open. */
import * as clock from '@rosemaryrack/base/common/clock.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const defaultSilenceTimeoutMs = 3500
/** Bytes within the timeout that count as activity: more than responses to pings, so that they belong to a message. */
const minProgressBytes = 4096

/** What a watchdog may know of the stream. */
export interface WatchdogOptions {
  readonly silenceTimeoutMs?: number
  /** Returns the bytes received on the connection. A message that takes longer than the timeout arrives only if these count as activity. */
  readonly receivedBytes?: () => number
}

/** Watches one stream; its signal aborts when the stream times out or the parent signal aborts. */
export class StreamWatchdog implements lifecycle.IDisposable {
  private readonly controller = new AbortController()
  private cancelCheck: () => void
  private readonly onParentAbort = (): void => this.controller.abort()
  private lastActivityAt: number
  private activeBytes = 0
  private isSilent = false
  private readonly silenceTimeoutMs: number

  /** @param onTimeout called once when the stream times out. */
  constructor (
    private readonly parent: AbortSignal,
    private readonly onTimeout: () => void,
    private readonly options: WatchdogOptions = {},
    private readonly time: clock.IClock = new clock.SystemClock()
  ) {
    this.silenceTimeoutMs = options.silenceTimeoutMs ?? defaultSilenceTimeoutMs
    this.lastActivityAt = this.time.now()
    parent.addEventListener('abort', this.onParentAbort)
    this.cancelCheck = this.time.after(this.silenceTimeoutMs, () => this.check())
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
    this.activeBytes = this.receivedBytes
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
    // The count of a new connection starts at 0 again.
    if (Math.abs(this.receivedBytes - this.activeBytes) >= minProgressBytes) this.noteActivity()
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

  private get receivedBytes (): number {
    return this.options.receivedBytes?.() ?? 0
  }
}
