/** What this entry instance knows of an endpoint from its own calls. */

const latencyDecayMs = 300
const ejectAfterFailures = 2
const minEjectionMs = 2000
const maxEjectionMs = 30_000
const ejectionGrowth = 4
const warmUpMs = 5000
/** Time after which a load report says nothing any more: load shifts several times a second. */
const reportFadesMs = 200

/** Open calls, latency and failures of one endpoint, as this instance saw them. */
export class EndpointStats {
  private readonly open = new Map<symbol, number>()
  private latencyMs: number | undefined
  private latencyAt = 0
  private failures = 0
  private ejectionMs = 0
  private ejectedUntil = -Infinity
  private reportedCost = 1
  private reportedAt = -Infinity
  /** Suspect requests in flight. */
  suspects = 0

  /** @param knownSince when this instance first saw the endpoint ready. */
  constructor (readonly knownSince: number) {}

  get inFlight (): number {
    return this.open.size
  }

  /** Counts a call as open; returns the handle to close it with. */
  begin (now: number): symbol {
    const handle = Symbol('call')
    this.open.set(handle, now)
    return handle
  }

  end (handle: symbol): void {
    this.open.delete(handle)
  }

  /** Age of the oldest open call, in milliseconds. */
  oldestOpenMs (now: number): number {
    const oldest = this.open.values().next()
    return oldest.done === true ? 0 : now - oldest.value
  }

  /** Takes a latency sample; newer samples weigh more, the longer ago the last one was. */
  succeeded (latencyMs: number, now: number): void {
    this.failures = 0
    this.ejectionMs = 0
    const gap = now - this.latencyAt
    const weight = this.latencyMs === undefined ? 1 : Math.max(0.2, 1 - Math.exp(-gap / latencyDecayMs))
    this.latencyMs = (this.latencyMs ?? 0) * (1 - weight) + latencyMs * weight
    this.latencyAt = now
  }

  /** Counts a failure; several in a row take the endpoint out for a while, longer each time. */
  failed (now: number): void {
    this.failures++
    if (this.failures >= ejectAfterFailures) this.eject(now)
  }

  /** Nothing listens there, which needs no second sign. Calls that were under way together count once. */
  refused (now: number): void {
    this.failures = Math.max(this.failures, ejectAfterFailures - 1)
    if (!this.isEjected(now)) this.eject(now)
  }

  isEjected (now: number): boolean {
    return now < this.ejectedUntil
  }

  /** Failures since the last success. */
  get recentFailures (): number {
    return this.failures
  }

  /** Latency as known now: an estimate fades towards `typicalMs`, an open call that takes longer counts. */
  latency (now: number, typicalMs: number): number {
    const fresh = this.latencyMs === undefined ? 0 : Math.exp(-(now - this.latencyAt) / (latencyDecayMs * 4))
    const estimate = typicalMs + ((this.latencyMs ?? typicalMs) - typicalMs) * fresh
    return Math.max(estimate, this.oldestOpenMs(now))
  }

  /** Takes the cost of one more call, relative to an idle endpoint, as a load report told it. */
  noteReport (cost: number, now: number): void {
    this.reportedCost = cost
    this.reportedAt = now
  }

  /** Cost by the newest report, which fades towards 1. */
  costByReport (now: number): number {
    const fresh = Math.max(0, 1 - (now - this.reportedAt) / reportFadesMs)
    return 1 + (this.reportedCost - 1) * fresh
  }

  /** From 1 for an endpoint that was just started to 0 for a warm one. */
  coldness (now: number): number {
    return Math.max(0, 1 - (now - this.knownSince) / warmUpMs)
  }

  private eject (now: number): void {
    this.ejectionMs = Math.min(maxEjectionMs, Math.max(minEjectionMs, this.ejectionMs * ejectionGrowth))
    this.ejectedUntil = now + this.ejectionMs
    this.failures = ejectAfterFailures - 1
  }
}
