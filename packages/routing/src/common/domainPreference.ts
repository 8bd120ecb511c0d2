/** Prefers endpoints in the instance's own failure domain for lanes with large responses, since traffic between domains is expensive. */

/** Weight of a new sample in the moving average. */
const sampleWeight = 0.1
/** Mean response size at and above which the full preference applies. */
const largeResponseBytes = 65_536
/**
 * Maximum extra cost of endpoints in other domains. They are used when the endpoints in the instance's own domain are expected to
 * take more than 1.5 times as long. The resulting factor, 1.5, is above the usual latency differences between endpoints, so that
 * these don't cause traffic between domains, and below the slowdown of a slow endpoint, so that such an endpoint is avoided.
 */
const maxRemoteExtraCost = 0.5

/**
 * Minimum cost factor of remote endpoints when the endpoints to probe are chosen, whatever the response size. If an endpoint reports that it is slow or busy,
 * the call goes elsewhere, so a strong preference does not delay callers.
 */
const minRemoteProbingFactor = 3

/** Factors on the cost of endpoints in other domains, 1 or more. */
export interface DomainFactors {
  readonly remoteFactor: number
  /** Used instead of `remoteFactor` when the balancing policy chooses the endpoints to probe. */
  readonly remoteCandidateFactor: number
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
    return 1 + maxRemoteExtraCost * Math.min(1, this.meanBytes / largeResponseBytes)
  }

  /**
   * Returns the factors on the cost of endpoints in other domains.
   * @param isProbing whether endpoints are probed for their load before one is chosen.
   */
  factors (isProbing: boolean): DomainFactors {
    const { remoteFactor } = this
    return { remoteFactor, remoteCandidateFactor: isProbing ? Math.max(minRemoteProbingFactor, remoteFactor) : remoteFactor }
  }
}
