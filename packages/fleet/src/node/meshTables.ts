/** What a process of the mesh replicates with others. */
import type * as event from '@rosemaryrack/base/common/event.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as documentEncoding from '@rosemaryrack/config/common/documentEncoding.js'
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as endpointTable from '../common/endpointTable.js'
import type * as evacuationTable from '../common/evacuationTable.js'
import type * as forwardingPeers from '../common/forwardingPeers.js'
import type * as memberTable from '../common/memberTable.js'
import type * as suspectTable from '../common/suspectTable.js'

/** The current configuration of a process. */
export interface IMeshConfigs {
  readonly current: configDocument.VersionedConfig
  readonly currentEncoded: documentEncoding.EncodedDocument
  /** Milliseconds since a quorum last confirmed the current version; infinite before the first confirmation. */
  readonly confirmedAgeMs: number
  readonly onChanged: event.Event<unknown>
  /** Waits for a limited time until the first configuration stream reports or fails; returns whether the configuration is confirmed. */
  waitForFirstStream(): Promise<boolean>
  /** Handles the configuration version that a peer reports; `fetch` requests the configuration from that peer, whose address is `source`. */
  handlePeerVersion(version: number, confirmed: boolean, ageMs: number, fetch: () => Promise<inner.ConfigVersion>, source: string): void
}

/** Tables that the mesh replicates between all processes. */
export interface MeshTables {
  readonly members: memberTable.MemberTable
  readonly endpoints: endpointTable.EndpointTable
  readonly suspects: suspectTable.SuspectTable
  readonly configs: IMeshConfigs
  /** Evacuated failure domains, which all but spokes pass on; undefined for a process that knows nothing of them. */
  readonly evacuations?: evacuationTable.EvacuationTable
  /** Receives the peers that hubs name; undefined for a process that forwards no requests. */
  readonly forwardingPeers?: forwardingPeers.ForwardingPeers
}

/**
 * Role of a process in the mesh. Without hubs, all processes are peers and subscribe to each other. With hubs, the hubs
 * subscribe to every process, and the other processes, the spokes, subscribe only to hubs.
 */
export type MeshRole = 'peer' | 'hub' | 'spoke'
