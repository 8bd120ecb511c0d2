/** Limit on the bytes that the parts of a process hold together. */

/** Bytes that can be taken until a limit is reached. */
export class ByteBudget {
  private taken = 0

  /** @param limit in bytes. */
  constructor (private readonly limit: number) {}

  get takenBytes (): number {
    return this.taken
  }

  /** Returns false, without taking any, if the limit would be exceeded. */
  take (bytes: number): boolean {
    if (this.taken + bytes > this.limit) return false
    this.taken += bytes
    return true
  }

  giveBack (bytes: number): void {
    this.taken -= bytes
  }
}
