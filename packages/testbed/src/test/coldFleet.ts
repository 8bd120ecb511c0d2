/** Simulates, in virtual time, entry instances and endpoints that come back cold, with the permits of the control group. */
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as permitLedger from '@rosemaryrack/control/common/permitLedger.js'
import * as permitClient from '@rosemaryrack/entry/node/permitClient.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as evacuationTable from '@rosemaryrack/fleet/common/evacuationTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as adaptivePolicy from '@rosemaryrack/routing/common/adaptivePolicy.js'
import * as dispatcher from '@rosemaryrack/routing/common/dispatcher.js'
import * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import * as servicePermits from '@rosemaryrack/routing/common/servicePermits.js'
import * as eventClock from './eventClock.js'

const service = 'diary'
const networkMs = 1
const coordinatorRoundTripMs = 4
/** Time after which a request to an unreachable coordinator fails. */
const coordinatorTimeoutMs = 2500
const heartbeatMs = 1500
const leaseMs = 6000
/** Endpoints that stay warm announce themselves once, which saves time. */
const warmLeaseMs = 600_000
const slots = 3
const msPerSecond = 1000

/** Conditions of a simulation. */
export interface FleetOptions {
  readonly seed: number
  readonly entries: number
  readonly warmEndpoints: number
  readonly coldEndpoints: number
  readonly perSecond: number
  readonly workMs: number
  /** Longest time until what a hub sends reaches an instance. */
  readonly maxDeliveryMs: number
}

/** An endpoint that runs each request for a fixed time. */
class Endpoint {
  readonly arrivals: number[] = []
  readonly coldPeriods: Array<{ readonly from: number, readonly until: number }> = []
  incarnation = 1
  sequence = 0
  isRunning = true

  constructor (readonly id: string, readonly number: number, readonly failureDomain: string, private readonly clock: eventClock.EventClock) {}

  get coldLeftMs (): number {
    return Math.max(0, (this.coldPeriods.at(-1)?.until ?? 0) - this.clock.now())
  }

  turnCold (durationMs: number): void {
    this.coldPeriods.push({ from: this.clock.now(), until: this.clock.now() + durationMs })
  }

  /** Returns the arrivals while it was cold. */
  coldArrivals (): readonly number[] {
    return this.arrivals.filter((at) => this.coldPeriods.some(({ from, until }) => at >= from && at < until))
  }
}

/** An entry instance. */
class Entry {
  readonly evacuations: evacuationTable.EvacuationTable
  readonly table: endpointTable.EndpointTable
  private readonly notices: endpointNotices.EndpointNotices
  private readonly permits: servicePermits.ServicePermits
  private readonly dispatcher: dispatcher.Dispatcher
  isCutOff = false

  constructor (private readonly fleet: ColdFleet, readonly name: string) {
    const { clock, random, options } = fleet
    this.evacuations = new evacuationTable.EvacuationTable(clock)
    this.table = new endpointTable.EndpointTable(clock, this.evacuations, { rateOf: () => options.perSecond })
    this.notices = new endpointNotices.EndpointNotices({ onLeaving: () => {}, onLimit: () => {} }, this.table, clock, new decisionLog.NullDecisionLog())
    this.permits = new servicePermits.ServicePermits({ request: (req, done) => fleet.requestPermits(this, req, done) }, () => options.entries, random, clock)
    const dispatcherOptions = { service, ownFailureDomain: 'a', liveEntries: () => options.entries, permits: this.permits, notices: this.notices, hasColdLimit: () => true }
    this.dispatcher = new dispatcher.Dispatcher(dispatcherOptions, this.table, new adaptivePolicy.AdaptivePolicy(random), clock)
  }

  call (): void {
    const { clock, lane, options } = this.fleet
    const request = { lane, priority: lane.priority, deadlineAt: clock.now() + lane.deadlineMs, typicalMs: options.workMs, remoteFactor: 1, isSuspect: false, excludedEndpoints: new Set<string>() }
    this.dispatcher.acquire(request, (outcome) => {
      if (!outcome.placed) {
        this.fleet.refused++
        return
      }
      const { placement } = outcome
      const target = this.fleet.endpoints.find(({ id }) => id === placement.endpoint.endpoint)!
      if (!this.notices.canSend(placement.endpoint)) {
        placement.release()
        this.call()
        return
      }
      this.dispatcher.recordSend(placement)
      const sentAt = clock.now()
      clock.after(networkMs, () => {
        target.arrivals.push(clock.now())
        clock.after(options.workMs + networkMs, () => {
          placement.stats.recordSuccess(clock.now() - sentAt, clock.now())
          placement.release()
        })
      })
    })
  }
}

/** Instances, endpoints and the coordinator on one virtual clock. */
export class ColdFleet {
  readonly clock = new eventClock.EventClock()
  readonly random: { readonly next: () => number }
  readonly endpoints: readonly Endpoint[]
  readonly entries: readonly Entry[]
  readonly lane: configDocument.Lane
  refused = 0
  permitRequests = 0
  listedEndpoints = 0
  /** Processor time of the coordinator's ledger. */
  ledgerMs = 0
  private ledger: permitLedger.PermitLedger | undefined

