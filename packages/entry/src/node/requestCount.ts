/** Counts one caller's request for the budget of repeats once, however often it is run. */
import type * as laneRegistry from './laneRegistry.js'

/** Count of one request, at this instance or at the peer to which it is forwarded. */
export class RequestCount {
  /** @param hasBeenCounted true if another instance has counted the request before. */
  constructor (private readonly lanes: laneRegistry.LaneRegistry, private readonly state: laneRegistry.LaneState, private readonly service: string, private hasBeenCounted: boolean) {}

  get isCounted (): boolean {
    return this.hasBeenCounted
  }

  /** Counts the request here, unless it is counted already. */
  countHere (): void {
    if (this.hasBeenCounted) return
    this.hasBeenCounted = true
    this.lanes.countRequest(this.state, this.service)
  }

  /** Records that the peer which runs the request has counted it. */
  markCounted (): void {
    this.hasBeenCounted = true
  }
}
