/** Simulated target: slots, a queue, a speed that varies over time, load shedding and failures. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

/** Time until a cancelled request frees its slot. */
const cancelDelayMs = 0.5
const shedResponseMs = 0.1
const fastFailureMs = 0.2

/** How a request ended at a target. */
export type RequestOutcome = 'done' | 'shed' | 'failed' | 'reset'

/** Faults of a target, which can change over the run. */
export interface TargetFaults {
  /** Returns the factor by which the cost of a request that starts at `now` is multiplied. */
  slowdownFactor(now: number): number
  /** Returns true while every request fails immediately. */
  isFailing(now: number): boolean
  /** Length of the queue at which further requests are shed. */
  readonly maxQueueLength: number
  /** The connection of every n-th request is reset after it has run; 0 for none. */
  readonly resetEveryNth: number
}

interface Job {
  costMs: number
  readonly outcome: RequestOutcome
  readonly done: (outcome: RequestOutcome) => void
  cancelCompletion: (() => void) | undefined
  isCancelled: boolean
}

/** Runs as many requests as it has slots; the others wait in a FIFO queue. */
export class FakeTarget {
  private readonly queue: Job[] = []
  private busySlotCount = 0
  private lastUpdatedAt = 0
  private accumulatedBusyMs = 0
  private accepted = 0
  /** Highest number of running and queued requests at the same time. */
  peakRequestCount = 0

  constructor (readonly id: string, readonly slots: number, private readonly faults: TargetFaults, private readonly clock: clock.IClock) {}

  /** Current running and queued requests per slot; 1 when all slots are busy and none is queued. */
  get load (): number {
    return (this.busySlotCount + this.queue.length) / this.slots
  }

  get freeSlots (): number {
    return this.slots - this.busySlotCount
  }

  get currentSlowdown (): number {
    return this.faults.slowdownFactor(this.clock.now())
  }

  get isFailingNow (): boolean {
    return this.faults.isFailing(this.clock.now())
  }

  /** Sum of the busy time of all slots so far, in milliseconds. */
  get busySlotMs (): number {
    this.updateBusySlots(0)
    return this.accumulatedBusyMs
  }

  /** Number of requests accepted so far, including those that failed immediately; shed ones are not counted. */
  get acceptedCount (): number {
    return this.accepted
  }

  /** Accepts, sheds or fails a request; returns a function that cancels it, which frees its slot after `cancelDelayMs`. */
  submit (costMs: number, done: (outcome: RequestOutcome) => void): () => void {
    if (this.faults.isFailing(this.clock.now())) {
      this.accepted++
      return this.clock.after(fastFailureMs, () => done('failed'))
    }
    if (this.queue.length >= this.faults.maxQueueLength) return this.clock.after(shedResponseMs, () => done('shed'))
    this.accepted++
    const isReset = this.faults.resetEveryNth > 0 && this.accepted % this.faults.resetEveryNth === 0
    const job: Job = { costMs, outcome: isReset ? 'reset' : 'done', done, cancelCompletion: undefined, isCancelled: false }
    this.queue.push(job)
    this.startJobs()
    this.peakRequestCount = Math.max(this.peakRequestCount, this.busySlotCount + this.queue.length)
    return () => this.cancel(job)
  }

  private startJobs (): void {
    while (this.busySlotCount < this.slots && this.queue.length > 0) {
      const job = this.queue.shift()!
      this.updateBusySlots(1)
      const ms = job.costMs * this.faults.slowdownFactor(this.clock.now())
      job.cancelCompletion = this.clock.after(ms, () => {
        this.updateBusySlots(-1)
        this.startJobs()
        job.done(job.outcome)
      })
    }
  }

  private cancel (job: Job): void {
    if (job.isCancelled) return
    job.isCancelled = true
    const queueIndex = this.queue.indexOf(job)
    if (queueIndex >= 0) {
      this.queue.splice(queueIndex, 1)
      return
    }
    job.cancelCompletion?.()
    this.clock.after(cancelDelayMs, () => {
      this.updateBusySlots(-1)
      this.startJobs()
    })
  }

  private updateBusySlots (delta: number): void {
    const now = this.clock.now()
    this.accumulatedBusyMs += this.busySlotCount * (now - this.lastUpdatedAt)
    this.lastUpdatedAt = now
    this.busySlotCount += delta
  }
}
