/** Queue of calls that wait for a slot, ordered by priority, then fairly between flows, and then by deadline. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as flowSchedule from './flowSchedule.js'

const namedRanks: { readonly [P in Extract<configDocument.LanePriority, string>]: number } = { urgent: 0, normal: 1, bulk: 2 }

/** Returns the rank of a priority; the lowest rank is served first. */
export function rankOf (priority: configDocument.LanePriority): number {
  return typeof priority === 'number' ? priority : namedRanks[priority]
}

/** Holds what determines the position of a call in the queue. */
export interface QueuedCall {
  readonly priority: configDocument.LanePriority
  readonly deadlineAt: number
  /** Calls of the same flow share its part of the slots; undefined for a call that is a flow of its own. */
  readonly flow?: string | undefined
}

/** A call with its place in the order. */
interface QueuedItem<T> {
  readonly call: T
  readonly rank: number
  readonly deadlineAt: number
  readonly flow: string | undefined
  /** Virtual time of the rank when the call was queued; it cannot start earlier. */
  readonly queuedAt: number
  start: number
  readonly givesWay: boolean
}

/** Sorted array. Insertion moves the items behind the new one, which is cheap because deadlines limit the wait and so keep queues short. */
export class WaitingQueue<T extends QueuedCall> {
  private items: Array<QueuedItem<T>> = []
  private readonly schedules = new Map<number, flowSchedule.FlowSchedule>()

  constructor (private readonly rules: flowSchedule.IFlowRules = flowSchedule.equalFlows) {}

  get length (): number {
    return this.items.length
  }

  add (call: T): void {
    const item = this.toItem(call)
    this.items.splice(this.findIndex(item), 0, item)
    this.scheduleOf(item.rank).add(item.flow)
    this.scheduleOf(item.rank).charge(item.flow)
  }

  /** Removes a call that is not served. The later calls of its flow move up. */
  remove (call: T): void {
    const removed = this.take(call)
    if (removed?.flow === undefined) return
    const schedule = this.scheduleOf(removed.rank)
    const cost = schedule.withdraw(removed.flow)
    for (const item of this.items) {
      if (item.flow === removed.flow && item.rank === removed.rank && item.start > removed.start) item.start = Math.max(item.queuedAt, item.start - cost)
    }
    this.items.sort((a, b) => isBefore(a, b) ? -1 : isBefore(b, a) ? 1 : 0)
    schedule.release(removed.flow)
  }

  /** Removes a call that is served. */
  serve (call: T): void {
    const served = this.take(call)
    if (served === undefined) return
    const schedule = this.scheduleOf(served.rank)
    schedule.advance(served.start)
    schedule.release(served.flow)
  }

  /** Counts a call that is served without being queued. */
  serveDirectly (call: QueuedCall): void {
    const schedule = this.scheduleOf(rankOf(call.priority))
    schedule.advance(schedule.startOf(call.flow))
    schedule.charge(call.flow)
  }

  /** Counts a slot that a call of a flow holds, until the returned function is called, once. */
  hold ({ priority, flow }: Pick<QueuedCall, 'priority' | 'flow'>): () => void {
    const schedule = this.scheduleOf(rankOf(priority))
    schedule.add(flow)
    return () => schedule.release(flow)
  }

  /** Returns a copy of the calls in order. */
  snapshot (): readonly T[] {
    return this.items.map(({ call }) => call)
  }

  /** Yields the calls in order, without those that are removed meanwhile. */
  * waiting (): Generator<T> {
    for (const call of this.snapshot()) {
      if (this.items.some((item) => item.call === call)) yield call
    }
  }

  /** Returns the number of calls that would be served before a call that is not queued. */
  position (call: QueuedCall): number {
    return this.findIndex(this.toItem(call))
  }

  /** Returns the number of calls that are served before a queued one. */
  indexOf (call: T): number {
    return this.items.findIndex((item) => item.call === call)
  }

  /** Returns whether the calls of a flow come after equal ones of other flows. */
  givesWay (flow: string | undefined): boolean {
    return flow !== undefined && this.rules.givesWay(flow)
  }

  private toItem<C extends QueuedCall> (call: C): QueuedItem<C> {
    const { priority, flow, deadlineAt } = call
    const rank = rankOf(priority)
    const schedule = this.scheduleOf(rank)
    return { call, rank, deadlineAt, flow, queuedAt: schedule.virtualTime, start: schedule.startOf(flow), givesWay: this.givesWay(flow) }
  }

  private take (call: T): QueuedItem<T> | undefined {
    const index = this.indexOf(call)
    return index >= 0 ? this.items.splice(index, 1)[0] : undefined
  }

  private findIndex (item: QueuedItem<QueuedCall>): number {
    let low = 0
    let high = this.items.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (isBefore(item, this.items[middle]!)) high = middle
      else low = middle + 1
    }
    return low
  }

  private scheduleOf (rank: number): flowSchedule.FlowSchedule {
    let schedule = this.schedules.get(rank)
    if (schedule === undefined) {
      schedule = new flowSchedule.FlowSchedule(this.rules)
      this.schedules.set(rank, schedule)
    }
    return schedule
  }
}

function isBefore (a: QueuedItem<QueuedCall>, b: QueuedItem<QueuedCall>): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank
  if (a.start !== b.start) return a.start < b.start
  if (a.givesWay !== b.givesWay) return b.givesWay
  return a.deadlineAt < b.deadlineAt
}
