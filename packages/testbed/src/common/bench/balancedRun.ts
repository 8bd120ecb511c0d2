/** Runs the production routing code against fake targets on a virtual clock. */
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
import type * as targetPool from './targetPool.js'
import type * as runStats from './runStats.js'
import type * as virtualClock from './virtualClock.js'
import type * as workload from './workload.js'

/** A balancing policy and whether it runs with slot limits and hedges. */
export interface PolicySetup {
  readonly name: string
  readonly createPolicy: (random: balancingPolicy.IRandom) => balancingPolicy.IBalancingPolicy
  /** True for the product's policy: slots limit the requests at an endpoint, and calls are hedged. Baselines have connection limits only and no hedges. */
  readonly isProductPolicy: boolean
}

const noDomainPreference = new domainPreference.DomainPreference()
const noSuspects = { size: 0, getStatus: () => 'clear' as const, reportCrash: () => {}, withdrawCrash: () => {}, reportSuccess: () => {} }
const noCrashDetection = { recordUnansweredAttempt: () => {}, recordConnectionRefused: () => {}, recordRunning: () => {}, recordSuccess: () => {} }

/** Counts retries and hedges; other decisions are ignored. */
class CountingDecisionLog extends decisionLog.NullDecisionLog {
  constructor (private readonly counts: runStats.LaneCounts) {
    super()
  }

  override record (decision?: decisionLog.Decision): void {
    if (decision?.event === 'retry') this.counts.retries++
    else if (decision?.event === 'hedge') this.counts.hedges++
  }
}

/** Sends one call's attempts to fake targets, with simulated network delays. */
class FakeTransport implements transport.ITransport {
  constructor (private readonly run: BalancedRun, private readonly costMs: number) {}

  start (endpoint: endpointTable.Endpoint, events: transport.IAttemptEvents, fresh: boolean): transport.IAttempt {
    const { clock, deployment, targets } = this.run
    const target = targets.getTarget(endpoint.endpoint)
    let isCancelled = false
    let cancelRequest = (): void => {}
    const requestDelayMs = deployment.oneWayDelayMs + (fresh ? deployment.connectMs : 0)
    clock.after(requestDelayMs, () => {
      if (isCancelled) return
      cancelRequest = target.submit(this.costMs, (outcome) => clock.after(deployment.oneWayDelayMs, () => {
        if (isCancelled) return
        if (outcome === 'reset') {
          events.onFailure({ kind: 'lost', message: 'the connection was reset' })
          return
        }
        events.onHead(toResponseHead(outcome))
        events.onBodyEnd()
      }))
    })
    const cancel = (): void => {
      if (isCancelled) return
      isCancelled = true
      clock.after(deployment.oneWayDelayMs, () => cancelRequest())
    }
    return { written: true, cancel, abandon: cancel, deliverHeld: () => {} }
  }

  checkTarget (_endpoint: endpointTable.Endpoint, canCheckAgain: () => boolean, done: (health: transport.TargetHealth) => void): void {
    if (canCheckAgain()) this.run.targets.healthCheckCount++
    done('up')
  }
}

function toResponseHead (outcome: Exclude<fakeTarget.RequestOutcome, 'reset'>): transport.ResponseHead {
  if (outcome === 'done') return { status: 200, notRun: false }
  return outcome === 'shed' ? { status: 503, notRun: true } : { status: 500, notRun: false }
}

/** One simulated entry instance: a dispatcher per service, latencies and budgets per lane. */
class BenchEntry {
  private readonly dispatchers = new Map<string, dispatcher.Dispatcher>()
  private readonly latencies = new Map<string, laneLatency.LaneLatency>()
  private readonly budgets = new Map<string, budget.LaneBudgets & { readonly retries: budget.RatioBudget, readonly hedges: budget.RatioBudget }>()

  constructor (private readonly run: BalancedRun) {
    const { deployment, targets, clock, setup } = run
    for (const service of deployment.services) {
      const options = { service: service.name, ownFailureDomain: 'a', liveEntries: () => deployment.entryCount }
      this.dispatchers.set(service.name, new dispatcher.Dispatcher(options, targets.createEndpointSource(setup.isProductPolicy), setup.createPolicy(run.random), clock))
    }
    for (const { name, config: lane } of deployment.lanes) {
      this.latencies.set(name, new laneLatency.LaneLatency())
      this.budgets.set(name, {
        retries: new budget.RatioBudget(lane.budgets.retryRatio),
        hedges: new budget.RatioBudget(setup.isProductPolicy ? lane.budgets.hedgeRatio : 0),
        healthChecks: new budget.RateBudget(() => lane.budgets.measuringPerSecond / deployment.entryCount, clock)
      })
    }
  }

  startCall (arrival: workload.Arrival, counts: runStats.LaneCounts, id: string): void {
    const { clock } = this.run
    const { config: lane, name } = arrival.lane
    const budgets = this.budgets.get(name)!
    budgets.retries.deposit()
    budgets.hedges.deposit()
    const deadlineAt = arrival.at + lane.deadlineMs
    new call.Call({ requestId: id, laneName: name, lane, arrivedAt: arrival.at, deadlineAt, identity: { fingerprint: id, isRetainable: true }, body: { isReplayable: true, isReceived: true, awaitsCaller: false, fault: undefined } }, {
      dispatcher: this.dispatchers.get(lane.service)!,
      transport: new FakeTransport(this.run, arrival.costMs),
      suspects: noSuspects,
      crashDetector: noCrashDetection,
      budgets,
      latency: this.latencies.get(name)!,
      domainPreference: noDomainPreference,
      decisions: new CountingDecisionLog(counts),
      clock,
      random: this.run.random
    }, {
      onResponse: ({ head }) => countResponse(counts, head, clock.now() - arrival.at, lane.deadlineMs),
      onFailed: (fault) => {
        if (fault.kind === 'not-run') counts.refused++
        else counts.failed++
      }
    }).start()
  }
}

function countResponse (counts: runStats.LaneCounts, head: transport.ResponseHead, latencyMs: number, deadlineMs: number): void {
  if (head.status >= 500) counts.failed++
  else counts.answered++
  if (latencyMs > deadlineMs) counts.late++
  counts.latency.record(latencyMs)
}

/** All entry instances of a deployment, balancing with one policy. */
export class BalancedRun {
  private readonly entries: readonly BenchEntry[]

  constructor (
    readonly deployment: workload.Deployment,
    readonly targets: targetPool.TargetPool,
    readonly clock: virtualClock.VirtualClock,
    readonly setup: PolicySetup,
    readonly random: balancingPolicy.IRandom
  ) {
    this.entries = Array.from({ length: deployment.entryCount }, () => new BenchEntry(this))
  }

  /** Schedules the call of an arrival at its time and entry instance. */
  scheduleArrival (arrival: workload.Arrival, counts: runStats.LaneCounts, index: number): void {
    this.clock.after(arrival.at, () => {
      counts.calls++
      this.entries[arrival.entry]!.startCall(arrival, counts, String(index))
    })
  }
}
