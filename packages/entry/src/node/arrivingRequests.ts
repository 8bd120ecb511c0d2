/** Requests that are served while their bodies are still arriving: one whose caller has stalled makes room for another one. */
import * as stalls from '../common/stalls.js'

/**
 * Shortest time without data after which a request makes room, by what needs its slot: one that was received whole can be served at once. An
 * incomplete one may stall too, and by then a lost packet of the other one has usually been sent again.
 */
const minStallMs = { forWhole: 100, forIncomplete: 500 } as const

/** The arriving requests of an instance. */
export class ArrivingRequests {
  private readonly requests = new Set<stalls.IStallable>()

  add (request: stalls.IStallable): void {
    this.requests.add(request)
  }

  delete (request: stalls.IStallable): void {
    this.requests.delete(request)
  }

  /**
   * Ends the request that has been stalled for longest; returns false if there is none.
   * @param isWhole whether the request that needs its slot has been received whole.
   */
  endLongestStalled (now: number, isWhole: boolean): boolean {
    const longest = stalls.findLongestStalled(this.requests, now - (isWhole ? minStallMs.forWhole : minStallMs.forIncomplete))
    longest?.endStalled()
    return longest !== undefined
  }
}
