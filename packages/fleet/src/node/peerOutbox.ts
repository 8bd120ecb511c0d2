/** What one subscribed peer has not been told yet. */
import * as async from '@rosemaryrack/base/common/async.js'

const changeDelayMs = 100

/** How often one kind of peer is told. */
export interface OutboxPace {
  /** Longest time without an update, in milliseconds. */
  readonly heartbeatMs: number
  /** Longest wait of a renewal for others, as a share of its lease. */
  readonly renewalsWaitPerLease: number
}

/** Peers act on what they hear at once. */
export const peerPace: OutboxPace = { heartbeatMs: 1000, renewalsWaitPerLease: 1 / 12 }
/** From a hub to the entry instances that it serves: they need a confirmation each second, renewals a few times a lease. */
export const spokePace: OutboxPace = { heartbeatMs: 1000, renewalsWaitPerLease: 1 / 3 }
/** From an entry instance to its hubs, as a sign of life. */
export const lifePace: OutboxPace = { heartbeatMs: 2000, renewalsWaitPerLease: 1 / 3 }

/** Keys of changes since the last update. */
export interface OutboxBatch {
  readonly endpoints: ReadonlySet<string>
  readonly renewals: ReadonlySet<string>
  readonly suspects: ReadonlySet<string>
}

/** How long a renewal may wait for others; its age travels with it, so a peer never takes it for newer than it is. */
export function renewalDelayMs (leaseMs: number, pace: OutboxPace = peerPace): number {
  return Math.min(pace.heartbeatMs, leaseMs * pace.renewalsWaitPerLease)
}

/** The next whole multiple of an interval: streams of the same interval are served in the same turn of the event loop. */
export function nextTick (now: number, intervalMs: number): number {
  return (Math.floor(now / intervalMs) + 1) * intervalMs
}

/** Gathers changes, so that many within a short time travel in one update; suspects travel at once. */
export class PeerOutbox {
  private endpoints = new Set<string>()
  private renewals = new Set<string>()
  private suspects = new Set<string>()
  private dueAt = Infinity
  private readonly dueEarlier = new async.Signal()

  constructor (private readonly pace: OutboxPace = peerPace) {}

  addEndpoint (id: string): void {
    this.endpoints.add(id)
    this.sendWithin(changeDelayMs)
  }

  addRenewal (id: string, leaseMs: number): void {
    this.renewals.add(id)
    const delayMs = renewalDelayMs(leaseMs, this.pace)
    this.sendAt(nextTick(performance.now(), delayMs))
  }

  addSuspect (fingerprint: string): void {
    this.suspects.add(fingerprint)
    this.sendWithin(0)
  }

  /** A new configuration version: it travels with any update, so one is due at once. */
  noteConfig (): void {
    this.sendWithin(0)
  }

  /** The next batch; an empty one when the heartbeat is due. */
  async next (abort: AbortSignal): Promise<OutboxBatch> {
    const heartbeatAt = nextTick(performance.now(), this.pace.heartbeatMs)
    while (!abort.aborted) {
      const waitMs = Math.min(this.dueAt, heartbeatAt) - performance.now()
      if (waitMs <= 0) break
      await this.dueEarlier.wait(waitMs)
    }
    const batch = { endpoints: this.endpoints, renewals: this.renewals, suspects: this.suspects }
    this.endpoints = new Set()
    this.renewals = new Set()
    this.suspects = new Set()
    this.dueAt = Infinity
    return batch
  }

  private sendWithin (ms: number): void {
    this.sendAt(performance.now() + ms)
  }

  private sendAt (at: number): void {
    if (at >= this.dueAt) return
    this.dueAt = at
    this.dueEarlier.notify()
  }
}
