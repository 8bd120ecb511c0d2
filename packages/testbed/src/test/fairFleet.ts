/** Simulates, in virtual time, instances whose callers ask for more than the endpoints can do, with quotas and load probes. */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as event from '@rosemaryrack/base/common/event.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as quotaLedger from '@rosemaryrack/control/common/quotaLedger.js'
import * as quotaClient from '@rosemaryrack/entry/node/quotaClient.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as adaptivePolicy from '@rosemaryrack/routing/common/adaptivePolicy.js'
import * as dispatcher from '@rosemaryrack/routing/common/dispatcher.js'
import * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import type * as slotAssignment from '@rosemaryrack/routing/common/slotAssignment.js'
import * as timeLimits from '@rosemaryrack/routing/common/timeLimits.js'
import * as workspaceFlows from '@rosemaryrack/routing/common/workspaceFlows.js'
import * as workspaceQuotas from '@rosemaryrack/routing/common/workspaceQuotas.js'
import * as virtualClock from '../common/bench/virtualClock.js'

const service = 'diary'
const slots = 2
const workMs = 100
const deadlineMs = 1000
const roundTripMs = 4
const msPerSecond = 1000

/** What a simulation needs to know. */
export interface FairCase {
  readonly instances: number
  readonly endpoints: number
  /** Quotas of the workspaces, in requests per second. */
  readonly rates: readonly number[]
  /** Requests per second that each workspace sends. */
  readonly sent: readonly number[]
  readonly durationMs: number
  readonly seed: number
  /** False for instances that do not know the loads of workspaces. */
  readonly knowsLoads: boolean
}

/** An endpoint with slots and a queue in order of arrival. */
class Endpoint {
  private running = 0
  private readonly queue: Array<() => void> = []

  constructor (private readonly clock: virtualClock.VirtualClock) {}

  get report (): loadProbing.LoadReport {
    return { running: this.running, waiting: this.queue.length, slots, slowdown: 1 }
  }

  serve (done: () => void): void {
    if (this.running === slots) {
      this.queue.push(() => this.serve(done))
      return
    }
    this.running++
    this.clock.after(workMs, () => {
      this.running--
      done()
      this.queue.shift()?.()
    })
  }
}

interface Instance {
  readonly quotas: workspaceQuotas.WorkspaceQuotas
  readonly dispatcher: dispatcher.Dispatcher
}

/** Plays a case and counts what each workspace got in time. */
export class FairFleet {
  readonly asked: number[]
  readonly served: number[]
  private readonly clock = new virtualClock.VirtualClock()
  private readonly endpoints: ReadonlyMap<string, Endpoint>
  private readonly instances: readonly Instance[]
  private readonly document: configDocument.ConfigDocument
  private readonly random: () => number

  constructor (private readonly options: FairCase) {
    const generator = xoroshiro.xoroshiro128plus(options.seed)
    this.random = () => float.uniformFloat64(generator)
    this.asked = options.rates.map(() => 0)
    this.served = options.rates.map(() => 0)
    this.document = createDocument(options.rates)
    this.endpoints = new Map(Array.from({ length: options.endpoints }, (_, i) => [`d-${i}`, new Endpoint(this.clock)]))
    const ledger = new quotaLedger.QuotaLedger(this.clock)
    const announced = [...this.endpoints.keys()].map(createEndpoint)
    this.instances = Array.from({ length: options.instances }, (_, i) => this.createInstance(i, ledger, announced))
  }

  play (): this {
    this.options.sent.forEach((perSecond, workspace) => this.schedule(workspace, perSecond))
    this.clock.runUntil(this.options.durationMs + deadlineMs)
    return this
  }

  /** Returns the shares of their requests that the workspaces got served. */
  get shares (): readonly number[] {
    return this.served.map((count, i) => count / this.asked[i]!)
  }

