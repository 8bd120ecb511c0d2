/** Creates the updates that a process sends to its subscribers. */
import * as protobuf from '@bufbuild/protobuf'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as coldEndpoints from '../common/coldEndpoints.js'
import type * as endpointTable from '../common/endpointTable.js'
import * as fleetCodec from '../common/fleetCodec.js'
import type * as memberTable from '../common/memberTable.js'
import type * as suspectTable from '../common/suspectTable.js'
import * as endpointEncoder from './endpointEncoder.js'
import type * as meshTables from './meshTables.js'
import type * as peerOutbox from './peerOutbox.js'

/** Time for which a count of the live entry instances is sent again. */
const entryCountMs = 100
/** Ages in full updates refer to the next multiple of this time, so that those of streams opened at about the same time are equal and compressed once. */
const fullUpdateMs = 50

/** Creates full updates for new streams, and updates with what has changed. */
export class UpdateFactory {
  private readonly encoder = new endpointEncoder.EndpointEncoder()
  private created = 0
  private entryCount = { count: 0, countedAt: -Infinity }

  /** @param encodeSelf returns the current description of this process. */
  constructor (private readonly role: meshTables.MeshRole, private readonly tables: meshTables.MeshTables, private readonly encodeSelf: () => inner.Member) {}

  /** Number of updates created so far. */
  get createdCount (): number {
    return this.created
  }

  /** Number of endpoints and renewals encoded so far. */
  get encodedEndpointCount (): number {
    return this.encoder.encodedCount
  }

  /**
   * Creates the first update of a stream.
   * @param startedAt time at which the stream was opened.
   * @param isSubscriberInformed whether the subscriber is a hub that has endpoints already.
   */
  createFull (startedAt: number, isSubscriberInformed: boolean): inner.PeerUpdate {
    const now = Math.ceil(performance.now() / fullUpdateMs) * fullUpdateMs
    const update = this.createBase(startedAt, true, now)
    this.encoder.addTo(update, { announcements: this.firstEndpoints(isSubscriberInformed), renewals: [] }, now)
    update.suspects = this.tables.suspects.all().map((suspect) => encodeSuspect(suspect, now))
    return update
  }

  /** Creates an update with what has changed. */
  createDelta (batch: peerOutbox.OutboxBatch, startedAt: number, includeMembers: boolean): inner.PeerUpdate {
    const now = performance.now()
    const update = this.createBase(startedAt, includeMembers, now)
    const announcements = [...batch.endpoints].flatMap((id) => this.tables.endpoints.get(id) ?? [])
    const renewals = [...batch.renewals].flatMap((id) => batch.endpoints.has(id) ? [] : this.tables.endpoints.get(id) ?? [])
    this.encoder.addTo(update, { announcements, renewals }, now)
    for (const fingerprint of batch.suspects) {
      const suspect = this.tables.suspects.get(fingerprint)
      if (suspect !== undefined) update.suspects.push(encodeSuspect(suspect, now))
    }
    return update
  }

  /** Returns the endpoints of a first update. A spoke has them from hubs, but for what their responses to it stated. */
  private firstEndpoints (isSubscriberInformed: boolean): readonly endpointTable.Endpoint[] {
    const all = this.tables.endpoints.all()
    return this.role === 'spoke' && isSubscriberInformed ? all.filter((endpoint) => endpoint.leaving === true || endpoint.limit !== undefined || coldEndpoints.coldLeftMs(endpoint, performance.now()) > 0) : all
  }

  /**
   * Creates an update without endpoints and suspects. It reports the configuration as confirmed only if the confirmation
   * is newer than the stream: an older one may predate a version that was accepted before the subscriber started.
   * @param now time to which the ages in it refer.
   */
  private createBase (startedAt: number, includeMembers: boolean, now: number): inner.PeerUpdate {
    this.created++
    const { configs } = this.tables
    const confirmedAt = performance.now() - configs.confirmedAgeMs
    const confirmed = confirmedAt >= startedAt
    return protobuf.create(inner.PeerUpdateSchema, {
      self: this.encodeSelf(),
      members: includeMembers ? this.advertisedMembers().map((member) => fleetCodec.encodeMember(member, now)) : [],
      liveEntries: this.role === 'hub' ? this.countLiveEntries(now) : 0,
      configVersion: configVersion.encode(configs.current.version),
      confirmed,
      confirmedAgeMs: confirmed ? Math.round(now - confirmedAt) : 0
    })
  }

  /** Returns the number of live entry instances, which are not counted again for each stream. */
  private countLiveEntries (now: number): number {
    if (now - this.entryCount.countedAt > entryCountMs) this.entryCount = { count: this.tables.members.liveEntryCount, countedAt: now }
    return this.entryCount.count
  }

  /** Returns the members to include in updates: all among peers, else only hubs. Hubs report entry instances only as a number. */
  private advertisedMembers (): readonly memberTable.Member[] {
    const all = this.tables.members.all()
    return this.role === 'peer' ? all : all.filter(({ hub }) => hub)
  }
}

function encodeSuspect (suspect: suspectTable.Suspect, now: number): inner.Suspect {
  return protobuf.create(inner.SuspectSchema, {
    fingerprint: suspect.fingerprint,
    deaths: [...suspect.deaths],
    clearedDeaths: [...suspect.clearedDeaths],
    ageMs: fleetCodec.ageMs(suspect.lastReportedAt, now)
  })
}
