/** Limit on the slots that calls hold while their bodies are still arriving: a caller that stalls keeps its slot from others. */
import type * as slotAssignment from './slotAssignment.js'

/** Share of an instance's slots of a service that such calls may hold. */
const maxShare = 0.5

type ArrivingRequest = Pick<slotAssignment.SlotRequest, 'body'>

/** Calls of one service that were given a slot while their bodies were arriving. */
export class ArrivingCalls {
  private readonly requests = new Set<ArrivingRequest>()

  /** @param slots of the endpoints that the instance may use. */
  canStart (request: ArrivingRequest, slots: number): boolean {
    if (!isArriving(request)) return true
    for (const each of this.requests) if (!isArriving(each)) this.requests.delete(each)
    return this.requests.size < Math.max(1, Math.floor(slots * maxShare))
  }

  /** Must be called with each call that gets a slot; returns a function to be called with its release. */
  start (request: ArrivingRequest): () => void {
    if (isArriving(request)) this.requests.add(request)
    return () => { this.requests.delete(request) }
  }
}

/** Returns whether a part of the body has not been received. */
export function isArriving ({ body }: ArrivingRequest): boolean {
  return body?.isReceived === false
}
