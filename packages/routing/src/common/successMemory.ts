/** Requests that succeeded lately: what shows, when targets have died, which requests were not the cause. */
import type * as requestIdentity from './requestIdentity.js'

const maxRemembered = 4096

interface Success {
  readonly identity: requestIdentity.IRequestIdentity
  readonly at: number
}

/** A ring of the last few thousand; fingerprints are computed only when it is asked. */
export class SuccessMemory {
  private readonly ring: Success[] = []
  private next = 0

  add (identity: requestIdentity.IRequestIdentity, at: number): void {
    this.ring[this.next] = { identity, at }
    this.next = (this.next + 1) % maxRemembered
  }

  /** Whether a request succeeded at or after a time on the process's monotonic clock. */
  hasSince (fingerprint: string, time: number): boolean {
    return this.ring.some(({ identity, at }) => at >= time && identity.fingerprint === fingerprint)
  }
}
