/** Converts between table entries and messages of the protocol between processes. */
import * as protobuf from '@bufbuild/protobuf'
import * as address from '@rosemaryrack/base/common/address.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as announcement from './announcement.js'
import * as coldEndpoints from './coldEndpoints.js'
import type * as endpointLimit from './endpointLimit.js'
import type * as endpointTable from './endpointTable.js'
import type * as forwardingPeers from './forwardingPeers.js'
import type * as memberTable from './memberTable.js'

const stateToWire: { readonly [S in announcement.TargetState]: inner.TargetState } = {
  starting: inner.TargetState.STARTING,
  ready: inner.TargetState.READY,
  draining: inner.TargetState.DRAINING,
  left: inner.TargetState.LEFT
}

/** Returns the age to send instead of a time, since the clocks of two processes cannot be compared. */
export function ageMs (since: number, now: number): number {
  return Math.max(0, Math.round(now - since))
}

/** Encodes an endpoint with the age of its announcement. */
export function encodeEndpoint (endpoint: endpointTable.Endpoint, now: number): inner.Announcement {
  return protobuf.create(inner.AnnouncementSchema, {
    endpointId: endpoint.endpoint,
    service: endpoint.service,
    address: endpoint.address,
    failureDomain: endpoint.failureDomain,
    slots: endpoint.slots,
    connectionLimit: endpoint.connectionLimit,
    state: stateToWire[endpoint.state],
    load: endpoint.load,
    incarnation: BigInt(endpoint.incarnation),
    sequence: BigInt(endpoint.sequence),
    leaseMs: endpoint.leaseMs,
    ageMs: ageMs(endpoint.announcedAt, now),
    committed: endpoint.committed === true,
    leaving: endpoint.leaving === true,
    limitRevision: endpoint.limit?.revision ?? 0,
    coldLeftMs: coldEndpoints.coldLeftMs(endpoint, now),
    ...(endpoint.limit?.perSecond === undefined ? {} : { limitPerSecond: endpoint.limit.perSecond })
  })
}

/** Decodes the announced part of an endpoint, without its age and flags. */
export function decodeAnnouncement (wire: inner.Announcement): announcement.Announcement {
  return {
    endpoint: wire.endpointId,
    service: wire.service,
    address: wire.address,
    failureDomain: wire.failureDomain,
    slots: wire.slots,
    connectionLimit: wire.connectionLimit,
    state: stateFromWire(wire.state),
    load: wire.load,
    incarnation: Number(wire.incarnation),
    sequence: Number(wire.sequence),
    leaseMs: wire.leaseMs,
    ...(wire.coldLeftMs === 0 ? {} : { coldLeftMs: wire.coldLeftMs })
  }
}

/** Decodes what the sender knows of an endpoint's limit; undefined if the endpoint never named one. */
export function decodeLimit ({ limitPerSecond, limitRevision }: inner.Announcement): endpointLimit.ReportedLimit | undefined {
  return limitRevision === 0 ? undefined : { perSecond: limitPerSecond, revision: limitRevision }
}

function stateFromWire (wire: inner.TargetState): announcement.TargetState {
  switch (wire) {
    case inner.TargetState.STARTING: return 'starting'
    case inner.TargetState.READY: return 'ready'
    case inner.TargetState.DRAINING: return 'draining'
    default: return 'left'
  }
}

/** Encodes the newest renewal of an endpoint with its age. */
export function encodeRenewal (endpoint: endpointTable.Endpoint, now: number): inner.Renewal {
  return protobuf.create(inner.RenewalSchema, {
    endpointId: endpoint.endpoint,
    incarnation: BigInt(endpoint.incarnation),
    sequence: BigInt(endpoint.sequence),
    load: endpoint.load,
    ageMs: ageMs(endpoint.announcedAt, now),
    coldLeftMs: coldEndpoints.coldLeftMs(endpoint, now)
  })
}

/** Decodes a renewal, without its age. */
export function decodeRenewal (wire: inner.Renewal): endpointTable.Renewal {
  return {
    endpoint: wire.endpointId,
    incarnation: Number(wire.incarnation),
    sequence: Number(wire.sequence),
    load: wire.load,
    ...(wire.coldLeftMs === 0 ? {} : { coldLeftMs: wire.coldLeftMs })
  }
}

/** Encodes an announcement that was made just now. */
export function encodeAnnouncement (announced: announcement.Announcement): inner.Announcement {
  return encodeEndpoint({ ...announced, announcedAt: 0 }, 0)
}

/** Encodes a member with the time since it was last seen. */
export function encodeMember (member: memberTable.Member, now: number): inner.Member {
  return protobuf.create(inner.MemberSchema, {
    instance: member.instance,
    address: member.address,
    failureDomain: member.failureDomain,
    incarnation: BigInt(member.incarnation),
    hub: member.hub,
    forwardAddress: member.forwardAddress ?? '',
    cutOff: member.cutOff === true,
    ageMs: ageMs(member.lastSeenAt, now)
  })
}

/** Decodes a member, without the time since it was last seen. */
export function decodeMember (wire: inner.Member): Omit<memberTable.Member, 'lastSeenAt'> {
  return {
    instance: wire.instance,
    address: wire.address,
    failureDomain: wire.failureDomain,
    incarnation: Number(wire.incarnation),
    hub: wire.hub,
    forwardAddress: wire.forwardAddress === '' ? undefined : wire.forwardAddress,
    cutOff: wire.cutOff
  }
}

/** Decodes entry instances that requests can be forwarded to. */
export function decodeForwardingPeers (wire: inner.ForwardingPeers): readonly forwardingPeers.ForwardingPeer[] {
  return wire.peers
    .filter(({ forwardAddress }) => address.isAddress(forwardAddress))
    .map(({ instance, forwardAddress, failureDomain }) => ({ instance, forwardAddress, failureDomain }))
}
