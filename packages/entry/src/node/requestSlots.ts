/** Limit on the requests that an instance serves at a time. */

/** Slots for requests, of which a part is left for connections with a single request. */
export class RequestSlots {
  private taken = 0
  private readonly shared: number

  /** @param reservedShare share of the slots that only connections with a single request use. */
  constructor (private readonly total: number, reservedShare: number) {
    this.shared = Math.ceil(total * (1 - reservedShare))
  }

  /** Number of slots in use. */
  get takenCount (): number {
    return this.taken
  }

  /**
   * Returns false if there is no slot for a request.
   * @param isSingle whether no other request of its connection has a slot.
   */
  tryTake (isSingle: boolean): boolean {
    if (this.taken >= (isSingle ? this.total : this.shared)) return false
    this.taken++
    return true
  }

  release (): void {
    this.taken--
  }
}
