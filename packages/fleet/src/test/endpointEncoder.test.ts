/** Tests that a shared encoding has the content that the endpoints have when an update is created. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as endpointTable from '../common/endpointTable.js'
import * as fleetCodec from '../common/fleetCodec.js'
import * as endpointEncoder from '../node/endpointEncoder.js'

const now = 10_000

function createEndpoint (sequence: number, state: endpointTable.Endpoint['state'] = 'ready'): endpointTable.Endpoint {
  return { endpoint: 'diary-1', service: 'diary', address: '10.0.0.1:80', failureDomain: 'a', slots: 4, connectionLimit: 240, state, load: 0.5, incarnation: 7, sequence, leaseMs: 6000, announcedAt: now - 20 }
}

/** Returns an update with the selection as a subscriber decodes it. */
function send (encoder: endpointEncoder.EndpointEncoder, selection: endpointEncoder.EndpointSelection, at = now): inner.PeerUpdate {
  const update = protobuf.create(inner.PeerUpdateSchema, { confirmed: true })
  encoder.addTo(update, selection, at)
  return protobuf.fromBinary(inner.PeerUpdateSchema, protobuf.toBinary(inner.PeerUpdateSchema, update))
}

tap.t.test('a subscriber decodes the fields of the update and the endpoints of the shared encoding', async (t) => {
  const encoder = new endpointEncoder.EndpointEncoder()
  const selection = { announcements: [createEndpoint(1), createEndpoint(2)], renewals: [createEndpoint(3), createEndpoint(4)] }
  const expected = protobuf.create(inner.PeerUpdateSchema, {
    confirmed: true,
    announcements: selection.announcements.map((endpoint) => fleetCodec.encodeEndpoint(endpoint, now)),
    renewals: selection.renewals.map((endpoint) => fleetCodec.encodeRenewal(endpoint, now))
  })
  t.same(send(encoder, selection), expected)
  t.same(send(encoder, selection), expected)
  t.equal(encoder.encodedCount, 4)
  t.equal(send(encoder, { announcements: [], renewals: selection.renewals }).renewals.length, 2)
})

tap.t.test('an endpoint that has changed is encoded again', async (t) => {
  const encoder = new endpointEncoder.EndpointEncoder()
  send(encoder, { announcements: [createEndpoint(1)], renewals: [] })
  const update = send(encoder, { announcements: [createEndpoint(2, 'draining')], renewals: [] })
  t.match(update.announcements, [{ sequence: 2n, state: inner.TargetState.DRAINING }])
})

tap.t.test('a later update has the age of that time', async (t) => {
  const encoder = new endpointEncoder.EndpointEncoder()
  const selection = { announcements: [], renewals: [createEndpoint(1)] }
  t.equal(send(encoder, selection).renewals[0]?.ageMs, 20)
  t.equal(send(encoder, selection, now + 1000).renewals[0]?.ageMs, 1020)
})

tap.t.test('an update without endpoints has no more than its own fields', async (t) => {
  const update = send(new endpointEncoder.EndpointEncoder(), { announcements: [], renewals: [] })
  t.same(update, protobuf.create(inner.PeerUpdateSchema, { confirmed: true }))
})
