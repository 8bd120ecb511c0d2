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
 * The same for the choice of the endpoints that are asked for their load, at any size of answers: an answer that isn't good
 * leads elsewhere, so a wide preference costs callers little.
 */
const askedFactor = 3

/** Factors on the cost of endpoints in other domains, 1 or more. */
export interface DomainFactors {
  readonly remoteFactor: number
  /** In place of `remoteFactor` for the order in which endpoints are considered. */
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

  /** @param asksLoad whether endpoints are asked for their load before one is taken. */
  factors (asksLoad: boolean): DomainFactors {
    const { remoteFactor } = this
    return { remoteFactor, remotePlaceFactor: asksLoad ? Math.max(askedFactor, remoteFactor) : remoteFactor }
  }
}
