/** Evacuated failure domains, as part of the replicated state. */
import * as protobuf from '@bufbuild/protobuf'
import * as event from '@rosemaryrack/base/common/event.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

/** The failure domains that are evacuated, and the index of the log entry that changed them last. */
export class EvacuationState {
  private failureDomains: ReadonlySet<string> = new Set()
  private changedAt = 0
  private readonly changedEmitter = new event.Emitter<void>()
  /** Fires on each change, also when a snapshot is restored. */
  readonly onChanged = this.changedEmitter.event

  /** Index of the log entry that changed the evacuations last; 0 if none did. */
  get revision (): number {
    return this.changedAt
  }

  has (failureDomain: string): boolean {
    return this.failureDomains.has(failureDomain)
  }

  /** Applies the orders of a log entry. An order that is in force already changes nothing. */
  apply (orders: readonly inner.Evacuation[], index: number): void {
    const next = new Set(this.failureDomains)
    let isChanged = false
    for (const { failureDomain, active } of orders) {
      if (next.has(failureDomain) === active) continue
      isChanged = true
      if (active) next.add(failureDomain)
      else next.delete(failureDomain)
    }
    if (isChanged) this.set(next, index)
  }

  /** Returns the evacuations as they are sent and stored. */
  toMessage (): inner.Evacuations {
    return protobuf.create(inner.EvacuationsSchema, { revision: BigInt(this.changedAt), failureDomains: [...this.failureDomains].sort() })
  }

  /** Takes the evacuations of a snapshot. Builds that don't know them leave them out or skip changes, so a lower revision is not taken. */
  restore (stored: inner.Evacuations | undefined): void {
    if (stored !== undefined && Number(stored.revision) > this.changedAt) this.set(new Set(stored.failureDomains), Number(stored.revision))
  }

  private set (failureDomains: ReadonlySet<string>, index: number): void {
    this.failureDomains = failureDomains
    this.changedAt = index
    this.changedEmitter.fire()
  }
}
