/** Prefers endpoints of the own failure domain for a lane whose answers are large: traffic between domains is dear. */

const sampleWeight = 0.1
/** Mean size of answers from which on the whole preference holds. */
const largeAnswerBytes = 65_536
/**
 * An endpoint elsewhere is taken when it is expected to be quicker by half as much again: less than a spell of slowness
 * costs, more than the differences between sound endpoints.
 */
const fullPreference = 0.5

/**
 * Factor in the choice of the endpoints that are probed, at any size of answers. A report of a slow or busy endpoint makes the call go
 * elsewhere, so callers don't pay for a wide preference.
 */
const probedFactor = 3

/** Factors on the cost of endpoints in other domains, 1 or more. */
export interface DomainFactors {
  readonly remoteFactor: number
  /** Replaces `remoteFactor` in the policy's choice. */
  readonly remotePlaceFactor: number
}

/** Follows the size of one lane's answers. */
export class DomainPreference {
  private meanBytes = 0

  /** Counts the body of an answer. */
  note (bytes: number): void {
    this.meanBytes += (bytes - this.meanBytes) * sampleWeight
  }

  /** Factor on the cost of an endpoint in another domain, 1 or more. */
  get remoteFactor (): number {
    return 1 + fullPreference * Math.min(1, this.meanBytes / largeAnswerBytes)
  }

  /** @param probes whether endpoints are probed for their load before one is taken. */
  factors (probes: boolean): DomainFactors {
    const { remoteFactor } = this
    return { remoteFactor, remotePlaceFactor: probes ? Math.max(probedFactor, remoteFactor) : remoteFactor }
  }
}
