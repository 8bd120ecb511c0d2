/**
 * Probes the load of a few endpoints before a call is sent, and chooses the one with the lowest expected latency. Probing is
 * needed because load changes faster than an instance can observe from its own calls: it sends a call to a given endpoint
 * only every few seconds.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as budget from './budget.js'
import type * as dispatcher from './dispatcher.js'
import type * as slotAssignment from './slotAssignment.js'
import type * as timeLimits from './timeLimits.js'

/** Load of an endpoint, as the endpoint has just reported it. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Factor on the processing time at this moment, 1 at the usual speed. */
  readonly slowdown: number
}

/** Outcome of a probe: `refused` if nothing listens at the endpoint, `none` if there is no usable report. */
export type ProbeOutcome =
  | { readonly kind: 'report', readonly report: LoadReport }
  | { readonly kind: 'refused' }
  | { readonly kind: 'none', readonly message: string }

/** Sends load probes. */
export interface IProber {
  /** Sends a probe and calls `done` once, at any time; returns a function that cancels the probe. */
  probe(endpoint: endpointTable.Endpoint, done: (outcome: ProbeOutcome) => void): () => void
}

/** Options of load probing. */
export interface ProbingOptions {
  /** Maximum number of endpoints that are probed for one call. */
  readonly candidates: number
  /** Maximum time that a call waits for reports, in milliseconds. */
  readonly timeoutMs: number
  /** Time for the report of the first endpoint before the others are probed too, in milliseconds; 0 probes all at once. */
  readonly staggerMs: number
}

/** Services that load probing uses. */
export interface ProbingDeps {
  readonly dispatcher: dispatcher.Dispatcher
  readonly prober: IProber
  readonly budget: budget.IBudget
  readonly clock: clock.IClock
}

/**
 * Maximum cost at which an endpoint is chosen without waiting for the other reports, that is, an endpoint at its usual speed with
 * at most `contentionShare` of its slots busy.
 */
const goodEnoughCost = 1.4
/** Share of busy slots above which requests compete for the processor of an endpoint, and the slowdown that this causes. */
const contentionShare = 0.75
const contentionSlowdown = 1.7

/**
 * Returns the expected latency of one more request at an endpoint, relative to an idle one. Busy slots below
 * `contentionShare` add a little, so that of two equal endpoints the less busy one is chosen.
 */
export function relativeCost ({ running, waiting, slots, slowdown }: LoadReport): number {
  const busyShare = (running + 1) / slots
  const contention = busyShare > contentionShare ? contentionSlowdown : 1
  const queued = Math.max(0, running + waiting + 1 - slots) / slots
  // The busy share is divided by 4 so that it matters only between otherwise similar endpoints.
  return slowdown * contention * (1 + busyShare / 4) + queued * slowdown
}

/**
 * Result of a selection: the placement to use; `overloaded` if no probed endpoint can respond in time; `no-free-slot` if none has a
 * free slot for a late call.
 */
export type EndpointChoice =
  | { readonly kind: 'placed', readonly placement: slotAssignment.Placement, readonly why: string }
  | { readonly kind: 'overloaded', readonly expectedLatencyMs: number, readonly why: string }
  | { readonly kind: 'no-free-slot' }

interface ProbedEndpoint {
  readonly placement: slotAssignment.Placement
  readonly domainFactor: number
  /** Cost from the load report; infinite without one. */
  cost: number
  hasQueue: boolean
  isFull: boolean
  isPending: boolean
  cancelProbe: () => void
}

/** Selects the endpoint of one attempt by probing the load of several, and releases the placements that are not selected. */
export class EndpointSelection {
  private readonly probed: ProbedEndpoint[] = []
  private isSettled = false
  private cancelTimeout = (): void => {}
  private cancelStagger = (): void => {}
  private probeOthers = (): void => {}

  /** @param done called once, but not after `cancel`. */
  constructor (private readonly deps: ProbingDeps, private readonly timeLimits: timeLimits.TimeLimits, private readonly done: (choice: EndpointChoice) => void) {}

