/**
 * Notices that endpoints send in their responses: that they are leaving, that this instance must not send them requests for a
 * while (they are away), or how many requests they take from all instances together. An away notice limits the load that a single
 * instance puts on an endpoint.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'

/**
 * Time after an away notice during which attempts already placed on the endpoint may still be sent, in milliseconds: half of the
 * 500 ms for which requests may still reach an endpoint after it has sent `Retry-After`.
 */
const placedAttemptGraceMs = 250

/** What a response states about the limit of its endpoint, in requests per second. */
export type LimitStatement =
  | { readonly kind: 'named', readonly perSecond: number }
  | { readonly kind: 'not-named' }
  | { readonly kind: 'invalid', readonly value: string }

/** Notice of an endpoint in one of its responses. */
export interface Notice {
  readonly leaving: boolean
  /** Time for which this instance must not send requests to the endpoint, in milliseconds. */
  readonly awayMs?: number
  /** Undefined if the response says nothing about a limit, neither that there is one nor that there is none. */
  readonly limit?: LimitStatement
  /** How much longer the endpoint is cold, in milliseconds; undefined if the response says nothing about it. */
  readonly coldLeftMs?: number
}

/** Receives notices, and checks whether a request may still be sent. */
export interface IEndpointNotices {
  /**
   * Records a notice that an endpoint sent in a response.
   * @param requestedAt time on the clock at which the request of the response was sent.
   */
  recordNotice(endpoint: endpointTable.Endpoint, notice: Notice, requestedAt: number): void
  /**
   * Returns whether a request may still be sent to the endpoint on which it was placed. It may not once the grace time after an away
   * notice is over, until the away period ends, nor if the endpoint has named a limit since or its failure domain is evacuated.
   */
  canSend(endpoint: endpointTable.Endpoint): boolean
}

/** Receives notices that concern more than this instance. */
export interface INoticeHandler {
  /** Called for each response whose endpoint states that it is leaving. */
  onLeaving(endpoint: endpointTable.Endpoint): void
  /** Called for each response that states the endpoint's limit, or that there is none. */
  onLimit(endpoint: endpointTable.Endpoint, limit: LimitStatement, requestedAt: number): void
  /** Called for each response that states how much longer the endpoint is cold, 0 included. */
  onCold?(endpoint: endpointTable.Endpoint, leftMs: number): void
}

interface AwayPeriod {
  readonly incarnation: number
  readonly since: number
  readonly until: number
}

/** Holds the notices that one entry instance has received, in memory only. */
export class EndpointNotices implements IEndpointNotices, lifecycle.IDisposable {
  private readonly awayPeriods = new Map<string, AwayPeriod>()
  private readonly awayEmitter = new event.Emitter<endpointTable.Endpoint>()
  /** Fires when an endpoint sends an away notice. */
  readonly onAway = this.awayEmitter.event

  constructor (
    private readonly handler: INoticeHandler,
    private readonly endpoints: Pick<endpointTable.EndpointTable, 'getRouted' | 'isEvacuated'>,
    private readonly clock: clock.IClock,
    private readonly decisions: decisionLog.IDecisionLog
  ) {}

  dispose (): void {
    this.awayEmitter.dispose()
  }

  recordNotice (endpoint: endpointTable.Endpoint, { leaving, awayMs, limit, coldLeftMs }: Notice, requestedAt: number): void {
    if (coldLeftMs !== undefined) this.handler.onCold?.(endpoint, coldLeftMs)
    if (leaving) this.handler.onLeaving(endpoint)
    if (limit !== undefined) this.handler.onLimit(endpoint, limit, requestedAt)
    if (awayMs !== undefined) this.recordAway(endpoint, awayMs)
  }

  /** Returns the time on the clock until which an endpoint gets no requests; in the past if it accepts them. */
  awayUntil (endpoint: endpointTable.Endpoint): number {
    return this.findAwayPeriod(endpoint)?.until ?? -Infinity
  }

  canSend (endpoint: endpointTable.Endpoint): boolean {
    if (this.endpoints.isEvacuated(endpoint) || this.hasNewLimit(endpoint)) return false
    const away = this.findAwayPeriod(endpoint)
    const now = this.clock.now()
    return away === undefined || now >= away.until || now - away.since <= placedAttemptGraceMs
  }

  /** Returns whether the endpoint has named its first limit, or turned cold, since a request was placed on it, so that the request has no permit. */
  private hasNewLimit (placed: endpointTable.Endpoint): boolean {
    const current = this.endpoints.getRouted(placed.endpoint)
    return current !== undefined && current.incarnation === placed.incarnation && endpointTable.isLimited(current) && !endpointTable.isLimited(placed)
  }

  private recordAway (endpoint: endpointTable.Endpoint, awayMs: number): void {
    const now = this.clock.now()
    for (const [id, { until }] of this.awayPeriods) {
      if (until <= now) this.awayPeriods.delete(id)
    }
    const known = this.findAwayPeriod(endpoint)
    const until = Math.max(known?.until ?? -Infinity, now + awayMs)
    this.awayPeriods.set(endpoint.endpoint, { incarnation: endpoint.incarnation, since: known?.since ?? now, until })
    this.decisions.record({ event: 'away', choice: endpoint.endpoint, forMs: Math.round(until - now), why: 'the endpoint rejected a request and asked to get none for a while' })
    this.awayEmitter.fire(endpoint)
  }

  private findAwayPeriod ({ endpoint, incarnation }: endpointTable.Endpoint): AwayPeriod | undefined {
    const known = this.awayPeriods.get(endpoint)
    return known?.incarnation === incarnation ? known : undefined
  }
}
