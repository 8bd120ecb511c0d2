/** Endpoints as their targets announced them, ordered by each target's own incarnation and sequence. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as announcement from './announcement.js'

const forgetAfterMs = 120_000
const suspectShare = 0.8
const suspectMinimum = 3
const massLapseWindowMs = 2000
const refreshAfterThawMs = 2000

/** An endpoint and the local time at which its newest announcement was made. */
export interface Endpoint extends announcement.Announcement {
  readonly announcedAt: number
  /** Its state is a departure that the replicated log holds. */
  readonly committed?: boolean
  /** It said in an answer that it leaves, whatever it announces until its next incarnation. */
  readonly leaving?: boolean
}

/** What an announcement changed. */
export type ApplyOutcome = 'stale' | 'renewed' | 'changed'

/** A renewal: an announcement of which only sequence and load are new. */
export interface Renewal {
  readonly endpoint: string
  readonly incarnation: number
  readonly sequence: number
  readonly load: number
}

/** Which endpoints may be routed to. */
export interface IEndpointSource {
  /** Endpoints of a service that take new work. */
  routable(service: string): readonly Endpoint[]
  readonly onChanged: event.Event<Endpoint>
}

/** Table of one entry instance. */
export class EndpointTable implements IEndpointSource, lifecycle.IDisposable {
  private readonly endpoints = new Map<string, Endpoint>()
  /** Ready endpoints of a service; renewals and loads replace an element in place, as they come far more often than changes. */
  private readonly byService = new Map<string, Endpoint[]>()
  private readonly byAddress = new Map<string, string>()
  private readonly changedEmitter = new event.Emitter<Endpoint>()
  /** Fires for each change but a plain renewal. */
  readonly onChanged = this.changedEmitter.event

  private thawedAt = -Infinity

  constructor (private readonly clock: clock.IClock) {}

  /** Tells that this process stood still: for a while only live leases count, until peers have refreshed them. */
  noteThaw (): void {
    this.thawedAt = this.clock.now()
  }

  dispose (): void {
    this.changedEmitter.dispose()
  }

  /** Takes an announcement that its target made `ageMs` ago. */
  apply (next: announcement.Announcement, ageMs: number): ApplyOutcome {
    const known = this.endpoints.get(next.endpoint)
    if (known !== undefined && !isNewer(next, known)) return 'stale'
    if (known === undefined && ageMs >= next.leaseMs) return 'stale'
    if (!this.takeAddress(next)) return 'stale'
    const state = known === undefined ? next.state : stateAfter(known, next)
    const sameLife = known?.incarnation === next.incarnation ? known : undefined
    const endpoint = { ...next, state, announcedAt: this.clock.now() - ageMs, ...lastingMarksOf(sameLife) }
    if (known !== undefined && !isChange(known, endpoint)) {
      this.replace(known, endpoint)
      return 'renewed'
    }
    this.setChanged(known, endpoint)
    return 'changed'
  }

  /** One endpoint at an address: the one started last ends the others there; false for one that was ended so. */
  private takeAddress (next: announcement.Announcement): boolean {
    if (next.state === 'left') return true
    const holderId = this.byAddress.get(next.address)
    const holder = holderId === undefined || holderId === next.endpoint ? undefined : this.endpoints.get(holderId)
    if (holder !== undefined && holder.address === next.address && holder.state !== 'left') {
      if (next.incarnation < holder.incarnation) return false
      this.setChanged(holder, { ...holder, state: 'left' })
    }
    this.byAddress.set(next.address, next.endpoint)
    return true
  }

  private setChanged (known: Endpoint | undefined, next: Endpoint): void {
    this.endpoints.set(next.endpoint, next)
    this.byService.delete(next.service)
    if (known !== undefined) this.byService.delete(known.service)
    this.changedEmitter.fire(next)
  }

  /** Takes a committed departure, which holds whatever was announced of its incarnation since. */
  applyDeparture (departed: announcement.Announcement): void {
    const known = this.endpoints.get(departed.endpoint)
    if (known !== undefined && departed.incarnation < known.incarnation) return
    if (known === undefined || departed.incarnation > known.incarnation) {
      this.setChanged(known, { ...departed, announcedAt: this.clock.now(), committed: true })
      return
    }
    if (known.committed === true && (known.state === departed.state || known.state === 'left')) return
    this.setChanged(known, { ...known, state: known.state === 'left' ? 'left' : departed.state, committed: true })
  }

  /** Takes that an incarnation says in its answers that it leaves; false when that is known, or of another incarnation. */
  noteLeaving (id: string, incarnation: number): boolean {
    const known = this.endpoints.get(id)
    if (known === undefined || known.incarnation !== incarnation || known.leaving === true) return false
    this.setChanged(known, { ...known, leaving: true })
    return true
  }

