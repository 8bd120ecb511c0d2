/** The state machine of the replicated log: configuration, patch ids, claims of idempotency keys, departures of endpoints, evacuations. */
import * as protobuf from '@bufbuild/protobuf'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as documentEncoding from '@rosemaryrack/config/common/documentEncoding.js'
import * as configPatch from '@rosemaryrack/config/common/configPatch.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as evacuationState from './evacuationState.js'
import type * as logEntry from './logEntry.js'

/** Outcome of a patch; invalid patches are refused before they reach the log. */
export type PatchOutcome =
  | { readonly kind: 'accepted', readonly version: number }
  | { readonly kind: 'conflict', readonly currentVersion: number }

/** Result of applying an entry. */
export type ApplyResult =
  | { readonly kind: 'none' }
  | { readonly kind: 'patch', readonly outcome: PatchOutcome }
  | { readonly kind: 'put', readonly heldVersion: number }
  | { readonly kind: 'claims', readonly granted: readonly boolean[] }

/** An accepted patch in the configuration history. */
export interface PatchHistoryItem {
  readonly patchId: string
  readonly version: number
  readonly operator: string
  readonly mergePatch: unknown
}

/** Patch ids, claims and departures older than this many log entries are evicted; must be equal on all replicas. */
export const retainedEntryCount = 50_000

/** Applies log entries deterministically, so that equal logs give equal states on all replicas. */
export class ReplicatedState {
  private currentConfig: configDocument.VersionedConfig = configDocument.emptyConfig
  private encoded = documentEncoding.encodeDocument(configDocument.emptyConfig.document)
  private sourceText = ''
  /** The document of the last put that `canRead` has read. */
  private lastRead: { readonly put: inner.PutConfig, readonly document: configDocument.ConfigDocument } | undefined
  /** Highest version that was held until the put that is applied next replaced it. */
  private skippedVersion = 0
  private readonly departures = new Map<string, inner.DepartureRecord>()
  private readonly departedEmitter = new event.Emitter<inner.Announcement>()
  /** Fires for each endpoint that drains or has left, also when a snapshot is restored. */
  readonly onDeparted = this.departedEmitter.event
  private readonly patches = new Map<string, inner.PatchRecord>()
  private readonly claims = new Map<string, inner.ClaimRecord>()
  /** Not evicted: an evacuation lasts until it is withdrawn. */
  readonly evacuations = new evacuationState.EvacuationState()

  constructor (private readonly retainedCount = retainedEntryCount) {}

  get config (): configDocument.VersionedConfig {
    return this.currentConfig
  }

  /** The document as it is sent and stored, encoded once per version. */
  get encodedConfig (): documentEncoding.EncodedDocument {
    return this.encoded
  }

  /** Size of the document as it is stored, in characters. */
  get configLength (): number {
    return this.encoded.documentJson.length + this.encoded.extensionsJson.length + this.sourceText.length
  }

  /** The document as the operator wrote it; empty when the version was made by a patch. */
  get configSource (): string {
    return this.sourceText
  }

  get claimCount (): number {
    return this.claims.size
  }

  /** Returns the outcome of a patch id that was already accepted; undefined when the id is unknown or evicted. */
  findPatchOutcome (patchId: string): PatchOutcome | undefined {
    const record = this.patches.get(patchId)
    return record === undefined ? undefined : { kind: 'accepted', version: configVersion.decode(record.version) }
  }

  /** Returns the accepted patches that are not evicted yet, oldest first. */
  history (): readonly PatchHistoryItem[] {
    return [...this.patches.values()].map((record) => ({
      patchId: record.patchId,
      version: configVersion.decode(record.version),
      operator: record.operator,
      mergePatch: JSON.parse(record.mergePatchJson) as unknown
    }))
  }

  /**
   * Applies an entry and evicts old records.
   * @param isReplaced whether a put that is applied next, and that `canRead`, replaces the document; it is not read then.
   */
  apply (entry: logEntry.LogEntry, isReplaced = false): ApplyResult {
    const result = this.applyCommand(entry, isReplaced)
    this.evictBefore(entry.index - this.retainedCount)
    return result
  }

  /** Returns whether this build can read the document of a put, and keeps the document for `apply`. */
  canRead (put: inner.PutConfig): boolean {
    try {
      this.lastRead = { put, document: parseDocument(put, `put of version ${put.version}`) }
      return true
    } catch {
      // `apply` throws the same error when it comes to this put.
      return false
    }
  }

  private applyCommand (entry: logEntry.LogEntry, isReplaced: boolean): ApplyResult {
    switch (entry.command.case) {
      case 'patch': return { kind: 'patch', outcome: this.applyPatch(entry.command.value, entry.index) }
      case 'put': return { kind: 'put', heldVersion: this.applyPut(entry.command.value, isReplaced) }
      case 'departures': return this.applyDepartures(entry.command.value, entry.index)
      case 'claims': return { kind: 'claims', granted: this.applyClaims(entry.command.value, entry.index) }
      case 'releases': return this.applyReleases(entry.command.value)
      default: return { kind: 'none' }
    }
  }

