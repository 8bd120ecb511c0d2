/** Failure domains that are evacuated, as this process knows them from the control group. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

/** Change of the evacuated failure domains. */
export interface EvacuationChange {
  readonly revision: number
  readonly started: readonly string[]
  readonly withdrawn: readonly string[]
}

/** The newest evacuations that any control replica has reported. They never go back to an earlier state. */
export class EvacuationTable implements lifecycle.IDisposable {
  private failureDomains: ReadonlySet<string> = new Set()
  private newestRevision = 0
  private readonly withdrawals = new Map<string, number>()
  private readonly changedEmitter = new event.Emitter<EvacuationChange>()
  readonly onChanged = this.changedEmitter.event

  constructor (private readonly clock: clock.IClock) {}

  dispose (): void {
    this.changedEmitter.dispose()
  }

  /** Index of the log entry that changed the evacuations last; 0 if none is known. */
  get revision (): number {
    return this.newestRevision
  }

  get all (): readonly string[] {
    return [...this.failureDomains].sort()
  }

  has (failureDomain: string): boolean {
    return this.failureDomains.has(failureDomain)
  }

  /** Local time at which this process learnt that the last evacuation of a failure domain was withdrawn; undefined if it knows of none. */
  withdrawnAt (failureDomain: string): number | undefined {
    return this.withdrawals.get(failureDomain)
  }

  /** Takes reported evacuations unless a later revision is known already. */
  apply ({ revision: reported, failureDomains }: Pick<inner.Evacuations, 'revision' | 'failureDomains'>): void {
    const revision = Number(reported)
    if (revision <= this.newestRevision) return
    const next = new Set(failureDomains)
    const change = { revision, started: [...next].filter((name) => !this.has(name)), withdrawn: this.all.filter((name) => !next.has(name)) }
    this.newestRevision = revision
    this.failureDomains = next
    for (const name of change.started) this.withdrawals.delete(name)
    for (const name of change.withdrawn) this.withdrawals.set(name, this.clock.now())
    this.changedEmitter.fire(change)
  }
}