  /** Probes the endpoint of a placement, and those of additional placements. */
  start (first: slotAssignment.Placement, request: slotAssignment.SlotRequest, { candidates, timeoutMs, staggerMs }: ProbingOptions): void {
    const { clock, dispatcher } = this.deps
    const others = dispatcher.acquireAdditional(request, first, candidates - 1)
    for (const placement of [first, ...others]) {
      const domainFactor = dispatcher.domainFactor(placement.endpoint, request)
      this.probed.push({ placement, domainFactor, cost: Infinity, hasQueue: false, isFull: false, isPending: true, cancelProbe: () => {} })
    }
    this.cancelTimeout = clock.after(timeoutMs, () => this.choose('timed out waiting for reports'))
    this.probeOthers = () => {
      if (this.isSettled) return
      this.probeOthers = () => {}
      this.cancelStagger()
      for (const each of this.probed.slice(1)) this.sendProbe(each)
    }
    // If the first report is good, no others are needed; each costs work at the endpoint and may need a new connection.
    if (staggerMs > 0) this.cancelStagger = clock.after(staggerMs, () => this.probeOthers())
    this.sendProbe(this.probed[0]!)
    if (staggerMs === 0) this.probeOthers()
  }

  /** Cancels the probes and releases all placements. */
  cancel (): void {
    if (this.isSettled) return
    this.settle(undefined)
  }

  private sendProbe (probed: ProbedEndpoint): void {
    if (this.isSettled) return
    if (!this.deps.budget.take()) {
      this.onOutcome(probed, { kind: 'none', message: 'no probe left in the budget' })
      return
    }
    const cancelProbe = this.deps.prober.probe(probed.placement.endpoint, (outcome) => this.onOutcome(probed, outcome))
    if (probed.isPending) probed.cancelProbe = cancelProbe
  }

  private onOutcome (probed: ProbedEndpoint, outcome: ProbeOutcome): void {
    if (this.isSettled || !probed.isPending) return
    probed.isPending = false
    if (outcome.kind === 'refused') probed.placement.stats.recordConnectionRefused(this.deps.clock.now())
    if (outcome.kind === 'report') {
      probed.cost = relativeCost(outcome.report)
      probed.hasQueue = outcome.report.waiting > 0
      probed.isFull = outcome.report.running >= outcome.report.slots
      probed.placement.stats.recordReport(probed.cost, this.deps.clock.now())
    }
    if (weightedCost(probed) <= goodEnoughCost) {
      this.choose('answered')
      return
    }
    this.probeOthers()
    if (this.probed.every(({ isPending }) => !isPending)) this.choose('answered')
  }

  private choose (reason: string): void {
    if (this.isSettled) return
    if (this.timeLimits.shouldWaitForFreeSlot && this.probed.every(({ isFull }) => isFull)) {
      this.settle(undefined)
      this.done({ kind: 'no-free-slot' })
      return
    }
    const { best } = this
    const why = this.describe(reason)
    const expectedLatencyMs = best.cost * this.timeLimits.idleEndpointLatencyMs
    // One more call in the queues would be late and delay others. An endpoint that is slow without a queue may recover.
    const isOverloaded = this.probed.every(({ hasQueue }) => hasQueue) && expectedLatencyMs > this.timeLimits.usefulTimeLeftMs
    this.settle(isOverloaded ? undefined : best)
    this.done(isOverloaded ? { kind: 'overloaded', expectedLatencyMs, why } : { kind: 'placed', placement: best.placement, why })
  }

  /** Ends the selection with the best endpoint so far, however busy it is. */
  chooseNow (reason: string): void {
    if (this.isSettled) return
    const { best } = this
    const why = this.describe(reason)
    this.settle(best)
    this.done({ kind: 'placed', placement: best.placement, why })
  }

  private get best (): ProbedEndpoint {
    return this.probed.reduce((least, each) => weightedCost(each) < weightedCost(least) ? each : least)
  }

  private describe (reason: string): string {
    const costs = this.probed.map(({ placement, cost, isPending }) => `${placement.endpoint.endpoint}:${isPending ? '?' : cost.toFixed(2)}`).join(' ')
    return `probed ${costs}, ${reason}`
  }

  private settle (kept: ProbedEndpoint | undefined): void {
    this.isSettled = true
    this.cancelTimeout()
    this.cancelStagger()
    for (const each of this.probed) {
      if (each.isPending) each.cancelProbe()
      if (each !== kept) each.placement.release()
    }
  }
}

/** Returns the cost multiplied by the factor of the endpoint's failure domain. */
function weightedCost ({ cost, domainFactor }: ProbedEndpoint): number {
  return cost * domainFactor
}