  constructor (readonly options: FleetOptions) {
    const generator = xoroshiro.xoroshiro128plus(options.seed)
    this.random = { next: () => float.uniformFloat64(generator) }
    const check = configDocument.checkDocument({ lanes: { lane: { service, match: { methods: ['GET'], pathPrefix: '/' }, idempotent: true, deadlineMs: 1500, maxWaitMs: 1200 } } })
    if (!check.ok) throw new Error(check.problems.join('; '))
    this.lane = check.document.lanes['lane']!
    const count = options.warmEndpoints + options.coldEndpoints
    this.endpoints = Array.from({ length: count }, (_value, i) => new Endpoint(`d-${i}`, i, i < options.warmEndpoints ? 'a' : 'b', this.clock))
    this.entries = Array.from({ length: options.entries }, (_value, i) => new Entry(this, `entry-${i}`))
    this.ledger = new permitLedger.PermitLedger(this.clock)
    for (const endpoint of this.endpoints) this.clock.after(this.random.next() * heartbeatMs, () => this.keepAnnouncing(endpoint))
  }

  /** The endpoints that come back cold. */
  get returning (): readonly Endpoint[] {
    return this.endpoints.slice(this.options.warmEndpoints)
  }

  run (durationMs: number, callsPerSecond: number): void {
    const end = this.clock.now() + durationMs
    const scheduleNext = (): void => {
      const waitMs = -Math.log(1 - this.random.next()) * msPerSecond / callsPerSecond
      if (this.clock.now() + waitMs >= end) return
      this.clock.after(waitMs, () => {
        this.entries[Math.floor(this.random.next() * this.entries.length)]!.call()
        scheduleNext()
      })
    }
    if (callsPerSecond > 0) scheduleNext()
    this.clock.advance(durationMs)
  }

  /** Restarts the returning endpoints, which are cold and announce themselves at once. */
  returnCold (coldMs: number): void {
    for (const endpoint of this.returning) {
      endpoint.incarnation++
      endpoint.sequence = 0
      endpoint.turnCold(coldMs)
      this.announce(endpoint)
    }
  }

  replaceCoordinator (isRunning: boolean): void {
    this.ledger = isRunning ? new permitLedger.PermitLedger(this.clock) : undefined
  }

  setEvacuated (revision: number, failureDomains: string[]): void {
    for (const { evacuations } of this.entries) this.clock.after(this.random.next() * this.options.maxDeliveryMs, () => evacuations.apply({ revision: BigInt(revision), failureDomains }))
  }

  requestPermits (entry: Entry, req: servicePermits.PermitRequest, done: (grants: readonly servicePermits.PermitGrant[] | undefined) => void): void {
    if (entry.isCutOff || this.ledger === undefined) {
      this.clock.after(entry.isCutOff ? coordinatorTimeoutMs : coordinatorRoundTripMs, () => done(undefined))
      return
    }
    this.permitRequests++
    this.listedEndpoints += req.endpoints.length
    const message = permitClient.encodeRequest(entry.name, req, this.clock.now())
    this.clock.after(coordinatorRoundTripMs / 2, () => {
      const startedAt = performance.now()
      const grants = this.ledger?.grant(message).grants
      this.ledgerMs += performance.now() - startedAt
      this.clock.after(coordinatorRoundTripMs / 2, () => done(grants))
    })
  }

  /** Returns the largest number of requests that a cold endpoint got in any one second. */
  maxPerSecond (): number {
    return Math.max(...this.endpoints.map((endpoint) => {
      const arrivals = endpoint.coldArrivals()
      let first = 0
      return arrivals.reduce((most, at, last) => {
        while (arrivals[first]! <= at - msPerSecond) first++
        return Math.max(most, last - first + 1)
      }, 0)
    }))
  }

  /** Returns the requests per second of all returning endpoints between two times, as a share of what they take while cold. */
  usedShare (from: number, until: number): number {
    const count = this.returning.reduce((sum, { arrivals }) => sum + arrivals.filter((at) => at >= from && at < until).length, 0)
    return count / (this.returning.length * this.options.perSecond * (until - from) / msPerSecond)
  }

  private keepAnnouncing (endpoint: Endpoint): void {
    if (endpoint.isRunning) this.announce(endpoint)
    if (endpoint.failureDomain === 'b') this.clock.after(heartbeatMs, () => this.keepAnnouncing(endpoint))
  }

  private announce (endpoint: Endpoint): void {
    const { id, number, failureDomain, incarnation, coldLeftMs } = endpoint
    const announcement = { endpoint: id, service, address: `127.0.0.1:${9000 + number}`, failureDomain, slots, connectionLimit: 1000, state: 'ready', load: 0, incarnation, sequence: ++endpoint.sequence, leaseMs: failureDomain === 'a' ? warmLeaseMs : leaseMs } as const
    for (const entry of this.entries) {
      const delayMs = this.random.next() * this.options.maxDeliveryMs
      // A hub sends what is left as of the sending; the time on the way is added by that.
      this.clock.after(delayMs, () => { if (!entry.isCutOff) entry.table.apply({ ...announcement, coldLeftMs }, delayMs) })
    }
  }
}
