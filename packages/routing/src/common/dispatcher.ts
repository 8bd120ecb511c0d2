/** Slots of one service as this instance may use them, and the calls that wait for one. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as balancingPolicy from './balancingPolicy.js'
import type * as endpointNotices from './endpointNotices.js'
import * as endpointStats from './endpointStats.js'
import * as waitingQueue from './waitingQueue.js'

const initialTypicalMs = 10
const typicalWeight = 0.01
/** Estimates are divided by the mean of relative latencies, which answers without a measurable latency would make 0. */
const minRelative = 0.001
const maxEjectedShare = 0.5
const maxColdShare = 0.25
const loggedCandidates = 3
const scoreDigits = 100
const msPerSecond = 1000
const minRetryAfterS = 1

/** A call that asks for a slot. */
export interface Ask {
  readonly lane: configDocument.Lane
  readonly priority: configDocument.LanePriority
  readonly deadlineAt: number
  /** Typical time to an answer's head on the lane, in milliseconds. */
  readonly typicalMs: number
  /** Factor on the cost of endpoints in other failure domains, beside the lane's weight. */
  readonly remoteFactor: number
  /** Replaces `remoteFactor` in the policy's choice, where the two differ. */
  readonly remotePlaceFactor?: number
  /** Suspect calls don't share an endpoint, so that each death has one explanation. */
  readonly suspect: boolean
  /** Endpoints that were tried already. */
  readonly exclude: ReadonlySet<string>
}

/** A slot that was given to a call, and why there. */
export interface Placement {
  readonly endpoint: endpointTable.Endpoint
  readonly stats: endpointStats.EndpointStats
  readonly considered: number
  /** The best few candidates with their scores. */
  readonly candidates: string
  readonly why: string
  readonly waitedMs: number
  /** Gives the slot back; later calls do nothing. */
  release(): void
}

export type AskOutcome =
  | { readonly placed: true, readonly placement: Placement }
  | { readonly placed: false, readonly fault: errors.Fault }

interface Waiter extends waitingQueue.Waiting {
  readonly ask: Ask
  readonly since: number
  readonly done: (outcome: AskOutcome) => void
  readonly cancelTimer: () => void
}

/** What the limits depend on besides the endpoints. */
export interface DispatcherOptions {
  readonly service: string
  readonly ownFailureDomain: string
  /** Live entry instances that share the endpoints, this one included. */
  readonly liveEntries: () => number
  /** Connections that the service's configuration allows to an endpoint from all instances together. */
  readonly connectionLimit?: () => number | undefined
  /** True while an idle connection to an endpoint is open; all are alike where it is missing. */
  readonly isConnected?: (endpoint: endpointTable.Endpoint) => boolean
  /** Which endpoints want no requests for a while. */
  readonly notices?: Pick<endpointNotices.EndpointNotices, 'awayUntil' | 'onAway'>
  /** Time on the clock until which endpoints may not be known yet; calls without one wait for it. */
  readonly startingUntil?: number
}

