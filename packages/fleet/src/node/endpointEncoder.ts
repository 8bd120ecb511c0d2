/** Encodes endpoints and renewals for updates. Streams that get the same ones at about the same time share one encoding. */
import * as protobuf from '@bufbuild/protobuf'
import * as wire from '@bufbuild/protobuf/wire'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as endpointTable from '../common/endpointTable.js'
import * as fleetCodec from '../common/fleetCodec.js'

/** Longest time for which an encoding is used again. The ages in it are too low by that time at most. */
const shareMs = 50
/** Number of different selections that are kept: streams may be due at the same time for full states and for changes. */
const maxShared = 8

/** Endpoints of one update. A changed or renewed endpoint is another object. */
export interface EndpointSelection {
  readonly announcements: readonly endpointTable.Endpoint[]
  readonly renewals: readonly endpointTable.Endpoint[]
}

interface SharedEncoding extends EndpointSelection {
  readonly encodedAt: number
  readonly fields: readonly protobuf.UnknownField[]
}

/** Adds endpoints to updates. */
export class EndpointEncoder {
  private shared: readonly SharedEncoding[] = []
  private encoded = 0

  /** Number of endpoints and renewals encoded so far. */
  get encodedCount (): number {
    return this.encoded
  }

  /** Adds the selection to an update that has no endpoints yet. */
  addTo (update: inner.PeerUpdate, selection: EndpointSelection, now: number): void {
    if (selection.announcements.length + selection.renewals.length === 0) return
    update.$unknown = [...this.encode(selection, now)]
  }

  private encode (selection: EndpointSelection, now: number): readonly protobuf.UnknownField[] {
    const recent = this.shared.filter(({ encodedAt }) => now - encodedAt <= shareMs)
    const found = recent.find((each) => isSame(each.announcements, selection.announcements) && isSame(each.renewals, selection.renewals))
    const encoding = found ?? { ...selection, encodedAt: now, fields: this.encodeNew(selection, now) }
    this.shared = found === undefined ? [encoding, ...recent].slice(0, maxShared) : recent
    return encoding.fields
  }

  /** Returns the encoded fields as one unknown field, which the encoder of a message copies as it is. */
  private encodeNew ({ announcements, renewals }: EndpointSelection, now: number): readonly protobuf.UnknownField[] {
    this.encoded += announcements.length + renewals.length
    const bytes = protobuf.toBinary(inner.PeerUpdateSchema, protobuf.create(inner.PeerUpdateSchema, {
      announcements: announcements.map((endpoint) => fleetCodec.encodeEndpoint(endpoint, now)),
      renewals: renewals.map((endpoint) => fleetCodec.encodeRenewal(endpoint, now))
    }))
    const reader = new wire.BinaryReader(bytes)
    const [no, wireType] = reader.tag()
    return [{ no, wireType, data: bytes.subarray(reader.pos) }]
  }
}

function isSame (a: readonly endpointTable.Endpoint[], b: readonly endpointTable.Endpoint[]): boolean {
  return a.length === b.length && a.every((endpoint, i) => endpoint === b[i])
}
