/** The lower bound: one queue per service with perfect knowledge of its targets and no network between. */
import type * as fakeTarget from './fakeTarget.js'
import type * as runStats from './runStats.js'
import type * as targetPark from './targetPark.js'
import type * as virtualClock from './virtualClock.js'
import type * as workload from './workload.js'
import * as waitingQueue from '@rosemaryrack/routing/common/waitingQueue.js'

interface Waiting extends waitingQueue.Waiting {
  readonly arrival: workload.Arrival
  readonly counts: runStats.LaneCounts
  readonly expiresAt: number
}

/** Serves all arrivals from central queues. */
export class CentralQueue {
  private readonly queues = new Map<string, waitingQueue.WaitingQueue<Waiting>>()

  constructor (
    private readonly deployment: workload.Deployment,
    private readonly park: targetPark.TargetPark,
    private readonly clock: virtualClock.VirtualClock
  ) {
    for (const { name } of deployment.services) this.queues.set(name, new waitingQueue.WaitingQueue())
  }

  add (arrival: workload.Arrival, counts: runStats.LaneCounts): void {
    const { lane } = arrival.lane
    this.clock.after(arrival.at, () => {
      counts.calls++
      const expiresAt = arrival.at + Math.min(lane.maxWaitMs, lane.deadlineMs)
      this.queues.get(lane.service)!.add({ priority: lane.priority, deadlineAt: arrival.at + lane.deadlineMs, arrival, counts, expiresAt })
      this.pump(lane.service)
    })
  }

  private pump (service: string): void {
    const queue = this.queues.get(service)!
    for (const waiting of queue.snapshot()) {
      if (this.clock.now() > waiting.expiresAt) {
        queue.remove(waiting)
        waiting.counts.refused++
        continue
      }
      const target = this.fastestFree(service)
      if (target === undefined) return
      queue.remove(waiting)
      this.serve(waiting, target)
    }
  }

  /** Knows which endpoints are slow or fail now, and avoids them. */
  private fastestFree (service: string): fakeTarget.FakeTarget | undefined {
    return this.park.targetsOf(service).find((target) => target.freeSlots > 0 && target.slownessNow === 1 && !target.failsNow)
  }

  private serve ({ arrival, counts }: Waiting, target: fakeTarget.FakeTarget): void {
    target.submit(arrival.costMs, () => {
      const ms = this.clock.now() - arrival.at + 2 * this.deployment.oneWayMs
      counts.answered++
      counts.latency.record(ms)
      this.pump(arrival.lane.lane.service)
    })
  }
}
