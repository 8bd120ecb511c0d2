/** Endpoints as announced by their targets; the announcements of an endpoint are ordered by incarnation and sequence. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as announcement from './announcement.js'
import * as coldEndpoints from './coldEndpoints.js'
import * as endpointLimit from './endpointLimit.js'
import type * as evacuationTable from './evacuationTable.js'

const removeAfterExpiryMs = 120_000
const massExpiryShare = 0.8
const massExpiryMinCount = 3
const massExpiryWindowMs = 2000
const refreshAfterPauseMs = 2000

/** An endpoint with the local time of its newest announcement. */
export interface Endpoint extends announcement.Announcement {
  readonly announcedAt: number
  /** True when its state is a departure (draining or left) that is committed in the replicated log. */
  readonly committed?: boolean
  /** True when it reported in a response that it is leaving; holds until its next incarnation, whatever it announces. */
  readonly leaving?: boolean
  /** The limit that it named in its responses; holds until its next incarnation. */
  readonly limit?: endpointLimit.EndpointLimit
  /** Local time until which it is cold, as far as it has stated; absent if it never was in this incarnation. */
  readonly coldUntil?: number
  /** Local time of its last statement about its cold time in a response. */
  readonly coldStatedAt?: number
  /** Requests per second that it takes because it is cold; only on endpoints from `routable` and `getRouted`, while `limit` follows from it. */
  readonly coldPerSecond?: number
}

/** Effect of an announcement on the table. */
export type ApplyOutcome = 'stale' | 'renewed' | 'changed'

/** A lease renewal: an announcement in which only sequence and load differ from the previous one. */
export interface Renewal {
  readonly endpoint: string
  readonly incarnation: number
  readonly sequence: number
  readonly load: number
  /** How much longer the endpoint is cold. */
  readonly coldLeftMs?: number
}

/** Source of the endpoints that requests may be routed to. */
export interface IEndpointSource {
  /** Returns the endpoints of a service that accept new requests. */
  routable(service: string): readonly Endpoint[]
  readonly onChanged: event.Event<Endpoint>
  /** Fires when other endpoints have become routable without a change of an endpoint. */
  readonly onRoutableChanged?: event.Event<void>
}

/** Endpoints known to one process. */
export class EndpointTable implements IEndpointSource, lifecycle.IDisposable {
  private readonly endpoints = new Map<string, Endpoint>()
  /** Cached ready endpoints by service; renewals and load reports replace an element in place, since they are far more frequent than changes. */
  private readonly readyByService = new Map<string, Endpoint[]>()
  private readonly idByAddress = new Map<string, string>()
  private readonly changedEmitter = new event.Emitter<Endpoint>()
  /** Fires on each change except renewals and load reports. */
  readonly onChanged = this.changedEmitter.event
  private readonly routableEmitter = new event.Emitter<void>()
  /** Fires when the evacuated failure domains have changed. */
  readonly onRoutableChanged = this.routableEmitter.event
  private readonly subscription: lifecycle.IDisposable | undefined

  private readonly coldLimits: coldEndpoints.ColdLimits | undefined
  private readonly cancelColdTimers = new Map<string, () => void>()

  private resumedAt = -Infinity

  /**
   * @param evacuations failure domains whose endpoints are not routable; without it, there are none.
   * @param coldRates limits of cold endpoints; without it, they have none.
   */
  constructor (private readonly clock: clock.IClock, private readonly evacuations?: Pick<evacuationTable.EvacuationTable, 'has' | 'onChanged' | 'withdrawnAt'>, coldRates?: coldEndpoints.IColdRates) {
    this.coldLimits = coldRates === undefined ? undefined : new coldEndpoints.ColdLimits(coldRates, evacuations, clock)
    this.subscription = evacuations?.onChanged(() => {
      this.readyByService.clear()
      this.routableEmitter.fire()
    })
  }

  /** Records that this process was paused. Until peers have had time to refresh the leases, only endpoints with a live lease are routable. */
  noteProcessPause (): void {
    this.resumedAt = this.clock.now()
  }

  dispose (): void {
    for (const cancel of this.cancelColdTimers.values()) cancel()
    this.subscription?.dispose()
    this.routableEmitter.dispose()
    this.changedEmitter.dispose()
  }

