/** Ends a stream on which nothing was heard for a few heartbeats, whatever TCP says of its connection. */
import * as clock from '@rosemaryrack/base/common/clock.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const silenceMs = 3500

/** Watches one stream; its signal aborts when the stream falls silent or the parent signal aborts. */
export class StreamWatchdog implements lifecycle.IDisposable {
  private readonly controller = new AbortController()
  private cancelCheck: () => void
  private readonly onParentAbort = (): void => this.controller.abort()
  private heardAt: number

  /** @param onSilent called once when the stream falls silent. */
  constructor (private readonly parent: AbortSignal, private readonly onSilent: () => void, private readonly time: clock.IClock = new clock.SystemClock()) {
    this.heardAt = this.time.now()
    parent.addEventListener('abort', this.onParentAbort)
    this.cancelCheck = this.time.after(silenceMs, () => this.check())
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  heard (): void {
    this.heardAt = this.time.now()
  }

  /** Ends the stream. */
  abort (): void {
    this.controller.abort()
  }

  dispose (): void {
    this.cancelCheck()
    this.parent.removeEventListener('abort', this.onParentAbort)
  }

  /** Runs when silence since the last look would be too long; what was heard meanwhile moves the next look. */
  private check (): void {
    const leftMs = silenceMs - (this.time.now() - this.heardAt)
    if (leftMs > 0) {
      this.cancelCheck = this.time.after(leftMs, () => this.check())
      return
    }
    this.controller.abort()
    this.onSilent()
    this.dispose()
  }
}
