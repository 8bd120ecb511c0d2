/** Requests that succeeded recently, which are therefore not treated as the cause of a crash. */
import type * as requestIdentity from './requestIdentity.js'

const maxSuccessCount = 4096

interface Success {
  readonly identity: requestIdentity.IRequestIdentity
  readonly at: number
}

/** Ring buffer of the last successes; fingerprints are computed only on lookup. */
export class RecentSuccesses {
  private readonly ring: Success[] = []
  private next = 0

  /** Adds a request that succeeded. */
  add (identity: requestIdentity.IRequestIdentity, at: number): void {
    this.ring[this.next] = { identity, at }
    this.next = (this.next + 1) % maxSuccessCount
  }

  /** Returns whether a request succeeded at or after a time on the monotonic clock of the process. */
  hasSucceededSince (fingerprint: string, time: number): boolean {
    return this.ring.some(({ identity, at }) => at >= time && identity.fingerprint === fingerprint)
  }
}