  /** Applies an announcement that its target made `ageMs` ago. */
  apply ({ coldLeftMs = 0, ...next }: announcement.Announcement, ageMs: number): ApplyOutcome {
    const now = this.clock.now()
    const known = this.endpoints.get(next.endpoint)
    if (known !== undefined && !isNewer(next, known)) return 'stale'
    if (known === undefined && ageMs >= next.leaseMs) return 'stale'
    if (!this.claimAddress(next)) return 'stale'
    const state = known === undefined ? next.state : nextState(known, next)
    const previous = known?.incarnation === next.incarnation ? known : undefined
    const coldUntil = coldEndpoints.extend(previous?.coldUntil, coldLeftMs, now)
    const endpoint = { ...next, state, announcedAt: now - ageMs, ...persistentState(previous), ...(coldUntil === undefined ? {} : { coldUntil }) }
    if (known !== undefined && !isChanged(known, endpoint) && !coldEndpoints.isExtended(known.coldUntil, coldUntil, now)) {
      this.replace(known, endpoint)
      return 'renewed'
    }
    this.setAndNotify(known, endpoint)
    return 'changed'
  }

  /**
   * Assigns the address to the endpoint and marks the previous holder as left, because an address is used by one endpoint
   * at a time: the one with the newest incarnation. Returns false if that is not this endpoint.
   */
  private claimAddress (next: announcement.Announcement): boolean {
    if (next.state === 'left') return true
    const holderId = this.idByAddress.get(next.address)
    const holder = holderId === undefined || holderId === next.endpoint ? undefined : this.endpoints.get(holderId)
    if (holder !== undefined && holder.address === next.address && holder.state !== 'left') {
      if (next.incarnation < holder.incarnation) return false
      this.setAndNotify(holder, { ...holder, state: 'left' })
    }
    this.idByAddress.set(next.address, next.endpoint)
    return true
  }

  /** Stores a changed endpoint and fires `onChanged`. */
  private setAndNotify (known: Endpoint | undefined, next: Endpoint): void {
    this.endpoints.set(next.endpoint, next)
    this.readyByService.delete(next.service)
    if (known !== undefined) this.readyByService.delete(known.service)
    this.scheduleColdEnd(next)
    this.changedEmitter.fire(this.withColdLimit(next))
  }

  /** Fires `onChanged` when the limit of a cold endpoint ends, so that calls that wait for it are served. */
  private scheduleColdEnd (endpoint: Endpoint): void {
    const leftMs = (this.coldLimits?.limitedUntil(endpoint) ?? -Infinity) - this.clock.now()
    const id = endpoint.endpoint
    this.cancelColdTimers.get(id)?.()
    this.cancelColdTimers.delete(id)
    if (leftMs <= 0) return
    this.cancelColdTimers.set(id, this.clock.after(Math.ceil(leftMs), () => {
      this.cancelColdTimers.delete(id)
      const current = this.endpoints.get(id)
      if (current !== undefined) this.setAndNotify(current, current)
    }))
  }

  private withColdLimit (endpoint: Endpoint): Endpoint {
    return this.coldLimits?.apply(endpoint) ?? endpoint
  }

  /** Applies a committed departure, which overrides all announcements of its incarnation, newer ones included. */
  applyDeparture (departed: announcement.Announcement): void {
    const known = this.endpoints.get(departed.endpoint)
    if (known !== undefined && departed.incarnation < known.incarnation) return
    if (known === undefined || departed.incarnation > known.incarnation) {
      this.setAndNotify(known, { ...departed, announcedAt: this.clock.now(), committed: true })
      return
    }
    if (known.committed === true && (known.state === departed.state || known.state === 'left')) return
    this.setAndNotify(known, { ...known, state: known.state === 'left' ? 'left' : departed.state, committed: true })
  }

  /** Marks an endpoint as leaving; returns false when it is marked already or has another incarnation. */
  markLeaving (id: string, incarnation: number): boolean {
    const known = this.endpoints.get(id)
    if (known === undefined || known.incarnation !== incarnation || known.leaving === true) return false
    this.setAndNotify(known, { ...known, leaving: true })
    return true
  }

  /** Records what a response stated about the endpoint's limit; returns whether this changed the limit. */
  recordNamedLimit (id: string, incarnation: number, named: number | undefined, requestedAt: number): boolean {
    const known = this.endpoints.get(id)
    if (known === undefined || known.incarnation !== incarnation) return false
    const limit = endpointLimit.applyResponse(known.limit, named, requestedAt, this.clock.now())
    if (limit === undefined) return false
    this.setAndNotify(known, { ...known, limit })
    return true
  }

