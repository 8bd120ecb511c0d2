/**
 * Distinguishes the crash of a target from a lost connection, and reports the requests that were in flight to the table of suspects.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as requestIdentity from './requestIdentity.js'
import * as recentSuccesses from './recentSuccesses.js'
import * as targetReachability from './targetReachability.js'

/** Time for which an unanswered attempt is kept, in case a crash of its target is detected. */
const maxPendingMs = 10_000
/** Maximum number of unanswered attempts kept for one endpoint. */
const maxPendingCount = 256
/** The link of an instance that does not watch it. */
const reliableLink: targetReachability.ILinkVerdict = { isCutOff: false, onChanged: new event.Emitter<boolean>().event, whenDecided: (done) => done(false) }

/**
 * `lost` if the connection was lost, `silent` if the attempt timed out. The latter counts too, since a crashing target may keep its
 * connections open for a long time.
 */
export type UnansweredAttemptKind = 'lost' | 'silent'

/** Describes an attempt that ended without a response. */
export interface UnansweredAttempt {
  readonly fingerprint: string
  /** Start of the attempt on the monotonic clock of the process. */
  readonly startedAt: number
  readonly kind: UnansweredAttemptKind
}

/** Describes an unanswered attempt whose cause is not known yet. */
interface PendingAttempt extends UnansweredAttempt {
  readonly incarnation: number
  readonly endedAt: number
}

/** A crash that this instance has reported. */
interface CrashReport {
  readonly fingerprint: string
  readonly crash: string
  readonly at: number
}

/** Receives the outcomes of attempts. */
export interface ICrashDetector {
  /** Records an attempt that got no response; whether the target crashed is not known yet. */
  recordUnansweredAttempt(endpoint: endpointTable.Endpoint, attempt: UnansweredAttempt): void
  /**
   * Records that the endpoint refused a connection, which means that its process has ended, unless this instance is cut off from all
   * targets. Calls `done`, once that is known, with whether the endpoint has crashed.
   */
  recordConnectionRefused(endpoint: endpointTable.Endpoint, done?: (hasCrashed: boolean) => void): void
  /**
   * Records evidence that the endpoint was running at `startedAt`, such as a response to an attempt started then. Attempts that
   * ended without a response before that are then not due to a crash.
   */
  recordRunning(endpoint: endpointTable.Endpoint, startedAt: number): void
  /** Records that a request succeeded. */
  recordSuccess(identity: requestIdentity.IRequestIdentity): void
}

/**
 * Reports a crash for the unanswered attempts of an endpoint when it refuses a connection or announces a new incarnation soon after.
 * Both are observed during normal operation, so detection needs no probe. A presumed crash is withdrawn when the endpoint
 * responds. While this instance is cut off from all targets, nothing that it observes of them itself counts.
 */
export class CrashDetector implements ICrashDetector, lifecycle.IDisposable {
  private readonly pendingByEndpoint = new Map<string, readonly PendingAttempt[]>()
  private readonly recentSuccesses = new recentSuccesses.RecentSuccesses()
  private readonly disposables = new lifecycle.DisposableStore()
  /** Oldest first. */
  private recentReports: readonly CrashReport[] = []

  constructor (
    endpoints: endpointTable.IEndpointSource,
    private readonly suspects: suspectTable.ISuspects,
    private readonly clock: clock.IClock,
    private readonly link = reliableLink
  ) {
    this.disposables.add(endpoints.onChanged((endpoint) => this.onEndpointChanged(endpoint)))
    this.disposables.add(link.onChanged((isCutOff) => { if (isCutOff) this.withdrawRecent() }))
  }

  dispose (): void {
    this.disposables.dispose()
  }

  recordUnansweredAttempt (endpoint: endpointTable.Endpoint, attempt: UnansweredAttempt): void {
    if (this.link.isCutOff) return
    const pending = { ...attempt, incarnation: endpoint.incarnation, endedAt: this.clock.now() }
    this.pendingByEndpoint.set(endpoint.endpoint, [...this.getPending(endpoint.endpoint), pending].slice(-maxPendingCount))
    if (!this.shouldPresumeCrash(endpoint.endpoint, attempt)) return
    this.link.whenDecided((isCutOff) => { if (!isCutOff) this.reportPresumedCrashes(attempt.fingerprint) })
  }

  recordConnectionRefused (endpoint: endpointTable.Endpoint, done?: (hasCrashed: boolean) => void): void {
    this.link.whenDecided((isCutOff) => {
      if (!isCutOff && this.pendingByEndpoint.size > 0) this.reportCrash(endpoint.endpoint)
      done?.(!isCutOff)
    })
  }

  recordRunning (endpoint: endpointTable.Endpoint, startedAt: number): void {
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
   * Returns whether to presume a crash before it is proven, because the caller may resend the request earlier: true for a request
   * that is already a suspect, or whose hedge was lost too.
   */
  private shouldPresumeCrash (endpointId: string, { fingerprint, kind, startedAt }: UnansweredAttempt): boolean {
    if (this.suspects.getStatus(fingerprint) !== 'clear') return true
    if (kind !== 'lost') return false
    return [...this.pendingByEndpoint.keys()].some((id) => id !== endpointId &&
      this.getPending(id).some((other) => other.kind === 'lost' && other.fingerprint === fingerprint && other.endedAt >= startedAt))
  }

  /** Reports the proven crash of an endpoint for each of its unanswered attempts. */
  private reportCrash (endpointId: string): void {
    const pending = this.getPending(endpointId)
    this.pendingByEndpoint.delete(endpointId)
    for (const attempt of this.excludeSucceeded(pending)) {
      this.report(attempt.fingerprint, crashId(endpointId, attempt))
      // If the hedge of the request was lost too, one proven crash is enough to presume the other one.
      this.reportPresumedCrashes(attempt.fingerprint)
    }
  }

  /** Leaves out requests to which another endpoint responded meanwhile, since they do not crash every target that runs them. */
  private excludeSucceeded (attempts: readonly PendingAttempt[]): readonly PendingAttempt[] {
    return attempts.filter(({ fingerprint, startedAt }) => !this.recentSuccesses.hasSucceededSince(fingerprint, startedAt))
  }

  /** Reports a crash for each unanswered attempt of a request before it is proven. */
  private reportPresumedCrashes (fingerprint: string): void {
    for (const endpointId of this.pendingByEndpoint.keys()) {
      const pending = this.getPending(endpointId).filter((attempt) => attempt.fingerprint === fingerprint)
      for (const attempt of this.excludeSucceeded(pending)) this.report(fingerprint, crashId(endpointId, attempt))
    }
  }

  private report (fingerprint: string, crash: string): void {
    const now = this.clock.now()
    this.recentReports = [...this.recentReports.filter(({ at }) => now - at <= targetReachability.withdrawalMs), { fingerprint, crash, at: now }]
    this.suspects.reportCrash(fingerprint, crash)
  }

  /** Withdraws the crashes reported while the partition was not known yet, and drops the attempts that ended then. */
  private withdrawRecent (): void {
    const oldest = this.clock.now() - targetReachability.withdrawalMs
    for (const { fingerprint, crash, at } of this.recentReports) {
      if (at >= oldest) this.suspects.withdrawCrash(fingerprint, crash)
    }
    this.recentReports = []
    for (const endpointId of [...this.pendingByEndpoint.keys()]) {
      this.setPending(endpointId, this.getPending(endpointId).filter(({ endedAt }) => endedAt < oldest))
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
