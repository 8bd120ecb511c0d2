/** Fetches newer configurations from the peers that report them. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'

/** Time for a peer to respond before the next one is asked too. */
const nextPeerDelayMs = 300

/** Requests the configuration from one peer. */
export type Fetch = () => Promise<inner.ConfigVersion>

/** A version that a peer has reported. */
interface Offer {
  readonly version: number
  readonly fetch: Fetch
}

/** Receives the fetched configurations. */
export interface IFetchTarget {
  /** Returns whether a version is still of use. */
  needs(version: number): boolean
  /** Throws when the configuration can't be used. */
  accept(config: inner.ConfigVersion, source: string): void
}

/** Asks one peer after another, the next one at once when a fetch fails and soon when it takes long. */
export class PeerConfigFetch {
  /** The newest offer of each peer that is not being asked. */
  private readonly offers = new Map<string, Offer>()
  private readonly pendingSources = new Set<string>()
  private isRunning = false

  constructor (private readonly target: IFetchTarget, private readonly failures: failureLog.FailureLog) {}

  /** Handles that a peer has a version. */
  offer (version: number, source: string, fetch: Fetch): void {
    if (!this.target.needs(version) || this.pendingSources.has(source)) return
    this.offers.set(source, { version, fetch })
    if (!this.isRunning) this.run()
  }

  private async run (): Promise<void> {
    this.isRunning = true
    try {
      for (let next = this.takeNewest(); next !== undefined; next = this.takeNewest()) {
        await async.settlesWithin(this.fetchFrom(...next), nextPeerDelayMs)
      }
    } finally {
      this.isRunning = false
    }
  }

  /** Removes and returns the offer with the highest version; undefined when none is of use. */
  private takeNewest (): readonly [string, Offer] | undefined {
    for (const [source, { version }] of this.offers) if (!this.target.needs(version)) this.offers.delete(source)
    const [newest] = [...this.offers].sort(([, a], [, b]) => b.version - a.version)
    if (newest !== undefined) this.offers.delete(newest[0])
    return newest
  }

  private async fetchFrom (source: string, { fetch }: Offer): Promise<void> {
    this.pendingSources.add(source)
    try {
      this.target.accept(await fetch(), source)
      this.failures.noteSuccess(source)
    } catch (err) {
      this.failures.noteFailure(source, err)
    } finally {
      this.pendingSources.delete(source)
    }
  }
}
