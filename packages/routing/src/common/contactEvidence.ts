/** Recent failures of contacts that no later success refutes. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as targetContacts from './targetContacts.js'

/** Time for which a failure counts. */
const failureLifetimeMs = 1000

interface Failure {
  readonly startedAt: number
  readonly endedAt: number
  readonly isNewConnection: boolean
}

/** Keeps the latest failure of each target. */
export class ContactEvidence {
  private readonly failures = new Map<string, Failure>()
  private lastSuccessAt = -Infinity
  private lastNewConnectionAt = -Infinity

  constructor (private readonly clock: clock.IClock) {}

  recordFailure ({ address, isNewConnection, startedAt }: targetContacts.FailedContact): void {
    this.failures.set(address, { startedAt, endedAt: this.clock.now(), isNewConnection })
  }

  recordSuccess ({ isNewConnection }: targetContacts.Contact): void {
    this.lastSuccessAt = this.clock.now()
    if (isNewConnection) this.lastNewConnectionAt = this.lastSuccessAt
  }

  clear (): void {
    this.failures.clear()
  }

  /**
   * Returns the targets with an unrefuted failure: none succeeded since that contact began. Open connections may outlive the loss of reachability, so a response on one of
   * them does not refute that new ones fail.
   */
  failedAddresses (): ReadonlySet<string> {
    const oldest = this.clock.now() - failureLifetimeMs
    const failed = new Set<string>()
    for (const [address, { startedAt, endedAt, isNewConnection }] of this.failures) {
      const refutedAt = isNewConnection ? this.lastNewConnectionAt : this.lastSuccessAt
      if (endedAt < oldest || startedAt < refutedAt) this.failures.delete(address)
      else failed.add(address)
    }
    return failed
  }
}
