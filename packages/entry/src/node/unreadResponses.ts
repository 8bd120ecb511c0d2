/** Responses that are being sent: one of which the caller takes nothing makes room for calls that wait for a slot of its service. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as stalls from '../common/stalls.js'

/** The responses of an instance, by service. */
export class UnreadResponses {
  private readonly responses = new Map<string, Set<stalls.IStallable>>()
  /** Services for which a timer runs. */
  private readonly scheduled = new Set<string>()

  /**
   * @param minStallMs shortest time without progress after which a caller counts as stalled.
   * @param hasWaitingCalls whether calls wait for a slot of a service.
   */
  constructor (private readonly minStallMs: number, private readonly clock: clock.IClock, private readonly hasWaitingCalls: (service: string) => boolean) {}

  /** Must be called with each response whose endpoint is still sending it; returns a function to be called at its end. */
  add (service: string, response: stalls.IStallable): () => void {
    const responses = this.responses.get(service) ?? new Set()
    this.responses.set(service, responses.add(response))
    return () => {
      responses.delete(response)
      if (responses.size === 0 && this.responses.get(service) === responses) this.responses.delete(service)
    }
  }

  /** Ends the response that has been stalled for longest; returns false if there is none yet, and tries again while calls wait. */
  makeRoom (service: string): boolean {
    const responses = this.responses.get(service)
    if (responses === undefined) return false
    const longest = stalls.findLongestStalled(responses, this.clock.now() - this.minStallMs)
    longest?.endStalled()
    if (longest === undefined && stalls.findLongestStalled(responses, Infinity) !== undefined) this.schedule(service)
    return longest !== undefined
  }

  private schedule (service: string): void {
    if (this.scheduled.has(service)) return
    this.scheduled.add(service)
    this.clock.after(this.minStallMs, () => {
      this.scheduled.delete(service)
      while (this.hasWaitingCalls(service) && this.makeRoom(service));
    })
  }
}
