/** Contacts of this instance with targets: which succeeded, and which failed or stay without an outcome. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

/** Time after which a watched contact without an outcome counts as failed. */
export const contactTimeoutMs = 250

/** A contact with the target at an address. */
export interface Contact {
  readonly address: string
  /** True on a connection that has not carried a response before, or could not be opened. */
  readonly isNewConnection: boolean
}

/** A contact that failed. */
export interface FailedContact extends Contact {
  /** Time on the clock at which the contact began. */
  readonly startedAt: number
}

/** Receives the outcomes of contacts. */
export interface ITargetContacts {
  /** Watches a contact that targets normally answer at once, such as opening a connection; returns a function that ends the watch. */
  watch(contact: Contact): () => void
  /** Records that bytes of a response arrived. */
  recordSuccess(contact: Contact): void
  /**
   * Records that a connection could not be opened or was lost, or that no response came.
   * @param ageMs time since the contact began.
   */
  recordFailure(contact: Contact, ageMs: number): void
}

/** Discards all outcomes. */
export class NullTargetContacts implements ITargetContacts {
  watch (): () => void {
    return () => {}
  }

  recordSuccess (): void {}

  recordFailure (): void {}
}

/** Passes on the outcomes of contacts as events, with those that time out. */
export class TargetContacts implements ITargetContacts, lifecycle.IDisposable {
  /** Oldest first. */
  private readonly watched = new Set<FailedContact>()
  private readonly succeededEmitter = new event.Emitter<Contact>()
  private readonly failedEmitter = new event.Emitter<FailedContact>()
  private cancelTimer: (() => void) | undefined
  readonly onSucceeded = this.succeededEmitter.event
  readonly onFailed = this.failedEmitter.event

  constructor (private readonly clock: clock.IClock) {}

  dispose (): void {
    this.cancelTimer?.()
    this.watched.clear()
    this.succeededEmitter.dispose()
    this.failedEmitter.dispose()
  }

  watch (contact: Contact): () => void {
    const watched = { ...contact, startedAt: this.clock.now() }
    this.watched.add(watched)
    if (this.cancelTimer === undefined) this.scheduleExpiry(contactTimeoutMs)
    return () => this.watched.delete(watched)
  }

  recordSuccess (contact: Contact): void {
    this.succeededEmitter.fire(contact)
  }

  recordFailure (contact: Contact, ageMs: number): void {
    this.failedEmitter.fire({ ...contact, startedAt: this.clock.now() - ageMs })
  }

  /** All watches are equally long, so one timer for the oldest is enough. */
  private scheduleExpiry (ms: number): void {
    this.cancelTimer = this.clock.after(ms, () => this.expireWatched())
  }

  private expireWatched (): void {
    this.cancelTimer = undefined
    const now = this.clock.now()
    const expired = [...this.watched].filter(({ startedAt }) => startedAt + contactTimeoutMs <= now)
    for (const contact of expired) this.watched.delete(contact)
    const [oldest] = this.watched
    if (oldest !== undefined) this.scheduleExpiry(oldest.startedAt + contactTimeoutMs - now)
    for (const contact of expired) this.failedEmitter.fire(contact)
  }
}