  /** Takes a renewal; stale when its announcement is not known. */
  renew (renewal: Renewal, ageMs: number): ApplyOutcome {
    const known = this.endpoints.get(renewal.endpoint)
    if (known === undefined || known.incarnation !== renewal.incarnation) return 'stale'
    return this.apply({ ...known, sequence: renewal.sequence, load: renewal.load }, ageMs)
  }

  /** Takes a load report from an answer; announcements that follow replace it. */
  noteLoad (id: string, load: number): void {
    const known = this.endpoints.get(id)
    if (known === undefined || known.load === load) return
    this.replace(known, { ...known, load })
  }

  get (id: string): Endpoint | undefined {
    return this.endpoints.get(id)
  }

  /** True while an endpoint that didn't leave stands at an address. */
  holds (address: string): boolean {
    const holder = this.byAddress.get(address)
    return holder !== undefined && this.endpoints.get(holder)?.state !== 'left'
  }

  all (): readonly Endpoint[] {
    return [...this.endpoints.values()]
  }

  /** Endpoints with a live lease, whatever their state. */
  get liveCount (): number {
    const now = this.clock.now()
    return this.all().filter((endpoint) => endpoint.state !== 'left' && !hasLapsed(endpoint, now)).length
  }

  routable (service: string): readonly Endpoint[] {
    const now = this.clock.now()
    const ready = this.readyOf(service)
    const live = ready.filter((endpoint) => !hasLapsed(endpoint, now))
    if (live.length === ready.length) return ready
    if (now - this.thawedAt < refreshAfterThawMs) return live
    return isMassLapse(ready, live.length, now) ? ready : live
  }

  /** Forgets endpoints that lapsed or left long ago. */
  sweep (): void {
    const now = this.clock.now()
    for (const endpoint of this.all()) {
      if (now - endpoint.announcedAt < endpoint.leaseMs + forgetAfterMs) continue
      this.endpoints.delete(endpoint.endpoint)
      this.byService.delete(endpoint.service)
      if (this.byAddress.get(endpoint.address) === endpoint.endpoint) this.byAddress.delete(endpoint.address)
    }
  }

  /** Takes over what doesn't change where an endpoint may be routed to. */
  private replace (known: Endpoint, next: Endpoint): void {
    this.endpoints.set(next.endpoint, next)
    const ready = this.byService.get(next.service)
    const position = ready?.indexOf(known) ?? -1
    if (ready !== undefined && position >= 0) ready[position] = next
  }

  private readyOf (service: string): readonly Endpoint[] {
    let ready = this.byService.get(service)
    if (ready === undefined) {
      ready = this.all().filter((endpoint) => endpoint.service === service && endpoint.state === 'ready' && endpoint.leaving !== true)
      this.byService.set(service, ready)
    }
    return ready
  }
}

/** Age of the newest announcement against its lease. */
export function hasLapsed (endpoint: Endpoint, now: number): boolean {
  return now - endpoint.announcedAt > endpoint.leaseMs
}

function isNewer (next: announcement.Announcement, known: announcement.Announcement): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation
  return next.sequence > known.sequence
}

/** Marks of an incarnation that its announcements don't carry. */
function lastingMarksOf (known: Endpoint | undefined): Pick<Endpoint, 'committed' | 'leaving'> {
  return {
    ...(known?.committed === true ? { committed: true } : {}),
    ...(known?.leaving === true ? { leaving: true } : {})
  }
}

/** Draining and leaving hold for the rest of an incarnation. */
function stateAfter (known: Endpoint, next: announcement.Announcement): announcement.TargetState {
  if (next.incarnation !== known.incarnation) return next.state
  if (known.state === 'left') return 'left'
  return known.state === 'draining' && next.state !== 'left' ? 'draining' : next.state
}

function isChange (known: Endpoint, next: Endpoint): boolean {
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
 * When nearly all leases of a service lapse together, this instance has lost touch rather than they:
 * it goes on with what it knew and leaves the judgement to its own calls.
 */
function isMassLapse (ready: readonly Endpoint[], liveCount: number, now: number): boolean {
  const lapsed = ready.length - liveCount
  if (ready.length < suspectMinimum || lapsed < ready.length * suspectShare) return false
  const newest = ready.reduce((latest, endpoint) => Math.max(latest, endpoint.announcedAt + endpoint.leaseMs), -Infinity)
  const oldest = ready.reduce((earliest, endpoint) => Math.min(earliest, endpoint.announcedAt + endpoint.leaseMs), Infinity)
  return newest - oldest < massLapseWindowMs + maxLease(ready) / 2 && now - newest < forgetAfterMs
}

function maxLease (endpoints: readonly Endpoint[]): number {
  return endpoints.reduce((longest, endpoint) => Math.max(longest, endpoint.leaseMs), 0)
}