  /** Applies what a peer knows of the endpoint's limit; returns whether this changed the limit. */
  applyPeerLimit (id: string, incarnation: number, reported: endpointLimit.ReportedLimit): boolean {
    const known = this.endpoints.get(id)
    if (known === undefined || known.incarnation !== incarnation || !endpointLimit.isLater(reported, known.limit)) return false
    this.setAndNotify(known, { ...known, limit: { ...reported, knownSince: this.clock.now() } })
    return true
  }

  /** Records what a response of the endpoint to this process stated; returns whether other instances must know of it. */
  recordCold (id: string, incarnation: number, leftMs: number): boolean {
    const known = this.endpoints.get(id)
    if (known?.incarnation !== incarnation) return false
    return this.extendCold(known, leftMs, { coldStatedAt: this.clock.now() })
  }

  /** Applies what a peer knows of the endpoint's cold time. */
  applyPeerCold (id: string, incarnation: number, leftMs: number): void {
    const known = this.endpoints.get(id)
    if (known?.incarnation === incarnation && leftMs > 0) this.extendCold(known, leftMs, {})
  }

  private extendCold (known: Endpoint, leftMs: number, statement: Pick<Endpoint, 'coldStatedAt'>): boolean {
    const now = this.clock.now()
    const coldUntil = coldEndpoints.extend(known.coldUntil, leftMs, now)
    const next = { ...known, ...statement, ...(coldUntil === undefined ? {} : { coldUntil }) }
    const isExtended = coldEndpoints.isExtended(known.coldUntil, coldUntil, now)
    if (isExtended) this.setAndNotify(known, next)
    else this.replace(known, next)
    return isExtended
  }

  /** Applies a renewal; `stale` when the incarnation is not known. */
  renew (renewal: Renewal, ageMs: number): ApplyOutcome {
    const known = this.endpoints.get(renewal.endpoint)
    if (known === undefined || known.incarnation !== renewal.incarnation) return 'stale'
    return this.apply({ ...known, sequence: renewal.sequence, load: renewal.load, coldLeftMs: renewal.coldLeftMs }, ageMs)
  }

  /** Updates the load from a report in a response; the next announcement replaces it. */
  updateLoad (id: string, load: number): void {
    const known = this.endpoints.get(id)
    if (known === undefined || known.load === load) return
    this.replace(known, { ...known, load })
  }

  get (id: string): Endpoint | undefined {
    return this.endpoints.get(id)
  }

  /** Returns an endpoint with the limit that applies to it now. */
  getRouted (id: string): Endpoint | undefined {
    const known = this.endpoints.get(id)
    return known === undefined ? undefined : this.withColdLimit(known)
  }

  /** Returns true when an endpoint that has not left uses the address. */
  isAddressInUse (address: string): boolean {
    const holder = this.idByAddress.get(address)
    return holder !== undefined && this.endpoints.get(holder)?.state !== 'left'
  }

  get size (): number {
    return this.endpoints.size
  }

  all (): readonly Endpoint[] {
    return [...this.endpoints.values()]
  }

  /** Number of endpoints with a live lease that have not left. */
  get liveCount (): number {
    const now = this.clock.now()
    return this.all().filter((endpoint) => endpoint.state !== 'left' && !hasExpired(endpoint, now)).length
  }

  /** Returns whether the endpoint must get no requests because its failure domain is evacuated. */
  isEvacuated ({ failureDomain }: Pick<Endpoint, 'failureDomain'>): boolean {
    return this.evacuations?.has(failureDomain) === true
  }

  routable (service: string): readonly Endpoint[] {
    const endpoints = this.liveEndpoints(service)
    return this.coldLimits?.applyAll(service, endpoints) ?? endpoints
  }

  private liveEndpoints (service: string): readonly Endpoint[] {
    const now = this.clock.now()
    const ready = this.readyEndpoints(service)
    const live = ready.filter((endpoint) => !hasExpired(endpoint, now))
    if (live.length === ready.length) return ready
    if (now - this.resumedAt < refreshAfterPauseMs) return live
    return isMassExpiry(ready, live.length, now) ? ready : live
  }

