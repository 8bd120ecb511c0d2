/** Limits on what callers use of an instance, with what the metrics and the log tell of them. */
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import * as parsingTurns from '@rosemaryrack/listener/node/parsingTurns.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as limitedLog from '@rosemaryrack/telemetry/common/limitedLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as arrivingRequests from './arrivingRequests.js'
import * as refusalPacing from './refusalPacing.js'
import * as requestSlots from './requestSlots.js'

const limitedMetric = 'rosemaryrack_caller_limits_total'
const maxLinesPerSecond = 5

/** The limits of the settings. */
export type CallerLimits = Omit<settings.CallerSettings, 'listen'>

/** Name of a limit that was reached, as in the settings. */
export type LimitName = Exclude<keyof CallerLimits, 'reservedShare' | 'targetConnections' | 'targetConnects' | 'claims' | 'logLinesPerSecond' | 'stalledResponseMs'>

/** Fault of a request for which no slot is free. */
export const noSlotFault = { kind: 'not-run', message: 'the instance serves as many requests as it can', retryAfterS: 1 } as const satisfies errors.Fault

/** Fault of a request that makes room for another one. */
export const stalledFault = { kind: 'not-run', message: 'the rest of the body did not arrive while other requests waited', retryAfterS: 1 } as const satisfies errors.Fault

/** The limits of one instance and their use. */
export class CallerLimiter {
  readonly slots: requestSlots.RequestSlots
  readonly pacing: refusalPacing.RefusalPacing
  readonly turns = new parsingTurns.ParsingTurns()
  readonly arriving = new arrivingRequests.ArrivingRequests()
  private readonly log: limitedLog.LimitedLog
  /** Bytes of responses that waited for callers when they were last counted. */
  unsentBytes = 0
  /** Bytes that wait to be parsed. */
  heldInputBytes = 0

  constructor (readonly limits: CallerLimits, decisions: Pick<decisionLog.IDecisionLog, 'record'>, private readonly metrics: Pick<metrics.Metrics, 'count'>, clock: clock.IClock) {
    this.pacing = new refusalPacing.RefusalPacing(clock)
    this.slots = new requestSlots.RequestSlots(limits.requests, limits.reservedShare)
    this.log = new limitedLog.LimitedLog(decisions, clock, maxLinesPerSecond)
  }

  /** Counts that a limit has held something back. */
  count (limit: LimitName): void {
    this.metrics.count(limitedMetric, { limit })
  }

  /** Counts and logs that a connection was closed or refused because of a limit. */
  recordClose (limit: LimitName, caller: string | undefined): void {
    this.count(limit)
    this.log.record({ event: 'caller-limit', choice: limit, caller, why: 'the connection of the caller was closed' })
  }
}
