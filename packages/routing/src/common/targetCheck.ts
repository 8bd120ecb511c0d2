/** Checks at the same time whether any of a few endpoints can be reached. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'

/** Time in which a target accepts a connection and answers. */
const checkTimeoutMs = 300
/** Time in which a target answers that has accepted a connection: an overloaded one is slow, but reachable. */
const acceptedCheckTimeoutMs = 1000
/** Delay of a timer from which on the process may have been paused, so that responses wait unread. */
const maxTimerDelayMs = 100

/** Progress of the check of one endpoint: `accepted` may be followed by `answered` or `failed`, which are final. */
export type CheckProgress = 'accepted' | 'answered' | 'failed'

/** Checks endpoints by new connections. */
export interface ITargetChecker {
  /** Opens a connection to the endpoint and waits for a response; returns a function that cancels the check. */
  check(endpoint: endpointTable.Endpoint, report: (progress: CheckProgress) => void): () => void
}

/** How the checks ended; `delayed` if the process was paused, so that none of them can be judged. */
export type CheckOutcome = 'completed' | 'delayed'

/** Receives the results of the checks. */
export interface ICheckListener {
  onAnswered(endpoint: endpointTable.Endpoint): void
  /** Called once when all checks are over. Those that have answered were reported before. */
  onEnd(outcome: CheckOutcome): void
}

/** One round of checks. */
export class TargetCheck implements lifecycle.IDisposable {
  private readonly progressByEndpoint = new Map<endpointTable.Endpoint, CheckProgress | undefined>()
  private readonly cancels: Array<() => void> = []
  private readonly startedAt: number
  private cancelTimer = (): void => {}
  private isOver = false

  constructor (private readonly checker: ITargetChecker, private readonly clock: clock.IClock, private readonly listener: ICheckListener) {
    this.startedAt = clock.now()
  }

  start (endpoints: readonly endpointTable.Endpoint[]): void {
    for (const endpoint of endpoints) this.progressByEndpoint.set(endpoint, undefined)
    this.scheduleTimeout(checkTimeoutMs)
    for (const endpoint of endpoints) {
      if (this.isOver) return
      const cancel = this.checker.check(endpoint, (progress) => this.onProgress(endpoint, progress))
      if (this.isOver) cancel()
      else this.cancels.push(cancel)
    }
  }

  /** Cancels the checks that are not over; no event follows. */
  dispose (): void {
    if (this.isOver) return
    this.isOver = true
    this.cancelTimer()
    for (const cancel of this.cancels) cancel()
  }

  private onProgress (endpoint: endpointTable.Endpoint, progress: CheckProgress): void {
    if (this.isOver) return
    this.progressByEndpoint.set(endpoint, progress)
    if (progress === 'answered') this.listener.onAnswered(endpoint)
    if (this.progresses.every((each) => each === 'answered' || each === 'failed')) this.end('completed')
  }

  private get progresses (): ReadonlyArray<CheckProgress | undefined> {
    return [...this.progressByEndpoint.values()]
  }

  private scheduleTimeout (ms: number): void {
    const dueAt = this.clock.now() + ms
    this.cancelTimer = this.clock.after(ms, () => this.onTimeout(dueAt))
  }

  private onTimeout (dueAt: number): void {
    const now = this.clock.now()
    if (now - dueAt > maxTimerDelayMs) {
      this.end('delayed')
      return
    }
    const remainingMs = this.startedAt + acceptedCheckTimeoutMs - now
    if (remainingMs > 0 && this.progresses.includes('accepted')) this.scheduleTimeout(remainingMs)
    else this.end('completed')
  }

  private end (outcome: CheckOutcome): void {
    if (this.isOver) return
    this.dispose()
    this.listener.onEnd(outcome)
  }
}
