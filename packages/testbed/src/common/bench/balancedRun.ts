/** A run of the product's own routing code over fake targets. */
import * as call from '@rosemaryrack/routing/common/call.js'
import * as budget from '@rosemaryrack/routing/common/budget.js'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'
import * as dispatcher from '@rosemaryrack/routing/common/dispatcher.js'
import * as domainPreference from '@rosemaryrack/routing/common/domainPreference.js'
import * as laneLatency from '@rosemaryrack/routing/common/laneLatency.js'
import type * as transport from '@rosemaryrack/routing/common/transport.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as fakeTarget from './fakeTarget.js'
import type * as targetPark from './targetPark.js'
import type * as runStats from './runStats.js'
import type * as virtualClock from './virtualClock.js'
import type * as workload from './workload.js'

/** A policy with the rest of the product switched on or off around it. */
export interface PolicySetup {
  readonly name: string
  readonly newPolicy: (random: balancingPolicy.IRandom) => balancingPolicy.IBalancingPolicy
  /** Product: limits by slots, hedges. Baselines: connection limits only, no hedges. */
  readonly product: boolean
}

const noPreference = new domainPreference.DomainPreference()
const noSuspects = { size: 0, standing: () => 'clear' as const, reportDeath: () => {}, withdrawDeath: () => {}, reportSuccess: () => {} }
const noDeaths = { noteLoss: () => {}, noteRefused: () => {}, noteAnswer: () => {}, noteSuccess: () => {} }

/** Counts attempts by their kind. */
class CountingLog extends decisionLog.NullDecisionLog {
  constructor (private readonly counts: runStats.LaneCounts) {
    super()
  }

  override record (decision?: decisionLog.Decision): void {
    if (decision?.event === 'retry') this.counts.retries++
    else if (decision?.event === 'hedge') this.counts.hedges++
  }
}

/** Carries one call's attempts to fake targets, with the network's delays. */
class FakeTransport implements transport.ITransport {
  constructor (private readonly run: BalancedRun, private readonly costMs: number) {}

  start (endpoint: endpointTable.Endpoint, events: transport.IAttemptEvents, fresh: boolean): transport.IAttempt {
    const { clock, deployment, park } = this.run
    const target = park.target(endpoint.endpoint)
    let cancelled = false
    let cancelRun = (): void => {}
    const outwardMs = deployment.oneWayMs + (fresh ? deployment.connectMs : 0)
    clock.after(outwardMs, () => {
      if (cancelled) return
      cancelRun = target.submit(this.costMs, (end) => clock.after(deployment.oneWayMs, () => {
        if (cancelled) return
        if (end === 'reset') {
          events.onFailure({ kind: 'lost', message: 'the connection was reset' })
          return
        }
        events.onHead(headOf(end))
        events.onBodyEnd()
      }))
    })
    const cancel = (): void => {
      if (cancelled) return
      cancelled = true
      clock.after(deployment.oneWayMs, () => cancelRun())
    }
    return { written: true, cancel, abandon: cancel }
  }

  replaceConnection (_endpoint: endpointTable.Endpoint, mayMeasure: () => boolean, done: (health: transport.TargetHealth) => void): void {
    if (mayMeasure()) this.run.park.measuringMessages++
    done('alive')
  }
}

function headOf (end: Exclude<fakeTarget.RunEnd, 'reset'>): transport.AnswerHead {
  if (end === 'done') return { status: 200, notRun: false }
  return end === 'shed' ? { status: 503, notRun: true } : { status: 500, notRun: false }
}

/** One entry instance's dispatchers and budgets. */
class BenchEntry {
  private readonly dispatchers = new Map<string, dispatcher.Dispatcher>()
  private readonly latencies = new Map<string, laneLatency.LaneLatency>()
  private readonly budgets = new Map<string, budget.LaneBudgets & { readonly retries: budget.RatioBudget, readonly hedges: budget.RatioBudget }>()

  constructor (private readonly run: BalancedRun) {
    const { deployment, park, clock, setup } = run
    for (const service of deployment.services) {
      const options = { service: service.name, ownFailureDomain: 'a', liveEntries: () => deployment.entries }
      this.dispatchers.set(service.name, new dispatcher.Dispatcher(options, park.source(setup.product), setup.newPolicy(run.random), clock))
    }
    for (const { name, lane } of deployment.lanes) {
      this.latencies.set(name, new laneLatency.LaneLatency())
      this.budgets.set(name, {
        retries: new budget.RatioBudget(lane.budgets.retryRatio),
        hedges: new budget.RatioBudget(setup.product ? lane.budgets.hedgeRatio : 0),
        measuring: new budget.RateBudget(() => lane.budgets.measuringPerSecond / deployment.entries, clock)
      })
    }
  }

  call (arrival: workload.Arrival, counts: runStats.LaneCounts, id: string): void {
    const { clock } = this.run
    const { lane, name } = arrival.lane
    const budgets = this.budgets.get(name)!
    budgets.retries.deposit()
    budgets.hedges.deposit()
    const deadlineAt = arrival.at + lane.deadlineMs
    new call.Call({ requestId: id, laneName: name, lane, arrivedAt: arrival.at, deadlineAt, identity: { fingerprint: id, isLight: true }, replayable: () => true }, {
      dispatcher: this.dispatchers.get(lane.service)!,
      transport: new FakeTransport(this.run, arrival.costMs),
      suspects: noSuspects,
      deaths: noDeaths,
      budgets,
      latency: this.latencies.get(name)!,
      domains: noPreference,
      decisions: new CountingLog(counts),
      clock,
      random: this.run.random
    }, {
      onAnswer: ({ head }) => noteAnswer(counts, head, clock.now() - arrival.at, lane.deadlineMs),
      onRefused: (fault) => {
        if (fault.kind === 'not-run') counts.refused++
        else counts.failed++
      }
    }).start()
  }
}

function noteAnswer (counts: runStats.LaneCounts, head: transport.AnswerHead, ms: number, deadlineMs: number): void {
  if (head.status >= 500) counts.failed++
  else counts.answered++
  if (ms > deadlineMs) counts.late++
  counts.latency.record(ms)
}

/** All entry instances of a deployment under one policy. */
export class BalancedRun {
  private readonly entries: readonly BenchEntry[]

  constructor (
    readonly deployment: workload.Deployment,
    readonly park: targetPark.TargetPark,
    readonly clock: virtualClock.VirtualClock,
    readonly setup: PolicySetup,
    readonly random: balancingPolicy.IRandom
  ) {
    this.entries = Array.from({ length: deployment.entries }, () => new BenchEntry(this))
  }

  /** Schedules an arrival. */
  add (arrival: workload.Arrival, counts: runStats.LaneCounts, index: number): void {
    this.clock.after(arrival.at, () => {
      counts.calls++
      this.entries[arrival.entry]!.call(arrival, counts, String(index))
    })
  }
}
