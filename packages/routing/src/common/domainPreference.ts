/** Prefers endpoints in the own failure domain for lanes with large responses, since traffic between domains is expensive. */

/** Weight of a new sample in the moving average. */
const sampleWeight = 0.1
/** Mean size of responses from which on the full preference applies. */
const largeResponseBytes = 65_536
/**
 * Maximum extra cost of endpoints in other domains. They are used when the endpoints in the own domain are expected to take more
 * than 1.5 times as long: less than a slow phase of an endpoint costs, more than the differences between healthy endpoints.
 */
const maxPreference = 0.5

/**
 * Minimum factor in the choice of the endpoints to probe, for any size of responses. If an endpoint reports that it is slow or busy,
 * the call goes elsewhere, so a strong preference does not delay callers.
 */
const probingPlacementFactor = 3

/** Factors on the cost of endpoints in other domains, 1 or more. */
export interface DomainFactors {
  readonly remoteFactor: number
  /** Replaces `remoteFactor` in the choice of the balancing policy. */
  readonly remotePlacementFactor: number
}

/** Tracks the mean size of the responses of one lane. */
export class DomainPreference {
  private meanBytes = 0

  /** Records the size of the body of a response. */
  recordResponseSize (bytes: number): void {
    this.meanBytes += (bytes - this.meanBytes) * sampleWeight
  }

  /** Factor on the cost of an endpoint in another domain, 1 or more. */
  get remoteFactor (): number {
    return 1 + maxPreference * Math.min(1, this.meanBytes / largeResponseBytes)
  }

  /**
   * Returns the factors on the cost of endpoints in other domains.
   * @param isProbing whether endpoints are probed for their load before one is chosen.
   */
  factors (isProbing: boolean): DomainFactors {
    const { remoteFactor } = this
    return { remoteFactor, remotePlacementFactor: isProbing ? Math.max(probingPlacementFactor, remoteFactor) : remoteFactor }
  }
}
