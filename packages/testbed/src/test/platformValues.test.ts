/** Property tests that whatever the platform's pages allow in configurations and heartbeats is accepted, stored, sent to entry instances, and obeyed. */
import * as protobuf from '@bufbuild/protobuf'
import * as fc from 'fast-check'
import * as tap from 'tap'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as logEntry from '@rosemaryrack/control/common/logEntry.js'
import * as replicatedState from '@rosemaryrack/control/common/replicatedState.js'
import * as announcement from '@rosemaryrack/fleet/common/announcement.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as fleetCodec from '@rosemaryrack/fleet/common/fleetCodec.js'
import * as configCodec from '@rosemaryrack/platform/common/configCodec.js'
import * as heartbeatCodec from '@rosemaryrack/platform/common/heartbeatCodec.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as laneMatcher from '@rosemaryrack/routing/common/laneMatcher.js'

const seed = 20261205
const runs = 400
const leaseMs = 6000
const term = 1
const noMembers = protobuf.create(inner.MembershipSchema, {})
const clock = { now: () => 0, after: () => () => {} }

interface Route {
  readonly Name: string
  readonly Host: string
  readonly PathPrefix: string
  readonly Service: string
  readonly TimeoutMs: number
}

/** Texts of all kinds, among them the names of inherited properties. */
const name = fc.oneof(fc.string({ minLength: 1, unit: 'binary' }), fc.string({ minLength: 1 }), fc.constantFrom('__proto__', 'constructor', 'toString', 'a'.repeat(300)))
const edges = fc.constantFrom(2 ** 31 - 1, 2 ** 31, 2 ** 32 - 1, 2 ** 32, 2 ** 53 - 1, 2 ** 53, 1e300)
const count = fc.oneof(fc.nat(), fc.maxSafeNat(), edges)
const positive = count.map((value) => Math.max(1, value))
const segment = fc.oneof(fc.string({ unit: 'grapheme' }).map((text) => text.replaceAll('/', '')), fc.constant('a'))
const pathPrefix = fc.array(segment).map((segments) => `/${segments.map((each) => `${each}/`).join('')}`)

const limits = fc.record({ MaxHeaderBytes: count, MaxBodyBytes: count, HeaderTimeoutMs: count, IdleTimeoutMs: count }, { requiredKeys: [] })
const service = fc.record({ Name: name, HealthPath: pathPrefix, MaxConns: count, Protocol: fc.constant('h1'), Tls: fc.constant(false) }, { requiredKeys: ['Name'] })

function routesTo (services: readonly string[]): fc.Arbitrary<Route[]> {
  const route = fc.record({
    Name: name,
    Host: name,
    PathPrefix: pathPrefix,
    RouteKind: fc.constantFrom('safe', 'unsafe', 'download'),
    TimeoutMs: positive,
    TargetLatencyMs: fc.constantFrom(0, 1, 59_999),
    Priority: count,
    Attempts: positive,
    Service: fc.constantFrom(...services)
  })
  return fc.uniqueArray(route, { selector: ({ Name }) => Name, maxLength: 5 }).filter((routes) => new Set(routes.map(keyOf)).size === routes.length)
}

/** Returns what two routes must not share: hosts are the same in any case, paths also in their percent-encoded form. */
function keyOf ({ Host, PathPrefix }: Route): string {
  return `${Host.toLowerCase()} ${targetOf(PathPrefix)}`
}

const config = fc.uniqueArray(service, { selector: ({ Name }) => Name, minLength: 1, maxLength: 4 }).chain((services) => fc.record({
  Version: fc.integer({ min: 1, max: Number.MAX_SAFE_INTEGER }),
  Routes: routesTo(services.map(({ Name }) => Name)),
  Services: fc.constant(services),
  Limits: limits
}))

/** Returns the request target of a path as a client sends it. */
function targetOf (path: string): string {
  return path.replace(/[^\x21-\x7e]|[?#]/gu, encodeURIComponent)
}

/** Passes a configuration through the log, a snapshot, and a stream to an entry instance; returns its source and the document that arrives. */
function store ({ version, document }: configCodec.DecodedConfig, source: string): { readonly source: string, readonly document: configDocument.ConfigDocument } {
  const put = protobuf.create(inner.PutConfigSchema, { version: BigInt(version), documentJson: JSON.stringify(document), source })
  const [entry] = logEntry.decodeBatch(logEntry.encodeBatch([{ index: 1, term, command: { case: 'put', value: put } }]))
  const leader = new replicatedState.ReplicatedState()
  leader.apply(entry!)
  const snapshot = protobuf.fromBinary(inner.SnapshotSchema, protobuf.toBinary(inner.SnapshotSchema, leader.toSnapshot(1, term, noMembers)))
  const follower = new replicatedState.ReplicatedState()
  follower.restore(snapshot)
  const sent = protobuf.create(inner.ConfigVersionSchema, { version: BigInt(follower.config.version), ...follower.encodedConfig })
  const received = protobuf.fromBinary(inner.ConfigVersionSchema, protobuf.toBinary(inner.ConfigVersionSchema, sent))
  const check = configDocument.checkDocument(JSON.parse(received.documentJson))
  if (!check.ok) throw new Error(check.problems.join('; '))
  return { source: follower.configSource, document: check.document }
}

// Guards against configurations that are refused, or acknowledged and then not in force, for a value that the platform allows.
tap.t.test('each valid configuration is stored, read back as sent, and its routes are found', async (t) => {
  fc.assert(fc.property(config, (raw) => {
    const source = JSON.stringify(raw)
    const stored = store(configCodec.decodeConfig(JSON.parse(source)), source)
    if (stored.source !== source) return false
    const matcher = new laneMatcher.LaneMatcher(stored.document)
    return raw.Routes.every((route) => {
      const found = matcher.find('GET', route.Host, targetOf(route.PathPrefix))
      return found?.name === route.Name && found.lane.service === route.Service && found.lane.deadlineMs === route.TimeoutMs
    })
  }), { seed, numRuns: runs })
})

const heartbeat = fc.record({
  born: fc.maxSafeNat(),
  Addr: fc.ipV4().chain((host) => fc.integer({ min: 1, max: 65_535 }).map((port) => `${host}:${port}`)),
  Service: name,
  Zone: name,
  Version: fc.string(),
  Slots: positive,
  State: fc.constantFrom('ready', 'draining'),
  Seq: fc.maxSafeNat(),
  ColdLeftMs: count
}, { requiredKeys: ['Addr', 'Service', 'Zone', 'Slots', 'State', 'Seq'] })

// Guards against endpoints that get no requests for a value that the platform allows in heartbeats.
tap.t.test('each valid heartbeat is sent to entry instances unchanged, saved, and makes its endpoint routable', async (t) => {
  fc.assert(fc.property(heartbeat, (raw) => {
    const announced = heartbeatCodec.decodeHeartbeat('i-7f3a91c2', leaseMs, JSON.parse(JSON.stringify(raw)))
    const wire = protobuf.toBinary(inner.AnnouncementSchema, fleetCodec.encodeAnnouncement(announced))
    const received = fleetCodec.decodeAnnouncement(protobuf.fromBinary(inner.AnnouncementSchema, wire))
    const saved = announcement.parseAnnouncement(JSON.parse(JSON.stringify(received)))
    const endpoints = new endpointTable.EndpointTable(clock)
    endpoints.apply(saved, 0)
    const isRoutable = endpoints.routable(raw.Service).length === 1
    return saved.service === raw.Service && saved.failureDomain === raw.Zone && saved.sequence === raw.Seq && isRoutable === (raw.State === 'ready')
  }), { seed, numRuns: runs })
})
