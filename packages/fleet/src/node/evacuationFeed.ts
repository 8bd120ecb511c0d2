/** Adds the evacuations to the updates for one subscriber. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as evacuationTable from '../common/evacuationTable.js'

/** Evacuations for one stream: sent in its first update, and again after each change. */
export class EvacuationFeed {
  private sentRevision: number | undefined

  constructor (private readonly evacuations: Pick<evacuationTable.EvacuationTable, 'revision' | 'all'> | undefined) {}

  /** Adds the evacuations to an update if the subscriber doesn't have them yet. */
  addTo (update: inner.PeerUpdate): inner.PeerUpdate {
    const { evacuations } = this
    if (evacuations === undefined || evacuations.revision === this.sentRevision) return update
    this.sentRevision = evacuations.revision
    update.evacuations = protobuf.create(inner.EvacuationsSchema, { revision: BigInt(evacuations.revision), failureDomains: [...evacuations.all] })
    return update
  }
}