  private createInstance (index: number, ledger: quotaLedger.QuotaLedger, announced: readonly endpointTable.Endpoint[]): Instance {
    const source: workspaceQuotas.IQuotaSource = {
      request: (uses, done) => this.clock.after(roundTripMs, () => done(ledger.grant(quotaClient.encodeRequest({ instance: `entry-${index}`, incarnation: 1 }, 1, uses), this.document).grants))
    }
    const random = { next: this.random }
    const quotas = new workspaceQuotas.WorkspaceQuotas(source, () => this.options.instances, random, this.clock)
    const flows = new workspaceFlows.WorkspaceFlows(this.options.knowsLoads ? quotas : { givesWay: () => false })
    flows.applyDocument(this.document)
    const table = { onChanged: new event.Emitter<endpointTable.Endpoint>().event, routable: () => announced }
    const options = { service, ownFailureDomain: 'a', liveEntries: () => this.options.instances, flows }
    return { quotas, dispatcher: new dispatcher.Dispatcher(options, table, new adaptivePolicy.AdaptivePolicy(random), this.clock) }
  }

  private schedule (workspace: number, perSecond: number): void {
    this.clock.after(-Math.log(1 - this.random()) * msPerSecond / perSecond, () => {
      if (this.clock.now() >= this.options.durationMs) return
      this.schedule(workspace, perSecond)
      this.arrive(workspace)
    })
  }

  private arrive (workspace: number): void {
    const instance = this.instances[Math.floor(this.random() * this.instances.length)]!
    const name = `w-${workspace}`
    const arrivedAt = this.clock.now()
    const deadlineAt = arrivedAt + deadlineMs
    this.asked[workspace]!++
    instance.quotas.take({ name, workspace: this.document.workspaces![name]! }, deadlineAt, ({ admitted }) => {
      if (admitted) this.place(workspace, instance, { arrivedAt, deadlineAt })
    })
  }

  private place (workspace: number, instance: Instance, times: { readonly arrivedAt: number, readonly deadlineAt: number }): void {
    const flow = `w-${workspace}`
    const lane = this.document.lanes['lane']!
    const request: slotAssignment.SlotRequest = { lane, priority: lane.priority, flow, deadlineAt: times.deadlineAt, typicalMs: workMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set() }
    const refuse = (): void => instance.quotas.giveBack(flow)
    instance.dispatcher.acquire(request, (outcome) => {
      if (!outcome.placed) return refuse()
      const limits = timeLimits.computeTimeLimits(lane, { ...times, now: this.clock.now(), givesWay: instance.dispatcher.givesWay(request) }, workMs)
      const prober: loadProbing.IProber = {
        probe: (endpoint, done) => {
          done({ kind: 'report', report: this.endpoints.get(endpoint.endpoint)!.report })
          return () => {}
        }
      }
      const selection = new loadProbing.EndpointSelection({ dispatcher: instance.dispatcher, prober, budget: { take: () => true }, clock: this.clock }, limits, (choice) => {
        if (choice.kind !== 'placed') return refuse()
        this.endpoints.get(choice.placement.endpoint.endpoint)!.serve(() => {
          choice.placement.release()
          if (this.clock.now() <= times.deadlineAt) this.served[workspace]!++
        })
      })
      selection.start(outcome.placement, request, { candidates: 3, timeoutMs: 25, staggerMs: 0 })
    })
  }
}

function createDocument (rates: readonly number[]): configDocument.ConfigDocument {
  const check = configDocument.checkDocument({
    lanes: { lane: { service, match: { pathPrefix: '/' }, idempotent: true, deadlineMs, maxWaitMs: deadlineMs, coldStartMs: 0 } },
    workspaces: Object.fromEntries(rates.map((rate, i) => [`w-${i}`, { apiKeys: [`key-${i}`], ratePerSecond: rate, burst: rate }]))
  })
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document
}

function createEndpoint (endpoint: string): endpointTable.Endpoint {
  return { endpoint, service, address: '127.0.0.1:1', failureDomain: 'a', slots, connectionLimit: 260, state: 'ready', load: 0, incarnation: 1, sequence: 1, leaseMs: 5000, announcedAt: 0 }
}
