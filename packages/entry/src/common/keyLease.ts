/** Lease on the API keys of the own configuration, from confirmations that its version is the newest one. */
import * as timeline from '@rosemaryrack/base/common/timeline.js'

/** Within this time of its acknowledgement a configuration is in force on all instances that are in touch (`ConfigApplyMs` of the platform). */
const maxRefusalAgeMs = 2000
/** Allows for rounding and for clocks of different speed. */
const safetyMarginMs = 50

/** How well this instance knows which keys are valid now. */
export interface IKeyFreshness {
  /** True while keys of the own configuration may be used. */
  readonly canUseKeys: boolean
  /** True while no newer configuration can hold a key that the own one lacks. */
  readonly canRefuseKeys: boolean
}

/** The configuration of this instance. */
export interface IVersionSource {
  readonly current: { readonly version: number }
  /** The newest version that others have reported, if it is newer than the current one. */
  readonly missingVersion: number | undefined
}

/** A control replica's response: `version` was the newest one when a round of the control group began. */
export interface Confirmation {
  readonly version: number
  /** When this instance sent the request for the confirmation. The time of the response does not count, since it may arrive late. */
  readonly sentAt: timeline.TimeMark
  /** Time from the start of the round until the replica responded. */
  readonly ageMs: number
}

/** Holds the freshest confirmation, and decides by its age. */
export class KeyLease implements IKeyFreshness {
  /** A confirmation of the own version or an older one: it covers all versions that were acknowledged before its round. */
  private held: Confirmation | undefined
  /** A confirmation of a version that this instance does not have yet. */
  private pending: Confirmation | undefined

  /** @param revokeWithinMs age of the confirmation from which keys must not be used; undefined if they may be used without one. */
  constructor (private readonly revokeWithinMs: number | undefined, private readonly configs: IVersionSource, private readonly time: timeline.ITimeline) {}

  record (confirmation: Confirmation): void {
    this.promotePending()
    if (confirmation.version <= this.configs.current.version) this.held = this.fresher(this.held, confirmation)
    else this.pending = this.fresher(this.pending, confirmation)
  }

  /** Milliseconds since a quorum confirmed, at the latest, that the own version is the newest one; infinite without a confirmation. */
  get ageMs (): number {
    this.promotePending()
    return this.held === undefined ? Infinity : this.ageOf(this.held, this.time.mark())
  }

  get canUseKeys (): boolean {
    return this.revokeWithinMs === undefined || this.ageMs < this.revokeWithinMs - safetyMarginMs
  }

  get canRefuseKeys (): boolean {
    return this.configs.missingVersion === undefined && this.ageMs <= maxRefusalAgeMs && this.pending === undefined
  }

  /** True if the confirmation is older than renewals in time leave it. */
  get isOverdue (): boolean {
    return this.ageMs > maxRefusalAgeMs
  }

  private promotePending (): void {
    const { pending } = this
    if (pending === undefined || pending.version > this.configs.current.version) return
    this.pending = undefined
    this.held = this.fresher(this.held, pending)
  }

  private fresher (known: Confirmation | undefined, other: Confirmation): Confirmation {
    const now = this.time.mark()
    return known !== undefined && this.ageOf(known, now) <= this.ageOf(other, now) ? known : other
  }

  private ageOf ({ sentAt, ageMs }: Confirmation, now: timeline.TimeMark): number {
    return timeline.elapsedMs(sentAt, now) + ageMs
  }
}