/** Gives slots by the policy while there are some, else by priority and deadline. */
export class Dispatcher implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly stats = new Map<string, { readonly incarnation: number, readonly stats: endpointStats.EndpointStats }>()
  private readonly queue = new waitingQueue.WaitingQueue<Waiter>()
  private typicalMs = initialTypicalMs
  /** Mean of latencies relative to their lanes' typical ones; far from 1 while those are still assumed. */
  private relativeMean = 1
  private latencySamples = 0
  private holdMs = initialTypicalMs
  private bulkInFlight = 0
  private newestKnownSince = -Infinity
  private cancelReturn = (): void => {}

  constructor (
    private readonly options: DispatcherOptions,
    private readonly endpoints: endpointTable.IEndpointSource,
    private readonly policy: balancingPolicy.IBalancingPolicy,
    private readonly clock: clock.IClock
  ) {
    this.disposables.add(endpoints.onChanged((endpoint) => this.endpointChanged(endpoint)))
    if (options.notices !== undefined) this.disposables.add(options.notices.onAway((endpoint) => this.endpointAway(endpoint)))
  }

  dispose (): void {
    this.cancelReturn()
    this.disposables.dispose()
  }

  /** Typical time to an answer's head, in milliseconds. */
  get typicalLatencyMs (): number {
    return this.typicalMs
  }

  get waiting (): number {
    return this.queue.length
  }

  get inFlight (): number {
    let sum = 0
    for (const { stats } of this.stats.values()) sum += stats.inFlight
    return sum
  }

  /** Gives a slot now or later, or refuses; returns a function that withdraws the ask. */
  acquire (ask: Ask, done: (outcome: AskOutcome) => void): () => void {
    const now = this.clock.now()
    const placement = this.queue.position(ask) === 0 ? this.place(ask, now, now) : undefined
    if (placement !== undefined) {
      done({ placed: true, placement })
      return () => {}
    }
    const fault = this.refusalFor(ask, now)
    if (fault !== undefined) {
      done({ placed: false, fault })
      return () => {}
    }
    return this.enqueue(ask, now, done)
  }

  /** Gives a slot for a hedge, only when others won't miss it. */
  acquireSpare (ask: Ask): Placement | undefined {
    const now = this.clock.now()
    const { open } = this.askable(now)
    if (this.queue.length > 0 || this.inFlight >= ask.lane.budgets.hedgeBelowShare * this.totalLimit(open)) return undefined
    return this.place(ask, now, now)
  }

  /** Gives slots beside one that was given, at other endpoints, while nobody waits for any. */
  acquireBeside (ask: Ask, taken: Placement, most: number): readonly Placement[] {
    const exclude = new Set([...ask.exclude, taken.endpoint.endpoint])
    const placements: Placement[] = []
    while (placements.length < most && this.queue.length === 0) {
      const now = this.clock.now()
      const placement = this.place({ ...ask, exclude }, now, now)
      if (placement === undefined) break
      exclude.add(placement.endpoint.endpoint)
      placements.push(placement)
    }
    return placements
  }

  /** Factor on the cost of an endpoint for a call, by failure domain. */
  domainFactor (endpoint: endpointTable.Endpoint, ask: Ask): number {
    return endpoint.failureDomain === this.options.ownFailureDomain ? 1 : weightedFactor(ask, ask.remoteFactor)
  }

  /**
   * Counts a latency sample of the service, in milliseconds.
   * @param relative the sample relative to its lane's typical latency, as the endpoint's own estimate takes it; 1 for a lane
   * that has no typical latency of its own.
   */
  noteLatency (ms: number, relative = 1): void {
    this.typicalMs += (ms - this.typicalMs) * typicalWeight
    // The first answers count alike, so that nothing is left of what was assumed.
    const mean = this.relativeMean + (relative - this.relativeMean) * Math.max(typicalWeight, 1 / ++this.latencySamples)
    this.relativeMean = Math.max(minRelative, mean)
  }

  private isStarting (now: number): boolean {
    return now < (this.options.startingUntil ?? -Infinity)
  }

  private enqueue (ask: Ask, now: number, done: (outcome: AskOutcome) => void): () => void {
    const unknown = this.isStarting(now) && this.endpoints.routable(this.options.service).length === 0
    const expiresAt = Math.min(now + ask.lane.maxWaitMs, ask.deadlineAt, unknown ? this.options.startingUntil! : Infinity)
    const waiter: Waiter = {
      ask,
      priority: ask.priority,
      deadlineAt: ask.deadlineAt,
      since: now,
      done,
      cancelTimer: this.clock.after(expiresAt - now, () => this.expire(waiter))
    }
    this.queue.add(waiter)
    return () => this.withdraw(waiter)
  }

  private withdraw (waiter: Waiter): void {
    waiter.cancelTimer()
    this.queue.remove(waiter)
  }

  private expire (waiter: Waiter): void {
    this.queue.remove(waiter)
    waiter.done({ placed: false, fault: this.notRun('no slot became free in time', this.expectedWaitMs(waiter)) })
  }

  /** Hands free slots to waiting calls in their order; what can't make its deadline any more is refused. */
  private pump (): void {
    for (const waiter of this.queue.snapshot()) {
      const now = this.clock.now()
      if (now + waiter.ask.typicalMs > waiter.deadlineAt) {
        this.withdraw(waiter)
        waiter.done({ placed: false, fault: this.notRun('the deadline can no longer be met', this.expectedWaitMs(waiter)) })
        continue
      }
      const placement = this.place(waiter.ask, waiter.since, now)
      const unasked = placement === undefined && !this.isStarting(now) ? this.unaskedFault(waiter.ask, now) : undefined
      if (unasked !== undefined) {
        this.withdraw(waiter)
        waiter.done({ placed: false, fault: unasked })
        continue
      }
      if (placement === undefined) {
        if (this.isUnrestricted(waiter.ask, now) || waiter.priority === 'bulk') return
        continue
      }
      this.withdraw(waiter)
      waiter.done({ placed: true, placement })
    }
  }

  private refusalFor (ask: Ask, now: number): errors.Fault | undefined {
    const endpoints = this.endpoints.routable(this.options.service)
    if (endpoints.length === 0 && this.isStarting(now)) return undefined
    if (endpoints.length === 0) return this.notRun(`service ${this.options.service} has no ready endpoint`, 0)
    const unasked = this.unaskedFault(ask, now)
    if (unasked !== undefined) return unasked
    const waitMs = this.expectedWaitMs(ask)
    if (waitMs > ask.lane.maxWaitMs) return this.notRun('all slots are taken and the wait is too long', waitMs)
    if (now + waitMs + ask.typicalMs > ask.deadlineAt) return this.notRun('the deadline can\'t be met', waitMs)
    return undefined
  }

  private expectedWaitMs (ask: waitingQueue.Waiting): number {
    const limit = Math.max(1, this.totalLimit(this.askable(this.clock.now()).open))
    return (this.queue.position(ask) + 1) * this.holdMs / limit
  }

  /** Refuses a call that no endpoint can be asked to take: each was tried, or wants no requests for now. */
  private unaskedFault (ask: Ask, now: number): errors.Fault | undefined {
    const { open, backAt } = this.askable(now)
    if (open.some(({ endpoint }) => !ask.exclude.has(endpoint))) return undefined
    if (backAt === Infinity) return this.notRun('every ready endpoint was tried', 0)
    return { kind: 'not-run', message: 'every ready endpoint was tried or asked for a time without requests', retryAfterS: (backAt - now) / msPerSecond }
  }

  /** Ready endpoints that may be asked now, and when the first of the others may be. */
  private askable (now: number): { readonly open: readonly endpointTable.Endpoint[], readonly backAt: number } {
    const endpoints = this.endpoints.routable(this.options.service)
    const { notices } = this.options
    if (notices === undefined) return { open: endpoints, backAt: Infinity }
    let backAt = Infinity
    const open = endpoints.filter((endpoint) => {
      const until = notices.awayUntil(endpoint)
      if (until > now) backAt = Math.min(backAt, until)
      return until <= now
    })
    return { open, backAt }
  }

  private notRun (message: string, waitMs: number): errors.Fault {
    return { kind: 'not-run', message, retryAfterS: Math.max(minRetryAfterS, Math.ceil(waitMs / msPerSecond)) }
  }

  private place (ask: Ask, since: number, now: number): Placement | undefined {
    const endpoints = this.endpoints.routable(this.options.service)
    const { open } = this.askable(now)
    if (ask.priority === 'bulk' && this.bulkInFlight >= this.bulkLimit(open, ask.lane)) return undefined
    const able = this.candidates(open, ask, now)
    if (able.length === 0) return undefined
    const context = {
      now,
      ownFailureDomain: this.options.ownFailureDomain,
      typicalLatencyMs: this.typicalMs * this.relativeMean,
      remoteFactor: weightedFactor(ask, ask.remotePlaceFactor ?? ask.remoteFactor),
      weights: ask.lane.weights
    }
    const chosen = this.policy.choose(able, context)
    return this.take(ask, chosen, endpoints.find(({ endpoint }) => endpoint === chosen.id)!, {
      considered: able.length,
      candidates: this.describe(able, context),
      why: `${this.policy.name}: ${able.length} of ${endpoints.length} endpoints have a free slot${describeAway(endpoints.length - open.length)}`,
      waitedMs: now - since
    })
  }

  private take (ask: Ask, chosen: balancingPolicy.Candidate, endpoint: endpointTable.Endpoint, reason: Pick<Placement, 'considered' | 'candidates' | 'why' | 'waitedMs'>): Placement {
    const { stats } = chosen
    const startedAt = this.clock.now()
    const handle = stats.begin(startedAt)
    const bulk = ask.priority === 'bulk' ? 1 : 0
    const suspect = ask.suspect ? 1 : 0
    this.bulkInFlight += bulk
    stats.suspects += suspect
    let released = false
    const release = (): void => {
      if (released) return
      released = true
      stats.end(handle)
      this.bulkInFlight -= bulk
      stats.suspects -= suspect
      this.holdMs += (this.clock.now() - startedAt - this.holdMs) * typicalWeight
      if (this.queue.length > 0) this.pump()
    }
    return { endpoint, stats, ...reason, release }
  }

  private candidates (endpoints: readonly endpointTable.Endpoint[], ask: Ask, now: number): readonly balancingPolicy.Candidate[] {
    const free: balancingPolicy.Candidate[] = []
    let cold = 0
    for (const endpoint of endpoints) {
      const stats = this.statsOf(endpoint, now)
      if (isTooColdFor(ask, stats, now)) cold++
      if (stats.inFlight >= this.limitOf(endpoint) || ask.exclude.has(endpoint.endpoint)) continue
      if (ask.suspect && stats.suspects > 0) continue
      free.push({ id: endpoint.endpoint, failureDomain: endpoint.failureDomain, reportedLoad: endpoint.load, connected: this.options.isConnected?.(endpoint) ?? true, stats })
    }
    const healthy = free.filter(({ stats }) => !stats.isEjected(now))
    const ejected = free.length - healthy.length
    const able = ejected > endpoints.length * maxEjectedShare ? free : healthy
    if (cold === 0 || cold > endpoints.length * maxColdShare) return able
    return able.filter(({ stats }) => !isTooColdFor(ask, stats, now))
  }

  /** A call that any endpoint with a free slot can take: when it gets none, no slot is free. */
  private isUnrestricted (ask: Ask, now: number): boolean {
    const allWarm = now - this.newestKnownSince >= ask.lane.coldStartMs
    return ask.exclude.size === 0 && !ask.suspect && allWarm
  }

  /** This instance's share of an endpoint's slots and connections; at least one, so that each can be used. */
  private limitOf (endpoint: endpointTable.Endpoint): number {
    const entries = this.options.liveEntries()
    const slots = Math.max(1, Math.ceil(endpoint.slots / entries))
    const configured = this.options.connectionLimit?.() ?? Infinity
    const connections = Math.max(1, Math.floor(Math.min(endpoint.connectionLimit, configured) / entries))
    return Math.min(slots, connections)
  }

  private totalLimit (endpoints: readonly endpointTable.Endpoint[]): number {
    return endpoints.reduce((sum, endpoint) => sum + this.limitOf(endpoint), 0)
  }

  private bulkLimit (endpoints: readonly endpointTable.Endpoint[], lane: configDocument.Lane): number {
    return Math.max(1, Math.floor(lane.budgets.bulkShare * this.totalLimit(endpoints)))
  }

  private statsOf (endpoint: endpointTable.Endpoint, now: number): endpointStats.EndpointStats {
    const known = this.stats.get(endpoint.endpoint)
    if (known !== undefined && known.incarnation === endpoint.incarnation) return known.stats
    const stats = new endpointStats.EndpointStats(now)
    this.newestKnownSince = now
    this.stats.set(endpoint.endpoint, { incarnation: endpoint.incarnation, stats })
    return stats
  }

  private endpointChanged (endpoint: endpointTable.Endpoint): void {
    if (endpoint.service !== this.options.service) return
    if (endpoint.state === 'left') this.stats.delete(endpoint.endpoint)
    if (this.queue.length > 0) this.pump()
  }

  /** Waiting calls that count on the endpoint are refused now or placed once it may be asked again. */
  private endpointAway (endpoint: endpointTable.Endpoint): void {
    if (endpoint.service === this.options.service) this.pumpUntilReturned()
  }

  /** Looks at the waiting calls now, and again each time an endpoint may be asked again; calls may begin to wait meanwhile. */
  private pumpUntilReturned (): void {
    if (this.queue.length > 0) this.pump()
    this.cancelReturn()
    const now = this.clock.now()
    const { backAt } = this.askable(now)
    if (backAt !== Infinity) this.cancelReturn = this.clock.after(backAt - now, () => this.pumpUntilReturned())
  }

  private describe (candidates: readonly balancingPolicy.Candidate[], context: balancingPolicy.ChoiceContext): string {
    const best: balancingPolicy.Scored[] = []
    for (const candidate of candidates) {
      const score = this.policy.score(candidate, context)
      const position = best.findIndex((other) => score < other.score)
      if (position >= 0) best.splice(position, 0, { candidate, score })
      else if (best.length < loggedCandidates) best.push({ candidate, score })
      if (best.length > loggedCandidates) best.pop()
    }
    return best.map(({ candidate, score }) => `${candidate.id}:${Math.round(score * scoreDigits) / scoreDigits}`).join(' ')
  }
}

/** Factor on the cost of endpoints in other failure domains with the lane's weight. */
function weightedFactor ({ lane }: Ask, factor: number): number {
  return factor * lane.weights.remoteDomain
}

function describeAway (count: number): string {
  return count === 0 ? '' : `, ${count} want no requests for now`
}

/** Bulk calls warm a target up, whose first answers are slow. */
function isTooColdFor (ask: Ask, stats: endpointStats.EndpointStats, now: number): boolean {
  return ask.priority !== 'bulk' && now - stats.knownSince < ask.lane.coldStartMs
}
