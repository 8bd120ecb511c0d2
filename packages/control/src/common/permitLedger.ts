/**
 * Grants permits for requests to endpoints that name a limit. Only the leader of the control replicas grants them, so that the sum
 * over all entry instances is known in one place.
 */
import * as protobuf from '@bufbuild/protobuf'
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as endpointLimit from '@rosemaryrack/fleet/common/endpointLimit.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

const msPerSecond = 1000
/** Time over which unused permits accumulate, beyond the first one. */
const burstMs = 500
/** Time for which an instance that asked for permits of an endpoint counts as an applicant; longer than instances wait before they ask again. */
const applicantLifetimeMs = 7000
/** Time after which the applicants are counted again. */
const applicantCountMs = 250
const accountLifetimeMs = 60_000
/**
 * Part of the rate at which permits are granted while a window holds more requests than the limit allows, most of them sent before the
 * limit was known. Above 0, so that callers of a service whose endpoints all have limits are not all refused meanwhile.
 */
const overLimitShare = 0.5
const sweepIntervalMs = 10_000

type NamedLimit = endpointLimit.ReportedLimit & { readonly perSecond: number }

/** What is known of the requests to one incarnation of an endpoint. */
class LimitAccount {
  /** The limit that the endpoint names; undefined while none is known. */
  private named: NamedLimit | undefined
  /** The limit of the endpoint while it is cold, until the latest end that any instance has stated. */
  private cold = { perSecond: Infinity, until: -Infinity }
  private perSecond = 0
  private permits = 0
  private filledAt: number
  /** Times at which the requests of the current window were sent or permitted. */
  private sentAt: readonly number[] = []
  private countedAt = -Infinity
  private readonly appliedAt = new Map<string, number>()
  lastUsedAt: number

  constructor (readonly incarnation: bigint, now: number) {
    this.filledAt = now
    this.lastUsedAt = now
  }

  /** Updates the account with what an instance states about the endpoint. */
  update (instance: string, endpoint: inner.LimitedEndpoint, now: number): void {
    const { sentAgesMs } = endpoint
    this.fill(now)
    this.updateLimits(endpoint, now)
    this.lastUsedAt = now
    if (sentAgesMs.length > 0) this.sentAt = [...this.sentAt, ...sentAgesMs.map((age) => now - age)]
    this.appliedAt.set(instance, now)
  }

  /** Cold times are not ordered by revisions: instances learn and forget them at different moments, so the latest end holds. */
  private updateLimits ({ limitPerSecond: perSecond, limitRevision: revision, coldLeftMs, coldPerSecond }: inner.LimitedEndpoint, now: number): void {
    const isCold = coldPerSecond > 0
    if (isCold) this.cold = { perSecond: coldPerSecond, until: Math.max(this.cold.until, now + coldLeftMs) }
    // Otherwise the limit that the endpoint names is higher than the stated one, or there is none.
    const isNamed = !isCold || (revision > 0 && perSecond < coldPerSecond)
    if (isNamed && (this.named === undefined || endpointLimit.isLater({ perSecond, revision }, this.named))) this.named = { perSecond, revision }
    this.perSecond = Math.min(this.named?.perSecond ?? this.cold.perSecond, now < this.cold.until ? this.cold.perSecond : Infinity)
  }

  /** Grants up to `wanted` permits, at most an equal share of those that can accumulate, and at least one if there is one. */
  grant (wanted: number, now: number): number {
    const share = Math.max(1, Math.floor(this.maxPermits / this.countApplicants(now)))
    const granted = Math.max(0, Math.min(wanted, share, Math.floor(this.permits)))
    this.permits -= granted
    this.sentAt = [...this.sentAt, ...Array.from({ length: granted }, () => now)]
    return granted
  }

  /** Returns the time until the next permit can be granted, in milliseconds. */
  get waitMs (): number {
    return Math.max(0, Math.ceil((1 - this.permits) / this.grantRate * msPerSecond))
  }

  countApplicants (now: number): number {
    // Hundreds of instances may ask for the permits of an endpoint many times a second.
    if (now - this.countedAt < applicantCountMs) return Math.max(1, this.appliedAt.size)
    this.countedAt = now
    for (const [instance, at] of this.appliedAt) {
      if (at <= now - applicantLifetimeMs) this.appliedAt.delete(instance)
    }
    return Math.max(1, this.appliedAt.size)
  }

  private get rate (): number {
    return endpointLimit.sendRate(this.perSecond)
  }

  private get maxPermits (): number {
    return 1 + this.rate * burstMs / msPerSecond
  }

  /** Permits per second that are granted now. */
  private get grantRate (): number {
    const isOverLimit = this.sentAt.length > this.rate * endpointLimit.windowMs / msPerSecond + this.maxPermits
    return this.rate * (isOverLimit ? overLimitShare : 1)
  }

  private fill (now: number): void {
    this.sentAt = this.sentAt.filter((at) => at > now - endpointLimit.windowMs)
    this.permits = Math.min(this.maxPermits, this.permits + this.grantRate * (now - this.filledAt) / msPerSecond)
    this.filledAt = now
  }
}

/** Accounts of all limited endpoints. A new ledger has no permits yet, so that those of two successive leaders do not add up. */
export class PermitLedger {
  private readonly accounts = new Map<string, LimitAccount>()
  private sweptAt: number

  constructor (private readonly clock: clock.IClock) {
    this.sweptAt = clock.now()
  }

  /** Grants permits for the endpoints of a request in their order, until as many are granted as the instance wants. */
  grant (req: inner.PermitReq): inner.PermitRes {
    const now = this.clock.now()
    this.sweep(now)
    let left = req.wanted
    const grants = req.endpoints.map((endpoint) => {
      const account = this.accountOf(endpoint, now)
      // The instance does not know the newest incarnation yet.
      if (account.incarnation > endpoint.incarnation) return { granted: 0, waitMs: endpointLimit.windowMs, applicants: 1 }
      account.update(req.instance, endpoint, now)
      const granted = account.grant(left, now)
      left -= granted
      return { granted, waitMs: account.waitMs, applicants: account.countApplicants(now) }
    })
    return protobuf.create(inner.PermitResSchema, { grants })
  }

  private accountOf ({ endpointId, incarnation }: inner.LimitedEndpoint, now: number): LimitAccount {
    const known = this.accounts.get(endpointId)
    if (known !== undefined && known.incarnation >= incarnation) return known
    const account = new LimitAccount(incarnation, now)
    this.accounts.set(endpointId, account)
    return account
  }

  /** Removes accounts that no instance has used for long. */
  private sweep (now: number): void {
    if (now - this.sweptAt < sweepIntervalMs) return
    this.sweptAt = now
    for (const [id, { lastUsedAt }] of this.accounts) {
      if (now - lastUsedAt >= accountLifetimeMs) this.accounts.delete(id)
    }
  }
}
