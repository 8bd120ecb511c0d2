/** A target as the bench models it: slots, a queue, its speed over time, shedding and failing. */
import type * as clock from '@rosemaryrack/base/common/clock.js'

const cancelDelayMs = 0.5
const shedAnswerMs = 0.1
const fastFailureMs = 0.2

/** How a run of a request at a target ended. */
export type RunEnd = 'done' | 'shed' | 'failed' | 'reset'

/** Behaviour of a target over the run. */
export interface TargetFaults {
  /** Factor on the cost of what starts now. */
  slowness(now: number): number
  /** True while each request fails at once. */
  fails(now: number): boolean
  /** Longest queue before requests are shed. */
  readonly queueLimit: number
  /** The connection of each so many-th request is reset once it has run; 0 for none. */
  readonly resetEvery: number
}

interface Job {
  costMs: number
  readonly end: RunEnd
  readonly done: (end: RunEnd) => void
  cancelTimer: (() => void) | undefined
  cancelled: boolean
}

/** Runs jobs in its slots, the others wait in the order they came. */
export class FakeTarget {
  private readonly queue: Job[] = []
  private busy = 0
  private busySince = 0
  private busyMs = 0
  private served = 0
  /** Most requests that were in the target at once. */
  mostPresent = 0

  constructor (readonly id: string, readonly slots: number, private readonly faults: TargetFaults, private readonly clock: clock.IClock) {}

  /** Utilization now, 1 when all slots are busy. */
  get load (): number {
    return (this.busy + this.queue.length) / this.slots
  }

  get freeSlots (): number {
    return this.slots - this.busy
  }

  get slownessNow (): number {
    return this.faults.slowness(this.clock.now())
  }

  get failsNow (): boolean {
    return this.faults.fails(this.clock.now())
  }

  /** Busy slot time so far, in milliseconds. */
  get busyTime (): number {
    this.account(0)
    return this.busyMs
  }

  get servedCount (): number {
    return this.served
  }

  /** Takes a request; returns a function that cancels it, which frees its slot a little later. */
  submit (costMs: number, done: (end: RunEnd) => void): () => void {
    if (this.faults.fails(this.clock.now())) {
      this.served++
      return this.clock.after(fastFailureMs, () => done('failed'))
    }
    if (this.queue.length >= this.faults.queueLimit) return this.clock.after(shedAnswerMs, () => done('shed'))
    this.served++
    const reset = this.faults.resetEvery > 0 && this.served % this.faults.resetEvery === 0
    const job: Job = { costMs, end: reset ? 'reset' : 'done', done, cancelTimer: undefined, cancelled: false }
    this.queue.push(job)
    this.startJobs()
    this.mostPresent = Math.max(this.mostPresent, this.busy + this.queue.length)
    return () => this.cancel(job)
  }

  private startJobs (): void {
    while (this.busy < this.slots && this.queue.length > 0) {
      const job = this.queue.shift()!
      this.account(1)
      const ms = job.costMs * this.faults.slowness(this.clock.now())
      job.cancelTimer = this.clock.after(ms, () => {
        this.account(-1)
        this.startJobs()
        job.done(job.end)
      })
    }
  }

  private cancel (job: Job): void {
    if (job.cancelled) return
    job.cancelled = true
    const waiting = this.queue.indexOf(job)
    if (waiting >= 0) {
      this.queue.splice(waiting, 1)
      return
    }
    job.cancelTimer?.()
    this.clock.after(cancelDelayMs, () => {
      this.account(-1)
      this.startJobs()
    })
  }

  private account (change: number): void {
    const now = this.clock.now()
    this.busyMs += this.busy * (now - this.busySince)
    this.busySince = now
    this.busy += change
  }
}
