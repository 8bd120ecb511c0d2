/** Ends a stream on which nothing was heard for a few heartbeats, whatever TCP says of its connection. */
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const silenceMs = 3500
const checkMs = 500

/** Watches one stream; its signal aborts when the stream falls silent or the parent signal aborts. */
export class StreamWatchdog implements lifecycle.IDisposable {
  private readonly controller = new AbortController()
  private readonly timer: NodeJS.Timeout
  private readonly onParentAbort = (): void => this.controller.abort()
  private heardAt = performance.now()

  /** @param onSilent called once when the stream falls silent. */
  constructor (private readonly parent: AbortSignal, onSilent: () => void) {
    parent.addEventListener('abort', this.onParentAbort)
    this.timer = setInterval(() => {
      if (performance.now() - this.heardAt < silenceMs) return
      this.controller.abort()
      onSilent()
      this.dispose()
    }, checkMs)
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  heard (): void {
    this.heardAt = performance.now()
  }

  /** Ends the stream. */
  abort (): void {
    this.controller.abort()
  }

  dispose (): void {
    clearInterval(this.timer)
    this.parent.removeEventListener('abort', this.onParentAbort)
  }
}
