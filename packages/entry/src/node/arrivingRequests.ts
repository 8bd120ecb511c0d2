/** Requests that are served while their bodies are still arriving: one whose caller has stalled makes room for another one. */

/** Shortest time without data after which a caller counts as stalled; a lost packet is usually sent again sooner. */
const minStallMs = 500

/** A request that has not been received whole. */
export interface IArrivingRequest {
  /** Time on the clock since which it waits for data of its caller; undefined if it doesn't. */
  readonly stalledSince: number | undefined
  /** Ends the request, and frees its slot at once. */
  endStalled(): void
}

/** The arriving requests of an instance. */
export class ArrivingRequests {
  private readonly requests = new Set<IArrivingRequest>()

  add (request: IArrivingRequest): void {
    this.requests.add(request)
  }

  delete (request: IArrivingRequest): void {
    this.requests.delete(request)
  }

  /** Ends the request that has been stalled for longest; returns false if there is none. */
  endLongestStalled (now: number): boolean {
    let longest: IArrivingRequest | undefined
    let since = now - minStallMs
    for (const request of this.requests) {
      const { stalledSince = Infinity } = request
      if (stalledSince > since) continue
      longest = request
      since = stalledSince
    }
    longest?.endStalled()
    return longest !== undefined
  }
}
