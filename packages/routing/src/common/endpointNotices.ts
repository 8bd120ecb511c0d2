/**
 * What endpoints say of themselves in their answers, as an input of placing: that they leave, and that they want no more
 * requests from this instance for a while. Answers load that one instance alone puts on an endpoint.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'

/**
 * Time in which an attempt that was under way may still be sent, in milliseconds: half of the 500 ms that the users'
 * rule on `Retry-After` of endpoints leaves.
 */
const underWayMs = 250

/** What one answer says of the endpoint that sent it. */
export interface Notice {
  readonly leaving: boolean
  /** Time for which the endpoint wants nothing more from this instance, in milliseconds. */
  readonly awayMs?: number
}

/** Where notices go, and what they allow. */
export interface IEndpointNotices {
  note(endpoint: endpointTable.Endpoint, notice: Notice): void
  /** False once a request that was placed before an endpoint's notice is too late to be sent there. */
  maySend(endpoint: endpointTable.Endpoint): boolean
}

interface AwayTime {
  readonly incarnation: number
  readonly since: number
  readonly until: number
}

/** Notices of one entry instance; a restart forgets them. */
export class EndpointNotices implements IEndpointNotices, lifecycle.IDisposable {
  private readonly awayTimes = new Map<string, AwayTime>()
  private readonly awayEmitter = new event.Emitter<endpointTable.Endpoint>()
  /** Fires when an endpoint asks for a time without requests. */
  readonly onAway = this.awayEmitter.event

  /** @param tellLeaving takes that an endpoint leaves; called for each answer that says so. */
  constructor (
    private readonly tellLeaving: (endpoint: endpointTable.Endpoint) => void,
    private readonly clock: clock.IClock,
    private readonly decisions: decisionLog.IDecisionLog
  ) {}

  dispose (): void {
    this.awayEmitter.dispose()
  }

  note (endpoint: endpointTable.Endpoint, { leaving, awayMs }: Notice): void {
    if (leaving) this.tellLeaving(endpoint)
    if (awayMs !== undefined) this.noteAway(endpoint, awayMs)
  }

  /** Time on the clock until which an endpoint gets nothing; in the past when it may be asked. */
  awayUntil (endpoint: endpointTable.Endpoint): number {
    return this.awayTimeOf(endpoint)?.until ?? -Infinity
  }

  maySend (endpoint: endpointTable.Endpoint): boolean {
    const away = this.awayTimeOf(endpoint)
    const now = this.clock.now()
    return away === undefined || now >= away.until || now - away.since <= underWayMs
  }

  private noteAway (endpoint: endpointTable.Endpoint, awayMs: number): void {
    const now = this.clock.now()
    for (const [id, { until }] of this.awayTimes) {
      if (until <= now) this.awayTimes.delete(id)
    }
    const known = this.awayTimeOf(endpoint)
    const until = Math.max(known?.until ?? -Infinity, now + awayMs)
    this.awayTimes.set(endpoint.endpoint, { incarnation: endpoint.incarnation, since: known?.since ?? now, until })
    this.decisions.record({ event: 'away', choice: endpoint.endpoint, forMs: Math.round(until - now), why: 'the endpoint turned a request away and named a time' })
    this.awayEmitter.fire(endpoint)
  }

  private awayTimeOf ({ endpoint, incarnation }: endpointTable.Endpoint): AwayTime | undefined {
    const known = this.awayTimes.get(endpoint)
    return known?.incarnation === incarnation ? known : undefined
  }
}