  private applyPatch (patch: inner.PatchConfig, index: number): PatchOutcome {
    const earlierOutcome = this.findPatchOutcome(patch.patchId)
    if (earlierOutcome !== undefined) return earlierOutcome
    if (configVersion.decode(patch.amends) !== this.currentConfig.version) return { kind: 'conflict', currentVersion: this.currentConfig.version }
    const document = configPatch.applyPatch(this.currentConfig.document, patch.mergePatchJson)
    this.setConfig(this.currentConfig.version + 1, document, '')
    this.patches.set(patch.patchId, protobuf.create(inner.PatchRecordSchema, {
      patchId: patch.patchId,
      version: configVersion.encode(this.currentConfig.version),
      logIndex: BigInt(index),
      operator: patch.operator,
      mergePatchJson: patch.mergePatchJson
    }))
    return { kind: 'accepted', version: this.currentConfig.version }
  }

  private applyPut (put: inner.PutConfig, isReplaced: boolean): number {
    if (isReplaced) return this.skipPut(put)
    this.skippedVersion = 0
    const version = configVersion.decode(put.version)
    if (version <= this.currentConfig.version) return this.currentConfig.version
    const document = this.lastRead?.put === put ? this.lastRead.document : parseDocument(put, `put of version ${version}`)
    this.lastRead = undefined
    this.setConfig(version, document, put.source)
    return this.currentConfig.version
  }

  private skipPut (put: inner.PutConfig): number {
    this.skippedVersion = Math.max(this.skippedVersion, configVersion.decode(put.version), this.currentConfig.version)
    return this.skippedVersion
  }

  private applyDepartures (command: inner.Departures, index: number): ApplyResult {
    for (const announcement of command.announcements) {
      this.recordDeparture(protobuf.create(inner.DepartureRecordSchema, { announcement, logIndex: BigInt(index) }))
    }
    this.evacuations.apply(command.evacuations, index)
    return { kind: 'none' }
  }

  private recordDeparture (record: inner.DepartureRecord): void {
    const { announcement } = record
    if (announcement === undefined) return
    // Deleted first, since the map must stay in the order of the log index.
    this.departures.delete(announcement.endpointId)
    this.departures.set(announcement.endpointId, record)
    this.departedEmitter.fire(announcement)
  }

  private applyClaims (command: inner.ClaimKeys, index: number): readonly boolean[] {
    return command.keys.map((key, i) => this.claim(key, command.owners[i] ?? '', index))
  }

  private claim (key: string, owner: string, index: number): boolean {
    const held = this.claims.get(key)
    if (held !== undefined) return held.owner === owner
    this.claims.set(key, protobuf.create(inner.ClaimRecordSchema, { key, owner, logIndex: BigInt(index) }))
    return true
  }

  private applyReleases (command: inner.ReleaseKeys): ApplyResult {
    command.keys.forEach((key, i) => {
      if (this.claims.get(key)?.owner === command.owners[i]) this.claims.delete(key)
    })
    return { kind: 'none' }
  }

  private evictBefore (index: number): void {
    evictOld(this.patches, index)
    evictOld(this.claims, index)
    evictOld(this.departures, index)
  }

  private setConfig (version: number, document: configDocument.ConfigDocument, source: string): void {
    this.sourceText = source
    this.currentConfig = { version, document }
    this.encoded = documentEncoding.encodeDocument(document)
  }

  /** Returns a snapshot of the state as of a log entry. */
  toSnapshot (index: number, term: number, membership: inner.Membership): inner.Snapshot {
    return protobuf.create(inner.SnapshotSchema, {
      index: BigInt(index),
      term,
      membership,
      version: configVersion.encode(this.currentConfig.version),
      ...this.encoded,
      patches: [...this.patches.values()],
      claims: [...this.claims.values()],
      source: this.sourceText,
      departures: [...this.departures.values()],
      evacuations: this.evacuations.toMessage()
    })
  }

  /** Replaces the state by a snapshot; throws `corrupt-record` when its document violates the schema. */
  restore (snapshot: inner.Snapshot): void {
    this.setConfig(configVersion.decode(snapshot.version), parseDocument(snapshot, 'snapshot'), snapshot.source)
    this.patches.clear()
    this.claims.clear()
    for (const record of snapshot.patches) this.patches.set(record.patchId, record)
    for (const record of snapshot.claims) this.claims.set(record.key, record)
    this.departures.clear()
    for (const record of snapshot.departures) this.recordDeparture(record)
    this.evacuations.restore(snapshot.evacuations)
  }
}

/** Parses a document of the log or a snapshot. Documents are validated before they are proposed, so an invalid one means that the stored data is corrupt. */
function parseDocument (encoded: documentEncoding.EncodedDocument, origin: string): configDocument.ConfigDocument {
  const check = configDocument.checkDocument(documentEncoding.decodeDocument(encoded))
  if (check.ok) return check.document
  throw new errors.RackError({ kind: 'corrupt-record', message: `invalid document in the ${origin}: ${check.problems.join('; ')}` })
}

/** Removes records below a log index; the map is in the order of the log index, so the oldest come first. */
function evictOld<T extends { readonly logIndex: bigint }> (records: Map<string, T>, before: number): void {
  for (const [key, record] of records) {
    if (Number(record.logIndex) >= before) return
    records.delete(key)
  }
}
