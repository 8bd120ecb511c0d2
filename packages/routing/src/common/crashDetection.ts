/**
 * Distinguishes the crash of a target from a lost connection, and reports the requests that were in flight to the table of suspects.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as requestIdentity from './requestIdentity.js'
import * as recentSuccesses from './recentSuccesses.js'

/** Time for which a lost attempt is kept to be explained by a crash. */
const maxPendingMs = 10_000
/** Maximum number of lost attempts kept for one endpoint. */
const maxPendingCount = 256

/** `lost` if the connection was lost, `silent` if the attempt timed out: a crashing target may keep connections open for long. */
export type LostAttemptKind = 'lost' | 'silent'

/** Describes an attempt that ended without a response. */
export interface LostAttempt {
  readonly fingerprint: string
  /** Start of the attempt on the monotonic clock of the process. */
  readonly startedAt: number
  readonly kind: LostAttemptKind
}

/** Describes a lost attempt whose cause is not known yet. */
interface PendingAttempt extends LostAttempt {
  readonly incarnation: number
  readonly endedAt: number
}

/** Receives the outcomes of attempts. */
export interface ICrashDetector {
  /** Records an attempt that got no response; whether the target crashed is not known yet. */
  recordLostAttempt(endpoint: endpointTable.Endpoint, attempt: LostAttempt): void
  /** Records that the endpoint refused a connection, which means that its process has ended. */
  recordRefusal(endpoint: endpointTable.Endpoint): void
  /**
   * Records a response to an attempt that started at the given time, or other evidence that the endpoint was running then: it had
   * not crashed before.
   */
  recordResponse(endpoint: endpointTable.Endpoint, startedAt: number): void
  /** Records that a request succeeded. */
  recordSuccess(identity: requestIdentity.IRequestIdentity): void
}

/**
 * Reports a crash for the lost attempts of an endpoint when it refuses a connection or announces a new incarnation soon after.
 * Both are observed during normal operation, so detection needs no probe. A presumed crash is withdrawn when the endpoint
 * responds.
 */
export class CrashDetector implements ICrashDetector, lifecycle.IDisposable {
  private readonly pendingByEndpoint = new Map<string, readonly PendingAttempt[]>()
  private readonly recentSuccesses = new recentSuccesses.RecentSuccesses()
  private readonly subscription: lifecycle.IDisposable

  constructor (
    endpoints: endpointTable.IEndpointSource,
    private readonly suspects: suspectTable.ISuspects,
    private readonly clock: clock.IClock
  ) {
    this.subscription = endpoints.onChanged((endpoint) => this.onEndpointChanged(endpoint))
  }

  dispose (): void {
    this.subscription.dispose()
  }

  recordLostAttempt (endpoint: endpointTable.Endpoint, attempt: LostAttempt): void {
    const pending = { ...attempt, incarnation: endpoint.incarnation, endedAt: this.clock.now() }
    this.pendingByEndpoint.set(endpoint.endpoint, [...this.getPending(endpoint.endpoint), pending].slice(-maxPendingCount))
    if (this.shouldPresumeCrash(endpoint.endpoint, attempt)) this.reportPresumedCrashes(attempt.fingerprint)
  }

  recordRefusal (endpoint: endpointTable.Endpoint): void {
    if (this.pendingByEndpoint.size > 0) this.reportCrash(endpoint.endpoint)
  }

  recordResponse (endpoint: endpointTable.Endpoint, startedAt: number): void {
    if (this.pendingByEndpoint.size === 0) return
    const pending = this.getPending(endpoint.endpoint)
    this.setPending(endpoint.endpoint, pending.filter(({ endedAt }) => endedAt > startedAt))
    for (const attempt of pending) {
      if (attempt.endedAt <= startedAt) this.suspects.withdrawCrash(attempt.fingerprint, crashId(endpoint.endpoint, attempt))
    }
  }

  recordSuccess (identity: requestIdentity.IRequestIdentity): void {
    if (identity.isRetainable) this.recentSuccesses.add(identity, this.clock.now())
  }

  private onEndpointChanged (endpoint: endpointTable.Endpoint): void {
    const hasCrashed = this.getPending(endpoint.endpoint).some(({ incarnation }) => incarnation < endpoint.incarnation)
    if (hasCrashed) this.reportCrash(endpoint.endpoint)
  }

  /**
   * Returns whether a crash is presumed before it is proven, since the caller may resend the request before that. This is so
   * for a request that is a suspect already, or whose hedge was lost too.
   */
  private shouldPresumeCrash (endpointId: string, { fingerprint, kind, startedAt }: LostAttempt): boolean {
    if (this.suspects.getStatus(fingerprint) !== 'clear') return true
    if (kind !== 'lost') return false
    return [...this.pendingByEndpoint.keys()].some((id) => id !== endpointId &&
      this.getPending(id).some((other) => other.kind === 'lost' && other.fingerprint === fingerprint && other.endedAt >= startedAt))
  }

  /** Reports the proven crash of an endpoint for each of its lost attempts. */
  private reportCrash (endpointId: string): void {
    const pending = this.getPending(endpointId)
    this.pendingByEndpoint.delete(endpointId)
    for (const attempt of this.excludeSucceeded(pending)) {
      this.suspects.reportCrash(attempt.fingerprint, crashId(endpointId, attempt))
      // If the hedge of the request was lost too, one proven crash is enough to presume the other one.
      this.reportPresumedCrashes(attempt.fingerprint)
    }
  }

  /** Leaves out requests to which another endpoint responded meanwhile, since they do not crash each target that runs them. */
  private excludeSucceeded (attempts: readonly PendingAttempt[]): readonly PendingAttempt[] {
    return attempts.filter(({ fingerprint, startedAt }) => !this.recentSuccesses.hasSince(fingerprint, startedAt))
  }

  /** Reports a crash for each lost attempt of a request before it is proven. */
  private reportPresumedCrashes (fingerprint: string): void {
    for (const endpointId of this.pendingByEndpoint.keys()) {
      const pending = this.getPending(endpointId).filter((attempt) => attempt.fingerprint === fingerprint)
      for (const attempt of this.excludeSucceeded(pending)) this.suspects.reportCrash(fingerprint, crashId(endpointId, attempt))
    }
  }

  private setPending (endpointId: string, pending: readonly PendingAttempt[]): void {
    if (pending.length > 0) this.pendingByEndpoint.set(endpointId, pending)
    else this.pendingByEndpoint.delete(endpointId)
  }

  private getPending (endpointId: string): readonly PendingAttempt[] {
    const oldestEnd = this.clock.now() - maxPendingMs
    return (this.pendingByEndpoint.get(endpointId) ?? []).filter(({ endedAt }) => endedAt >= oldestEnd)
  }
}

/** Returns the id of a crash: an endpoint crashes at most once in each incarnation, and may crash again after a restart. */
function crashId (endpointId: string, { incarnation }: PendingAttempt): string {
  return `${endpointId}@${incarnation}`
}
