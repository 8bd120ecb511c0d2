/** Virtual times of start-time fair queueing for the flows of one rank. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

/** What the configuration and the other instances say of flows. */
export interface IFlowRules {
  /** Returns the weight of a flow, 1 being the mean. */
  weightOf(flow: string): number
  /** Returns whether the calls of a flow come after equal ones of other flows. */
  givesWay(flow: string): boolean
  /** Returns whether no calls of a service are less urgent than those of a priority. */
  isLeastUrgent(service: string, priority: configDocument.LanePriority): boolean
}

/** Rules by which all flows are equal. */
export const equalFlows: IFlowRules = { weightOf: () => 1, givesWay: () => false, isLeastUrgent: () => true }

interface FlowState {
  /** Number of calls that are queued or hold a slot. */
  outstanding: number
  /** Virtual time at which the previous call of the flow ends. */
  finish: number
}

/**
 * Flows with outstanding calls. A flow without any is forgotten, so that calls of flows with one call at a time all start at the same
 * virtual time.
 */
export class FlowSchedule {
  private readonly flows = new Map<string, FlowState>()
  private now = 0

  constructor (private readonly rules: IFlowRules) {}

  get virtualTime (): number {
    return this.now
  }

  /** Returns the virtual start of the next call of a flow. */
  startOf (flow: string | undefined): number {
    const finish = flow === undefined ? undefined : this.flows.get(flow)?.finish
    return Math.max(this.now, finish ?? this.now)
  }

  add (flow: string | undefined): void {
    if (flow === undefined) return
    const state = this.flows.get(flow)
    if (state === undefined) this.flows.set(flow, { outstanding: 1, finish: this.now })
    else state.outstanding++
  }

  /** Adds the cost of a call to the finish of its flow, which has outstanding calls. */
  charge (flow: string | undefined): void {
    const state = flow === undefined ? undefined : this.flows.get(flow)
    if (state !== undefined) state.finish = Math.max(this.now, state.finish) + this.costOf(flow!)
  }

  /** Takes the cost of a call back that is not served. Returns the cost. */
  withdraw (flow: string): number {
    const state = this.flows.get(flow)
    const cost = this.costOf(flow)
    if (state !== undefined) state.finish = Math.max(this.now, state.finish - cost)
    return cost
  }

  /** Ends a call; forgets the flow with its last one. */
  release (flow: string | undefined): void {
    const state = flow === undefined ? undefined : this.flows.get(flow)
    if (state === undefined || --state.outstanding > 0) return
    this.flows.delete(flow!)
  }

  /** Advances the virtual time to the start of a call that is served. */
  advance (start: number): void {
    this.now = Math.max(this.now, start)
  }

  private costOf (flow: string): number {
    return 1 / Math.max(Number.MIN_VALUE, this.rules.weightOf(flow))
  }
}
