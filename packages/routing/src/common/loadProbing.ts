/**
 * Asks a few endpoints for their load before a call is sent, and takes the one that will be done first. It answers load
 * that shifts faster than this instance's own calls can see: an entry meets one endpoint every few seconds.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as budget from './budget.js'
import type * as dispatcher from './dispatcher.js'
import type * as timeBudget from './timeBudget.js'

/** Load of an endpoint as it told it just now. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes at this moment, 1 as usual. */
  readonly slowdown: number
}

/** Outcome of a probe; `refused` when nothing listens at the endpoint, `none` when it tells nothing useful. */
export type ProbeOutcome =
  | { readonly kind: 'report', readonly report: LoadReport }
  | { readonly kind: 'refused' }
  | { readonly kind: 'none', readonly message: string }

/** Sends probes. */
export interface IProber {
  /** Calls `done` once, at any time; returns a function that gives the probe up. */
  probe(endpoint: endpointTable.Endpoint, done: (outcome: ProbeOutcome) => void): () => void
}

export interface ProbingOptions {
  /** Endpoints that are asked for one call. */
  readonly candidates: number
  /** Longest time that a call waits for answers, in milliseconds. */
  readonly timeoutMs: number
  /** Time in which the first endpoint may answer before the others are asked too, in milliseconds; 0 asks all at once. */
  readonly staggerMs: number
}

export interface ProbingDeps {
  readonly dispatcher: dispatcher.Dispatcher
  readonly prober: IProber
  readonly budget: budget.IBudget
  readonly clock: clock.IClock
}

/**
 * Expected cost up to which an endpoint is taken without waiting for the others' answers: at its usual speed with up to
 * the knee's share of its slots busy.
 */
const goodCost = 1.4
/** Share of busy slots from which on requests compete for an endpoint's processor, and the slowdown that this causes. */
const kneeShare = 0.75
const kneeSlowdown = 1.7

/**
 * Expected time of one more request at an endpoint, relative to that of an idle one. Busy slots below the knee count a
 * little, so that of two equal endpoints the idler one is taken.
 */
export function costOf ({ running, waiting, slots, slowdown }: LoadReport): number {
  const busyShare = (running + 1) / slots
  const knee = busyShare > kneeShare ? kneeSlowdown : 1
  const queued = Math.max(0, running + waiting + 1 - slots) / slots
  return slowdown * knee * (1 + busyShare / 4) + queued * slowdown
}

/** Outcome of a choice: a placement to use, or none, as no endpoint that was asked could answer in time, or has a free slot for a late call. */
export type Choice =
  | { readonly kind: 'placed', readonly placement: dispatcher.Placement, readonly why: string }
  | { readonly kind: 'overloaded', readonly expectedMs: number, readonly why: string }
  | { readonly kind: 'busy' }

interface Probed {
  readonly placement: dispatcher.Placement
  readonly domainFactor: number
  /** Cost by its report; infinite without one. */
  cost: number
  hasQueue: boolean
  isFull: boolean
  pending: boolean
  giveUp: () => void
}

/** One choice. The placements that are not taken are released. */
export class LoadProbe {
  private readonly probed: Probed[] = []
  private settled = false
  private cancelTimer = (): void => {}
  private cancelStagger = (): void => {}
  private askOthers = (): void => {}

  /** @param done called once, not after `cancel`. */
  constructor (private readonly deps: ProbingDeps, private readonly times: timeBudget.TimeBudget, private readonly done: (choice: Choice) => void) {}

  /** Probes the endpoint of a placement and others beside it. */
  start (first: dispatcher.Placement, ask: dispatcher.Ask, { candidates, timeoutMs, staggerMs }: ProbingOptions): void {
    const { clock, dispatcher } = this.deps
    const others = dispatcher.acquireBeside(ask, first, candidates - 1)
    for (const placement of [first, ...others]) {
      const domainFactor = dispatcher.domainFactor(placement.endpoint, ask)
      this.probed.push({ placement, domainFactor, cost: Infinity, hasQueue: false, isFull: false, pending: true, giveUp: () => {} })
    }
    this.cancelTimer = clock.after(timeoutMs, () => this.choose('no more answers in time'))
    this.askOthers = () => {
      if (this.settled) return
      this.askOthers = () => {}
      this.cancelStagger()
      for (const each of this.probed.slice(1)) this.ask(each)
    }
    // A good first answer makes the others needless, which cost their endpoints work and this instance connections.
    if (staggerMs > 0) this.cancelStagger = clock.after(staggerMs, () => this.askOthers())
    this.ask(this.probed[0]!)
    if (staggerMs === 0) this.askOthers()
  }

  /** Gives all placements back. */
  cancel (): void {
    if (this.settled) return
    this.settle(undefined)
  }

  private ask (each: Probed): void {
    if (this.settled) return
    if (!this.deps.budget.take()) {
      this.answered(each, { kind: 'none', message: 'no probe left in the budget' })
      return
    }
    const giveUp = this.deps.prober.probe(each.placement.endpoint, (outcome) => this.answered(each, outcome))
    if (each.pending) each.giveUp = giveUp
  }

  private answered (each: Probed, outcome: ProbeOutcome): void {
    if (this.settled || !each.pending) return
    each.pending = false
    if (outcome.kind === 'refused') each.placement.stats.refused(this.deps.clock.now())
    if (outcome.kind === 'report') {
      each.cost = costOf(outcome.report)
      each.hasQueue = outcome.report.waiting > 0
      each.isFull = outcome.report.running >= outcome.report.slots
      each.placement.stats.noteReport(each.cost, this.deps.clock.now())
    }
    if (weighted(each) <= goodCost) {
      this.choose('answered')
      return
    }
    this.askOthers()
    if (this.probed.every(({ pending }) => !pending)) this.choose('answered')
  }

  private choose (when: string): void {
    if (this.settled) return
    if (this.times.mayYield && this.probed.every(({ isFull }) => isFull)) {
      this.settle(undefined)
      this.done({ kind: 'busy' })
      return
    }
    const best = this.probed.reduce((least, each) => weighted(each) < weighted(least) ? each : least)
    const costs = this.probed.map(({ placement, cost, pending }) => `${placement.endpoint.endpoint}:${pending ? '?' : cost.toFixed(2)}`).join(' ')
    const why = `probed ${costs}, ${when}`
    const expectedMs = best.cost * this.times.idleMs
    // One more call in their queues would be late and make others late. An endpoint that is slow by itself may recover.
    const overloaded = this.probed.every(({ hasQueue }) => hasQueue) && expectedMs > this.times.usefulMs
    this.settle(overloaded ? undefined : best)
    this.done(overloaded ? { kind: 'overloaded', expectedMs, why } : { kind: 'placed', placement: best.placement, why })
  }

  private settle (kept: Probed | undefined): void {
    this.settled = true
    this.cancelTimer()
    this.cancelStagger()
    for (const each of this.probed) {
      if (each.pending) each.giveUp()
      if (each !== kept) each.placement.release()
    }
  }
}

/** Cost with the preference for the own failure domain. */
function weighted ({ cost, domainFactor }: Probed): number {
  return cost * domainFactor
}
