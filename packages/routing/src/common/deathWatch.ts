/** Tells a target's death from a lost connection, and blames the requests that were in flight. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as requestIdentity from './requestIdentity.js'
import * as successMemory from './successMemory.js'

const pendingMs = 10_000
const maxPendingPerEndpoint = 256

/** The connection was lost, or nothing was heard and it was given up: a dying target may keep connections open for long. */
export type LossKind = 'lost' | 'silent'

/** An attempt that ended before its answer. */
export interface LostAttempt {
  readonly fingerprint: string
  /** When it began, on the process's monotonic clock. */
  readonly startedAt: number
  readonly kind: LossKind
}

/** A loss whose cause isn't known yet. */
interface PendingLoss extends LostAttempt {
  readonly incarnation: number
  readonly at: number
}

/** Takes what calls see of endpoints. */
export interface IDeathWatch {
  /** An attempt got no answer; whether the target died is not known yet. */
  noteLoss(endpoint: endpointTable.Endpoint, attempt: LostAttempt): void
  /** The endpoint refused a connection: its process has ended. */
  noteRefused(endpoint: endpointTable.Endpoint): void
  /** The endpoint answered an attempt that began then, or proved alive otherwise: it had not died before. */
  noteAnswer(endpoint: endpointTable.Endpoint, startedAt: number): void
  /** A request succeeded. */
  noteSuccess(identity: requestIdentity.IRequestIdentity): void
}

/**
 * Losses become deaths when the endpoint refuses a connection or announces a new incarnation soon after.
 * Both are seen in passing, so the verdict costs no probe. A presumed death is withdrawn when the endpoint answers.
 */
export class DeathWatch implements IDeathWatch, lifecycle.IDisposable {
  private readonly losses = new Map<string, readonly PendingLoss[]>()
  private readonly successes = new successMemory.SuccessMemory()
  private readonly subscription: lifecycle.IDisposable

  constructor (
    endpoints: endpointTable.IEndpointSource,
    private readonly suspects: suspectTable.ISuspects,
    private readonly clock: clock.IClock
  ) {
    this.subscription = endpoints.onChanged((endpoint) => this.endpointChanged(endpoint))
  }

  dispose (): void {
    this.subscription.dispose()
  }

  noteLoss (endpoint: endpointTable.Endpoint, attempt: LostAttempt): void {
    const loss = { ...attempt, incarnation: endpoint.incarnation, at: this.clock.now() }
    this.losses.set(endpoint.endpoint, [...this.pendingOf(endpoint.endpoint), loss].slice(-maxPendingPerEndpoint))
    if (this.isPresumedDeath(endpoint.endpoint, attempt)) this.reportLosses(attempt.fingerprint)
  }

  noteRefused (endpoint: endpointTable.Endpoint): void {
    if (this.losses.size > 0) this.reportDeaths(endpoint.endpoint)
  }

  noteAnswer (endpoint: endpointTable.Endpoint, startedAt: number): void {
    if (this.losses.size === 0) return
    const pending = this.pendingOf(endpoint.endpoint)
    this.keep(endpoint.endpoint, pending.filter(({ at }) => at > startedAt))
    for (const loss of pending) {
      if (loss.at <= startedAt) this.suspects.withdrawDeath(loss.fingerprint, deathOf(endpoint.endpoint, loss))
    }
  }

  noteSuccess (identity: requestIdentity.IRequestIdentity): void {
    if (identity.isLight) this.successes.add(identity, this.clock.now())
  }

  private endpointChanged (endpoint: endpointTable.Endpoint): void {
    const died = this.pendingOf(endpoint.endpoint).some(({ incarnation }) => incarnation < endpoint.incarnation)
    if (died) this.reportDeaths(endpoint.endpoint)
  }

  /**
   * A death is presumed when the request's last target died, or when its hedge was lost too: the caller may resend it
   * before either is proven.
   */
  private isPresumedDeath (endpointId: string, { fingerprint, kind, startedAt }: LostAttempt): boolean {
    if (this.suspects.standing(fingerprint) !== 'clear') return true
    if (kind !== 'lost') return false
    return [...this.losses.keys()].some((id) => id !== endpointId &&
      this.pendingOf(id).some((loss) => loss.kind === 'lost' && loss.fingerprint === fingerprint && loss.at >= startedAt))
  }

  /** The death of an endpoint is proven. */
  private reportDeaths (endpointId: string): void {
    const lost = this.pendingOf(endpointId)
    this.losses.delete(endpointId)
    for (const loss of this.withoutSuccess(lost)) {
      this.suspects.reportDeath(loss.fingerprint, deathOf(endpointId, loss))
      // A hedge was lost too: with one death proven, that is proof enough.
      this.reportLosses(loss.fingerprint)
    }
  }

  /** A request that another endpoint answered meanwhile doesn't crash each target that runs it. */
  private withoutSuccess (lost: readonly PendingLoss[]): readonly PendingLoss[] {
    return lost.filter(({ fingerprint, startedAt }) => !this.successes.hasSince(fingerprint, startedAt))
  }

  private reportLosses (fingerprint: string): void {
    for (const endpointId of this.losses.keys()) {
      const lost = this.pendingOf(endpointId).filter((loss) => loss.fingerprint === fingerprint)
      for (const loss of this.withoutSuccess(lost)) this.suspects.reportDeath(fingerprint, deathOf(endpointId, loss))
    }
  }

  private keep (endpointId: string, pending: readonly PendingLoss[]): void {
    if (pending.length > 0) this.losses.set(endpointId, pending)
    else this.losses.delete(endpointId)
  }

  private pendingOf (endpointId: string): readonly PendingLoss[] {
    const oldest = this.clock.now() - pendingMs
    return (this.losses.get(endpointId) ?? []).filter(({ at }) => at >= oldest)
  }
}

/** An endpoint dies once in each of its incarnations: one that was started again can be brought down again. */
function deathOf (endpointId: string, { incarnation }: PendingLoss): string {
  return `${endpointId}@${incarnation}`
}
