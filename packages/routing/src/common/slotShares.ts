/** This instance's share of the slots of endpoints. */
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'

/** Returns this instance's share of the slots and connections of an endpoint; at least one, so that each can be used. */
export function slotLimit ({ slots, connectionLimit }: endpointTable.Endpoint, liveEntries: number, configuredLimit = Infinity): number {
  const slotShare = Math.max(1, Math.ceil(slots / liveEntries))
  const connectionShare = Math.max(1, Math.floor(Math.min(connectionLimit, configuredLimit) / liveEntries))
  return Math.min(slotShare, connectionShare)
}
