/** Statistics of an endpoint, from the calls and load probes of this entry instance. */

/** Time constant by which older latency samples lose weight. */
const latencyDecayMs = 300
/** Number of consecutive failures that eject an endpoint. */
const ejectAfterFailures = 2
const minEjectionMs = 2000
const maxEjectionMs = 30_000
/** Factor by which each ejection is longer than the previous one, until a call succeeds. */
const ejectionGrowthFactor = 4
/** Time after which a new endpoint no longer counts as cold. */
const warmUpMs = 5000
/** Time after which a load report is no longer used; load changes several times a second. */
const reportLifetimeMs = 200

/** Tracks calls in flight, latency, failures and ejection of one endpoint. */
export class EndpointStats {
  /** Start times of the calls in flight, in the order of their start. */
  private readonly startTimeByCall = new Map<symbol, number>()
  private latencyMs: number | undefined
  private latencyAt = 0
  private failures = 0
  private ejectionMs = 0
  private ejectedUntil = -Infinity
  private lastFailureAt = -Infinity
  private ejectedAt = -Infinity
  private reportedCost = 1
  private reportedAt = -Infinity
  /** Number of suspect requests in flight. */
  suspectCount = 0

  /**
   * @param warmUpStartedAt time on the clock at which this instance first saw the endpoint ready.
   * @param isNew whether it was first seen after the other endpoints of its service.
   */
  constructor (private warmUpStartedAt: number, private isNew = true) {}

  /** True for an endpoint that has joined the others of its service, or gets calls again after a limit. */
  get hasJoined (): boolean {
    return this.isNew
  }

  /** Time on the clock since which the endpoint counts as new. */
  get firstSeenAt (): number {
    return this.warmUpStartedAt
  }

  /** Treats the endpoint as a new one that gets its calls gradually, since it got few of them until now. */
  restartWarmUp (now: number): void {
    this.warmUpStartedAt = now
    this.isNew = true
  }

  get inFlight (): number {
    return this.startTimeByCall.size
  }

  /** Counts a call as in flight and returns the handle for `endCall`. */
  startCall (now: number): symbol {
    const handle = Symbol('call')
    this.startTimeByCall.set(handle, now)
    return handle
  }

  endCall (handle: symbol): void {
    this.startTimeByCall.delete(handle)
  }

  /** Returns the age of the oldest call in flight, in milliseconds. */
  oldestCallAgeMs (now: number): number {
    const oldest = this.startTimeByCall.values().next()
    return oldest.done === true ? 0 : now - oldest.value
  }

  /** Resets the failures and adds a latency sample. Its weight is at least 0.2 and grows with the time since the last sample. */
  recordSuccess (latencyMs: number, now: number): void {
    this.failures = 0
    this.ejectionMs = 0
    const sinceLastMs = now - this.latencyAt
    const weight = this.latencyMs === undefined ? 1 : Math.max(0.2, 1 - Math.exp(-sinceLastMs / latencyDecayMs))
    this.latencyMs = (this.latencyMs ?? 0) * (1 - weight) + latencyMs * weight
    this.latencyAt = now
  }

  /** Counts a failure; consecutive failures eject the endpoint for a while, longer each time. */
  recordFailure (now: number): void {
    this.lastFailureAt = now
    this.failures++
    if (this.failures >= ejectAfterFailures) this.eject(now)
  }

  /**
   * Ejects the endpoint immediately, since a refused connection proves that nothing listens there. Refusals of calls that were in
   * flight together count once.
   */
  recordConnectionRefused (now: number): void {
    this.lastFailureAt = now
    this.failures = Math.max(this.failures, ejectAfterFailures - 1)
    if (!this.isEjected(now)) this.eject(now)
  }

  /** Withdraws the failures since a time, which were not the endpoint's, and an ejection because of them. */
  withdrawFailures (since: number): void {
    if (this.lastFailureAt < since) return
    this.failures = 0
    if (this.ejectedAt < since) return
    this.ejectionMs = 0
    this.ejectedUntil = -Infinity
  }

  isEjected (now: number): boolean {
    return now < this.ejectedUntil
  }

  /** Number of consecutive failures; reset to one less than the ejection threshold by an ejection. */
  get recentFailures (): number {
    return this.failures
  }

  /**
   * Estimates the latency of a call sent now. The measured latency decays towards `typicalMs`, and the age of the oldest call
   * in flight is a lower bound.
   */
  estimateLatency (now: number, typicalMs: number): number {
    // Without new samples, the estimate decays with four times the time constant that applies to new samples.
    const freshness = this.latencyMs === undefined ? 0 : Math.exp(-(now - this.latencyAt) / (latencyDecayMs * 4))
    const estimate = typicalMs + ((this.latencyMs ?? typicalMs) - typicalMs) * freshness
    return Math.max(estimate, this.oldestCallAgeMs(now))
  }

  /** Records the cost of one more call, computed from a load report and relative to an idle endpoint. */
  recordReport (cost: number, now: number): void {
    this.reportedCost = cost
    this.reportedAt = now
  }

  /** Returns the cost from the newest load report, decayed towards 1. */
  decayedReportCost (now: number): number {
    const freshness = Math.max(0, 1 - (now - this.reportedAt) / reportLifetimeMs)
    return 1 + (this.reportedCost - 1) * freshness
  }

  /** Returns how cold the endpoint is: from 1 when just started to 0 when warmed up. */
  coldness (now: number): number {
    return Math.max(0, 1 - (now - this.firstSeenAt) / warmUpMs)
  }

  private eject (now: number): void {
    this.ejectedAt = now
    this.ejectionMs = Math.min(maxEjectionMs, Math.max(minEjectionMs, this.ejectionMs * ejectionGrowthFactor))
    this.ejectedUntil = now + this.ejectionMs
    this.failures = ejectAfterFailures - 1
  }
}
