/** How long endpoints stay cold, as they state it, and the limit on their requests meanwhile. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as endpointTable from './endpointTable.js'
import type * as evacuationTable from './evacuationTable.js'

/** Longest cold time that a statement can have; the rest of a longer one is ignored. */
export const maxColdMs = 600_000
/** Time that is added to a cold time: ages in messages are rounded by up to 50 ms, and requests are under way when it ends. */
const marginMs = 200
/** Extension of a cold time from which it counts as a change. Statements of one cold time differ by the time that their messages take. */
const minExtensionMs = 250
/** After a withdrawal an endpoint counts as cold for two announcement intervals, which are half of its lease. */
const presumedLeaseShare = 0.5

/** Requests per second that a cold endpoint of a service takes. */
export interface IColdRates {
  /** Returns undefined for a service whose cold endpoints have no limit. */
  rateOf(service: string): number | undefined
}

/** Returns how much longer an endpoint states to be cold, in whole milliseconds; 0 if it is not. */
export function coldLeftMs ({ coldUntil = -Infinity }: Pick<endpointTable.Endpoint, 'coldUntil'>, now: number): number {
  return Math.min(maxColdMs, Math.max(0, Math.ceil(coldUntil - now)))
}

/** Returns the end of the cold time after a statement; undefined if the endpoint was never cold. A statement never shortens it. */
export function extend (knownUntil: number | undefined, leftMs: number, now: number): number | undefined {
  if (!(leftMs > 0)) return knownUntil
  return Math.max(knownUntil ?? -Infinity, now + Math.min(maxColdMs, leftMs))
}

/** Returns whether another end of the cold time concerns other instances. */
export function isExtended (knownUntil: number | undefined, nextUntil: number | undefined, now: number): boolean {
  return nextUntil !== undefined && nextUntil > now && nextUntil > Math.max(knownUntil ?? -Infinity, now) + minExtensionMs
}

/** Replaces the limits of endpoints that are cold now. */
export class ColdLimits {
  private readonly limited = new WeakMap<endpointTable.Endpoint, endpointTable.Endpoint>()

  constructor (private readonly rates: IColdRates, private readonly evacuations: Pick<evacuationTable.EvacuationTable, 'withdrawnAt'> | undefined, private readonly clock: clock.IClock) {}

  /** Returns the local time until which requests to the endpoint are limited; undefined if its service has no limit for cold endpoints. */
  limitedUntil (endpoint: endpointTable.Endpoint): number | undefined {
    return this.rates.rateOf(endpoint.service) === undefined ? undefined : this.coldUntil(endpoint)
  }

  /** Returns the endpoints of a service with the limits that apply now. */
  applyAll (service: string, endpoints: readonly endpointTable.Endpoint[]): readonly endpointTable.Endpoint[] {
    const coldPerSecond = this.rates.rateOf(service)
    return coldPerSecond === undefined ? endpoints : endpoints.map((endpoint) => this.limit(endpoint, coldPerSecond))
  }

  /** Returns the endpoint with the limit that applies now: while it is cold, that of cold endpoints if it is lower than the one that it names. */
  apply (endpoint: endpointTable.Endpoint): endpointTable.Endpoint {
    const coldPerSecond = this.rates.rateOf(endpoint.service)
    return coldPerSecond === undefined ? endpoint : this.limit(endpoint, coldPerSecond)
  }

  private limit (endpoint: endpointTable.Endpoint, coldPerSecond: number): endpointTable.Endpoint {
    const coldUntil = this.coldUntil(endpoint)
    if (coldUntil <= this.clock.now()) return endpoint
    const known = this.limited.get(endpoint)
    if (known?.coldUntil === coldUntil && known.coldPerSecond === coldPerSecond) return known
    const { limit } = endpoint
    const perSecond = Math.min(limit?.perSecond ?? Infinity, coldPerSecond)
    const applied = { ...endpoint, coldUntil, coldPerSecond, limit: { perSecond, revision: limit?.revision ?? 0, knownSince: limit?.knownSince ?? endpoint.announcedAt } }
    this.limited.set(endpoint, applied)
    return applied
  }

  private coldUntil (endpoint: endpointTable.Endpoint): number {
    return Math.max((endpoint.coldUntil ?? -Infinity) + marginMs, this.presumedUntil(endpoint))
  }

  /** Endpoints may have turned cold while their failure domain was evacuated, when no probe asked them. */
  private presumedUntil ({ failureDomain, announcedAt, coldStatedAt = -Infinity, leaseMs }: endpointTable.Endpoint): number {
    const withdrawnAt = this.evacuations?.withdrawnAt(failureDomain)
    if (withdrawnAt === undefined || Math.max(announcedAt, coldStatedAt) > withdrawnAt) return -Infinity
    return withdrawnAt + leaseMs * presumedLeaseShare
  }
}