  /** Removes endpoints whose lease expired long ago. */
  sweep (): void {
    const now = this.clock.now()
    for (const endpoint of this.all()) {
      if (now - endpoint.announcedAt < endpoint.leaseMs + removeAfterExpiryMs) continue
      this.endpoints.delete(endpoint.endpoint)
      this.readyByService.delete(endpoint.service)
      if (this.idByAddress.get(endpoint.address) === endpoint.endpoint) this.idByAddress.delete(endpoint.address)
    }
  }

  /** Stores a renewal or load report, which does not change whether the endpoint is routable. */
  private replace (known: Endpoint, next: Endpoint): void {
    this.endpoints.set(next.endpoint, next)
    const ready = this.readyByService.get(next.service)
    const position = ready?.indexOf(known) ?? -1
    if (ready !== undefined && position >= 0) ready[position] = next
  }

  private readyEndpoints (service: string): readonly Endpoint[] {
    let ready = this.readyByService.get(service)
    if (ready === undefined) {
      ready = this.all().filter((endpoint) => endpoint.service === service && endpoint.state === 'ready' && endpoint.leaving !== true && !this.isEvacuated(endpoint))
      this.readyByService.set(service, ready)
    }
    return ready
  }
}

/** Returns whether the endpoint names a limit on its requests now. */
export function isLimited (endpoint: Endpoint): boolean {
  return endpoint.limit?.perSecond !== undefined
}

/** Returns true when the newest announcement is older than its lease. */
export function hasExpired (endpoint: Endpoint, now: number): boolean {
  return now - endpoint.announcedAt > endpoint.leaseMs
}

function isNewer (next: announcement.Announcement, known: announcement.Announcement): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation
  return next.sequence > known.sequence
}

/** Returns what is known of an incarnation beyond its announcements. */
function persistentState (known: Endpoint | undefined): Pick<Endpoint, 'committed' | 'leaving' | 'limit' | 'coldUntil' | 'coldStatedAt'> {
  return {
    ...(known?.committed === true ? { committed: true } : {}),
    ...(known?.leaving === true ? { leaving: true } : {}),
    ...(known?.limit === undefined ? {} : { limit: known.limit }),
    ...(known?.coldUntil === undefined ? {} : { coldUntil: known.coldUntil }),
    ...(known?.coldStatedAt === undefined ? {} : { coldStatedAt: known.coldStatedAt })
  }
}

/** Returns the state after an announcement. Within an incarnation `left` is final, and `draining` changes only to `left`. */
function nextState (known: Endpoint, next: announcement.Announcement): announcement.TargetState {
  if (next.incarnation !== known.incarnation) return next.state
  if (known.state === 'left') return 'left'
  return known.state === 'draining' && next.state !== 'left' ? 'draining' : next.state
}

function isChanged (known: Endpoint, next: Endpoint): boolean {
  return known.state !== next.state ||
    known.incarnation !== next.incarnation ||
    known.address !== next.address ||
    known.service !== next.service ||
    known.failureDomain !== next.failureDomain ||
    known.slots !== next.slots ||
    known.connectionLimit !== next.connectionLimit ||
    known.leaseMs !== next.leaseMs
}

/**
 * Returns true when nearly all leases of a service expired at about the same time. Most likely this process has lost its
 * connections then, rather than all targets having failed: it keeps the endpoints, and its own calls show which of them are
 * reachable. Even if all announcements stop at once, the expiries differ by up to the interval between two announcements of a
 * target, which half the longest lease covers.
 */
function isMassExpiry (ready: readonly Endpoint[], liveCount: number, now: number): boolean {
  const expiredCount = ready.length - liveCount
  if (ready.length < massExpiryMinCount || expiredCount < ready.length * massExpiryShare) return false
  const latestExpiry = ready.reduce((latest, endpoint) => Math.max(latest, endpoint.announcedAt + endpoint.leaseMs), -Infinity)
  const earliestExpiry = ready.reduce((earliest, endpoint) => Math.min(earliest, endpoint.announcedAt + endpoint.leaseMs), Infinity)
  return latestExpiry - earliestExpiry < massExpiryWindowMs + maxLeaseMs(ready) / 2 && now - latestExpiry < removeAfterExpiryMs
}

function maxLeaseMs (endpoints: readonly Endpoint[]): number {
  return endpoints.reduce((longest, endpoint) => Math.max(longest, endpoint.leaseMs), 0)
}
