/** Ideal dispatcher whose latency is the lower bound for all policies: one queue per service that knows the current state of every target and dispatches without network delay. */
import type * as fakeTarget from './fakeTarget.js'
import type * as runStats from './runStats.js'
import type * as targetPool from './targetPool.js'
import type * as virtualClock from './virtualClock.js'
import type * as workload from './workload.js'
import * as waitingQueue from '@rosemaryrack/routing/common/waitingQueue.js'

interface QueuedArrival extends waitingQueue.QueuedCall {
  readonly arrival: workload.Arrival
  readonly counts: runStats.LaneCounts
  readonly expiresAt: number
}

/** Dispatches all arrivals from one central queue per service. */
export class CentralQueue {
  private readonly queues = new Map<string, waitingQueue.WaitingQueue<QueuedArrival>>()

  constructor (
    private readonly deployment: workload.Deployment,
    private readonly targets: targetPool.TargetPool,
    private readonly clock: virtualClock.VirtualClock
  ) {
    for (const { name } of deployment.services) this.queues.set(name, new waitingQueue.WaitingQueue())
  }

  scheduleArrival (arrival: workload.Arrival, counts: runStats.LaneCounts): void {
    const { config: lane } = arrival.lane
    this.clock.after(arrival.at, () => {
      counts.calls++
      const expiresAt = arrival.at + Math.min(lane.maxWaitMs, lane.deadlineMs)
      this.queues.get(lane.service)!.add({ priority: lane.priority, deadlineAt: arrival.at + lane.deadlineMs, arrival, counts, expiresAt })
      this.dispatchQueued(lane.service)
    })
  }

  private dispatchQueued (service: string): void {
    const queue = this.queues.get(service)!
    for (const queued of queue.snapshot()) {
      if (this.clock.now() > queued.expiresAt) {
        queue.remove(queued)
        queued.counts.refused++
        continue
      }
      const target = this.findFreeTarget(service)
      if (target === undefined) return
      queue.remove(queued)
      this.serve(queued, target)
    }
  }

  /** Returns a target with a free slot that is neither slowed down nor failing now. */
  private findFreeTarget (service: string): fakeTarget.FakeTarget | undefined {
    return this.targets.getServiceTargets(service).find((target) => target.freeSlots > 0 && target.currentSlowdown === 1 && !target.isFailingNow)
  }

  private serve ({ arrival, counts }: QueuedArrival, target: fakeTarget.FakeTarget): void {
    target.submit(arrival.costMs, () => {
      const latencyMs = this.clock.now() - arrival.at + 2 * this.deployment.oneWayDelayMs
      counts.answered++
      counts.latency.record(latencyMs)
      this.dispatchQueued(arrival.lane.config.service)
    })
  }
}
