/** Queue of the changes that are still to be sent to one subscribed peer. */
import * as async from '@rosemaryrack/base/common/async.js'
import type * as turnLimiter from '@rosemaryrack/base/common/turnLimiter.js'

const changeDelayMs = 100

/** How often updates are sent to one kind of peer. */
export interface OutboxTiming {
  /** Longest time without an update. */
  readonly heartbeatMs: number
  /** Longest delay of a renewal that is batched with others, as a share of its lease. */
  readonly maxRenewalDelayShare: number
}

/** Between members with the role `peer` and between hubs, which use these updates for routing immediately. */
export const peerTiming: OutboxTiming = { heartbeatMs: 1000, maxRenewalDelayShare: 1 / 12 }
/** From a hub to its spokes, which need a confirmation of the configuration each second and renewals a few times per lease. */
export const hubToSpokeTiming: OutboxTiming = { heartbeatMs: 1000, maxRenewalDelayShare: 1 / 3 }
/** From a spoke to its hubs, where updates serve as heartbeats. */
export const spokeToHubTiming: OutboxTiming = { heartbeatMs: 2000, maxRenewalDelayShare: 1 / 3 }

/** Keys of what changed since the last update. */
export interface OutboxBatch {
  readonly endpoints: ReadonlySet<string>
  readonly renewals: ReadonlySet<string>
  readonly suspects: ReadonlySet<string>
}

/** Returns how long a renewal may be delayed to batch it with others. Its age is sent along, so the delay does not extend the lease. */
export function renewalDelayMs (leaseMs: number, timing: OutboxTiming = peerTiming): number {
  return Math.min(timing.heartbeatMs, leaseMs * timing.maxRenewalDelayShare)
}

/** Returns the next multiple of the interval, so that all streams of the same interval are due in the same turn of the event loop. */
export function nextMultiple (at: number, intervalMs: number): number {
  return (Math.floor(at / intervalMs) + 1) * intervalMs
}

/** Batches changes that follow each other within a short time into one update; suspects, configuration versions and urgent changes are due immediately. */
export class PeerOutbox {
  private endpoints = new Set<string>()
  private renewals = new Set<string>()
  private suspects = new Set<string>()
  private dueAt = Infinity
  private readonly dueChanged = new async.Signal()

  /** @param turns limits the batches that all outboxes of a process return in one turn of the event loop. */
  constructor (private readonly timing: OutboxTiming = peerTiming, private readonly turns?: turnLimiter.TurnLimiter) {}

  /** @param isUrgent whether the change is due immediately, because other instances send too many requests until they know it. */
  addEndpoint (id: string, isUrgent: boolean): void {
    this.endpoints.add(id)
    this.scheduleWithin(isUrgent ? 0 : changeDelayMs)
  }

  addRenewal (id: string, leaseMs: number): void {
    this.renewals.add(id)
    const delayMs = renewalDelayMs(leaseMs, this.timing)
    this.scheduleAt(nextMultiple(performance.now(), delayMs))
  }

  addSuspect (fingerprint: string): void {
    this.suspects.add(fingerprint)
    this.scheduleWithin(0)
  }

  /** Schedules an immediate update; every update carries the configuration version. */
  scheduleImmediately (): void {
    this.scheduleWithin(0)
  }

  /** Schedules an update soon, together with other changes. */
  scheduleSoon (): void {
    this.scheduleWithin(changeDelayMs)
  }

  /** Waits for the next batch, which is empty when only a heartbeat is due. Returns what is queued once the signal is aborted. */
  async nextBatch (signal: AbortSignal): Promise<OutboxBatch> {
    const heartbeatAt = nextMultiple(performance.now(), this.timing.heartbeatMs)
    while (!signal.aborted) {
      const waitMs = Math.min(this.dueAt, heartbeatAt) - performance.now()
      if (waitMs <= 0) break
      await this.dueChanged.wait(waitMs)
    }
    await this.turns?.enter()
    const batch = { endpoints: this.endpoints, renewals: this.renewals, suspects: this.suspects }
    this.endpoints = new Set()
    this.renewals = new Set()
    this.suspects = new Set()
    this.dueAt = Infinity
    return batch
  }

  private scheduleWithin (ms: number): void {
    this.scheduleAt(performance.now() + ms)
  }

  private scheduleAt (at: number): void {
    if (at >= this.dueAt) return
    this.dueAt = at
    this.dueChanged.notify()
  }
}
