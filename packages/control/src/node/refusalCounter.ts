/** Counts operations that were refused, by the kind of the fault. */
import * as errors from '@rosemaryrack/base/common/errors.js'

/** Operation that requires a quorum; a confirmation is the part of a read, or of a stream to an instance, that asks the leader. */
export type Operation = 'read' | 'write' | 'confirmation'

/** Number of operations refused with one kind of fault. */
export interface RefusalCount {
  readonly operation: Operation
  readonly kind: errors.ErrorKind
  readonly count: number
}

/** Faults that mean that the group couldn't serve, as opposed to a request at fault. */
const countedKinds: ReadonlySet<errors.ErrorKind> = new Set<errors.ErrorKind>(['no-quorum', 'not-leader', 'unknown', 'unreachable', 'disk-failure'])

/** Counts refusals since the process started. */
export class RefusalCounter {
  private readonly counts = new Map<string, RefusalCount>()
  private tolerance = 0

  /** Runs an operation, and counts it if it fails because the group can't serve it. */
  async run<T> (operation: Operation, perform: () => Promise<T>): Promise<T> {
    try {
      return await perform()
    } catch (err) {
      const { kind } = errors.faultOf(err)
      if (countedKinds.has(kind)) this.add(operation, kind)
      throw err
    }
  }

  /** Counts a write that too few replicas would hold. */
  countIntolerant (): void {
    this.tolerance++
  }

  /** Writes that were refused because they would not survive the required number of lost disks. */
  get intolerantCount (): number {
    return this.tolerance
  }

  /** Returns all counts. */
  read (): readonly RefusalCount[] {
    return [...this.counts.values()]
  }

  private add (operation: Operation, kind: errors.ErrorKind): void {
    const key = `${operation} ${kind}`
    this.counts.set(key, { operation, kind, count: (this.counts.get(key)?.count ?? 0) + 1 })
  }
}
