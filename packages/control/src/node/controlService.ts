/** Operations of a control replica for operators and entry instances, run here or forwarded to the leader. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as documentEncoding from '@rosemaryrack/config/common/documentEncoding.js'
import * as configPatch from '@rosemaryrack/config/common/configPatch.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'
import type * as leadership from './leadership.js'
import type * as replica from './replica.js'
import type * as replicaLinks from './replicaLinks.js'
import * as quorum from '../common/quorum.js'
import type * as replicatedState from '../common/replicatedState.js'
import type * as refusalCounter from './refusalCounter.js'

const forwardTimeoutMs = 6000
const describeTimeoutMs = 1500
/** Time for this replica to apply the index of a read; after that the leader is asked for the configuration. */
const ownReadTimeoutMs = 100
const leaderReadTimeoutMs = 2000
/** Time without a response after which a voter is removed if another one can replace it. Longer than a process restart. */
const unreachableAfterMs = 2000
/** Timeout for the leader to confirm a read, in election timeouts: the leader itself waits for up to one. */
const confirmTimeoutFactor = 2

/** A patch as an operator sent it. */
export interface PatchReq {
  readonly patchId: string
  readonly amends: number
  readonly mergePatchJson: string
  readonly operator: string
}

/** A complete configuration document as an operator sent it. */
export interface PutReq {
  readonly version: number
  readonly document: configDocument.ConfigDocument
  /** The document as the operator wrote it, returned by reads. */
  readonly source: string
}

/** The configuration that a read returns. */
export interface ReadRes extends configDocument.VersionedConfig {
  /** The document as the operator wrote it; empty when the version was made by a patch. */
  readonly source: string
}

/** Settings of the replica group. */
export interface ServiceOptions {
  /** Inner addresses of the replicas that must not belong to a cluster yet when one is founded: all replicas of a group with a fixed size, else empty. */
  readonly groupAddresses: readonly string[]
  /** Inner addresses at which the leader may be found while the membership isn't known. */
  readonly seedAddresses: readonly string[]
  readonly maxReplicas: number
  /** Number of lost disks that an accepted write must survive. */
  readonly tolerateLostDisks: number
}

/** Serves patches, reads and claims; a replica that isn't the leader forwards them to the leader. */
export class ControlService {
  private readonly patchSequencer = new async.Sequencer()
  private readonly forwardedReads: failureLog.FailureLog
  private readonly admissions: failureLog.FailureLog
  private readonly removals: failureLog.FailureLog
  private isRemoving = false
  /** Address of the leader that answered the last forwarded read; used until a message of a leader arrives. */
  private answeringLeaderAddress: string | undefined

  constructor (
    readonly replica: replica.Replica,
    private readonly options: ServiceOptions,
    private readonly decisions: decisionLog.IDecisionLog
  ) {
    this.forwardedReads = new failureLog.FailureLog(decisions, 'forwarded-read')
    this.admissions = new failureLog.FailureLog(decisions, 'control-join')
    this.removals = new failureLog.FailureLog(decisions, 'control-removal')
  }

  private get refusals (): refusalCounter.RefusalCounter {
    return this.replica.monitor.refusals
  }

  /** Applies a patch; throws `version-conflict`, `invalid-config`, `no-quorum` or `unknown`. */
  async patch (req: PatchReq): Promise<number> {
    const ownLeadership = this.replica.leadership
    const outcome = await this.refusals.run('write', async () =>
      ownLeadership === undefined ? await this.forwardPatch(req) : await this.patchAsLeader(ownLeadership, req))
    this.decisions.record({ event: 'config-patch', choice: outcome.kind, patchId: req.patchId, amends: req.amends, why: describeOutcome(outcome) })
    if (outcome.kind === 'accepted') return outcome.version
    throw new errors.RackError({
      kind: 'version-conflict',
      message: `the patch amends version ${req.amends}; the current version is ${outcome.currentVersion}`,
      currentVersion: outcome.currentVersion
    })
  }

  /** Applies a patch on the leader, one at a time, so that each is checked against the version that it amends. */
  async patchAsLeader (ownLeadership: leadership.Leadership, req: PatchReq): Promise<replicatedState.PatchOutcome> {
    return await this.patchSequencer.run(async () => {
      await ownLeadership.readIndex()
      const earlierOutcome = this.replica.state.findPatchOutcome(req.patchId)
      if (earlierOutcome !== undefined) return earlierOutcome
      const { version, document } = this.replica.state.config
      if (version !== req.amends) return { kind: 'conflict', currentVersion: version }
      if (version === configVersion.maxVersion) throw new errors.RackError({ kind: 'bad-request', message: `no version follows ${version}` })
      configPatch.applyPatch(document, req.mergePatchJson)
      this.requireDiskLossTolerance()
      const result = await ownLeadership.propose({ case: 'patch', value: encodePatch(req) })
      if (result.kind === 'patch') return result.outcome
      throw new errors.RackError({ kind: 'internal', message: `applying a patch returned a result of kind ${result.kind}` })
    })
  }

  /** Replaces the configuration document unless the same or a higher version is already stored; resolves with the version stored afterwards. */
  async put (req: PutReq): Promise<number> {
    // What is applied is committed, so a version that is held needs neither the leader nor a quorum.
    const ownVersion = this.replica.state.config.version
    const heldVersion = req.version <= ownVersion ? ownVersion : await this.putNewer(req)
    this.decisions.record({ event: 'config-put', choice: String(heldVersion), version: req.version, why: heldVersion === req.version ? 'the document is now in force' : 'a higher version is already stored' })
    return heldVersion
  }

  private async putNewer (req: PutReq): Promise<number> {
    const value = protobuf.create(inner.PutConfigSchema, { version: configVersion.encode(req.version), ...documentEncoding.encodeDocument(req.document), source: req.source })
    const ownLeadership = this.replica.leadership
    return await this.refusals.run('write', async () => ownLeadership === undefined
      ? await this.forwardPut(value)
      : await this.putAsLeader(ownLeadership, value))
  }

  /** Replaces the document on the leader. */
  async putAsLeader (ownLeadership: leadership.Leadership, put: inner.PutConfig): Promise<number> {
    const ownVersion = this.replica.state.config.version
    // Checked before the log has it, since applying it must not fail.
    if (configVersion.decode(put.version) <= ownVersion) return ownVersion
    this.requireDiskLossTolerance()
    const check = configDocument.checkDocument(documentEncoding.decodeDocument(put))
    if (!check.ok) throw new errors.RackError({ kind: 'invalid-config', message: check.problems.join('; ') })
    const result = await ownLeadership.propose({ case: 'put', value: put })
    if (result.kind === 'put') return result.heldVersion
    throw new errors.RackError({ kind: 'internal', message: `applying a put returned a result of kind ${result.kind}` })
  }

  /** Commits departures of endpoints and evacuations to the log, so that every instance is informed even if a replica fails. */
  async depart (departures: inner.Departures, timeoutMs = forwardTimeoutMs): Promise<void> {
    const ownLeadership = this.replica.leadership
    if (ownLeadership === undefined) {
      await this.callLeader(async (client, options) => await client.depart(departures, options), timeoutMs)
      return
    }
    await this.departAsLeader(ownLeadership, departures)
  }

  /** Commits departures on the leader. */
  async departAsLeader (ownLeadership: leadership.Leadership, departures: inner.Departures): Promise<void> {
    this.requireDiskLossTolerance()
    await ownLeadership.propose({ case: 'departures', value: departures })
  }

  /** Throws when a majority is too small to survive the configured number of lost disks, which is the case while the group is being founded or repaired. */
  private requireDiskLossTolerance (): void {
    const tolerated = quorum.toleratedDiskLosses(this.replica.log.membership)
    if (tolerated >= this.options.tolerateLostDisks) return
    this.refusals.countIntolerant()
    throw new errors.RackError({ kind: 'no-quorum', message: `a write would survive the loss of ${tolerated} disks, but ${this.options.tolerateLostDisks} are required; nothing was written` })
  }

  private async forwardPut (put: inner.PutConfig): Promise<number> {
    const res = await this.sendPutToLeader(put)
    // A leader of a build with 32-bit versions stores only the lower bits of a higher one.
    if (res.heldVersion < put.version) {
      throw new errors.RackError({ kind: 'unknown', timedOut: false, message: `the leader stored version ${put.version} as ${res.heldVersion}: it does not know versions beyond 32 bits` })
    }
    return configVersion.decode(res.heldVersion)
  }

  private async sendPutToLeader (put: inner.PutConfig): Promise<inner.PutRes> {
    try {
      return await this.callLeader(async (client, options) => await client.put(put, options))
    } catch (err) {
      const { kind } = errors.faultOf(err)
      if (kind !== 'too-large') throw err
      // The leader accepts it from the operator itself, so the operator has to go on.
      throw new errors.RackError({ kind: 'not-leader', message: `the configuration is too large to be forwarded to the leader at ${this.replica.leaderReplica?.address ?? 'an unknown address'}; nothing was written` })
    }
  }

  private async forwardPatch (req: PatchReq): Promise<replicatedState.PatchOutcome> {
    const res = await this.callLeader(async (client, options) =>
      await client.patch(encodePatch(req), options))
    switch (res.outcome.case) {
      case 'acceptedVersion': return { kind: 'accepted', version: configVersion.decode(res.outcome.value) }
      case 'conflictCurrentVersion': return { kind: 'conflict', currentVersion: configVersion.decode(res.outcome.value) }
      default: throw new errors.RackError({ kind: 'invalid-config', message: res.outcome.value ?? 'no reason given' })
    }
  }

  /** Returns the index that must be applied before a linearizable read. */
  async confirmReadIndex (): Promise<number> {
    return await this.refusals.run('confirmation', async () => await this.requestReadIndex())
  }

  private async requestReadIndex (): Promise<number> {
    const ownLeadership = this.replica.leadership
    if (ownLeadership !== undefined) return await ownLeadership.readIndex()
    try {
      const res = await this.callLeader(async (client, options) => await client.readIndex({}, options), this.replica.electionTimeoutMs * confirmTimeoutFactor)
      return Number(res.index)
    } catch (err) {
      // A failed read changes nothing, so `no-quorum` is reported instead of `unknown`.
      throw new errors.RackError({ kind: 'no-quorum', message: errors.messageOf(err) })
    }
  }

  /** Returns the configuration, confirmed by a quorum: that of this replica, or that of the leader while this one lags. */
  async readConfig (): Promise<ReadRes> {
    return await this.refusals.run('read', async () => {
      const { replica } = this
      if (replica.leadership === undefined && replica.leaderReplica === undefined) return await this.readAtLeader(this.otherAddresses)
      const index = await this.confirmReadIndex()
      if (!await replica.isAppliedWithin(index, ownReadTimeoutMs)) {
        const leaderAddress = replica.leaderReplica?.address
        try {
          return await this.readAtLeader(leaderAddress === undefined ? this.otherAddresses : [leaderAddress])
        } catch {
          // Logged by `readAtLeader`; earlier builds don't serve such reads.
          await replica.waitUntilApplied(index)
        }
      }
      return { ...replica.state.config, source: replica.state.configSource }
    })
  }

  /** Returns the configuration to a replica that lags. */
  async readConfigAsLeader (ownLeadership: leadership.Leadership): Promise<inner.ReadConfigRes> {
    await this.replica.waitUntilApplied(await ownLeadership.readIndex())
    const { config, encodedConfig, configSource } = this.replica.state
    return protobuf.create(inner.ReadConfigResSchema, { version: configVersion.encode(config.version), ...encodedConfig, source: configSource })
  }

  /** Asks all given replicas, of which only the leader answers; throws `no-quorum` if none does. */
  private async readAtLeader (addresses: readonly string[]): Promise<ReadRes> {
    const subject = 'leader'
    try {
      const { res, address } = await Promise.any(addresses.map(async (address) => {
        const res = await this.replica.links.linkTo(address).call(async (client, options) => await client.readConfig({}, options), leaderReadTimeoutMs, 'verify')
        return { res, address }
      }))
      this.answeringLeaderAddress = address
      this.forwardedReads.noteSuccess(subject)
      // The group has accepted the document, so it isn't checked again.
      return { version: configVersion.decode(res.version), document: documentEncoding.decodeDocument(res) as configDocument.ConfigDocument, source: res.source }
    } catch (err) {
      const message = `no leader answered the read: ${describeFailures(err)}`
      this.forwardedReads.noteFailure(subject, message)
      throw new errors.RackError({ kind: 'no-quorum', message })
    }
  }

  /** Inner addresses of the other replicas, as far as they are known. */
  private get otherAddresses (): readonly string[] {
    const addresses = new Set([...this.replica.log.membership.replicas.map(({ address }) => address), ...this.options.seedAddresses])
    addresses.delete(this.replica.self.address)
    return [...addresses]
  }

  /** Returns the accepted patches, confirmed by a quorum. */
  async readHistory (): Promise<readonly replicatedState.PatchHistoryItem[]> {
    await this.waitForRead()
    return this.replica.state.history()
  }

  /** Waits until this replica has applied what a quorum confirms. */
  async waitForRead (): Promise<void> {
    await this.refusals.run('read', async () => await this.replica.waitUntilApplied(await this.confirmReadIndex()))
  }

  /** Claims an idempotency key; resolves with true for its first owner, also when that owner claims it again. */
  async claim (key: string, owner: string): Promise<boolean> {
    const ownLeadership = this.replica.leadership
    if (ownLeadership === undefined) {
      const res = await this.callLeader(async (client, options) => await client.claim({ key, owner }, options))
      return res.granted
    }
    const value = protobuf.create(inner.ClaimKeysSchema, { keys: [key], owners: [owner] })
    const result = await ownLeadership.propose({ case: 'claims', value })
    return result.kind === 'claims' && result.granted[0] === true
  }

  /** Releases a claim whose request was definitely not executed. */
  async release (key: string, owner: string): Promise<void> {
    const ownLeadership = this.replica.leadership
    if (ownLeadership === undefined) {
      await this.callLeader(async (client, options) => await client.release({ key, owner }, options))
      return
    }
    await ownLeadership.propose({ case: 'releases', value: protobuf.create(inner.ReleaseKeysSchema, { keys: [key], owners: [owner] }) })
  }

  /** Removes a replica from the membership. */
  async removeReplica (replicaId: string): Promise<void> {
    const ownLeadership = this.replica.leadership
    if (ownLeadership !== undefined) return await ownLeadership.remove(replicaId)
    await this.callLeader(async (client, options) => await client.removeReplica({ replicaId }, options))
  }

  /**
   * Removes an unreachable voter once a new voter replaces it: a voter that can't vote still counts in every majority, so that
   * further losses would leave no majority. Never leaves fewer voters than the configured number of lost disks requires.
   */
  async removeUnreachableVoter (): Promise<void> {
    const ownLeadership = this.replica.leadership
    const neededVoters = quorum.requiredVoterCount(this.options.tolerateLostDisks)
    if (ownLeadership === undefined || this.isRemoving || this.options.tolerateLostDisks === 0) return
    if (quorum.votersOf(this.replica.log.membership).length <= neededVoters) return
    const [unreachable] = ownLeadership.findUnresponsiveVoters(unreachableAfterMs)
    if (unreachable === undefined) return
    this.isRemoving = true
    try {
      await ownLeadership.remove(unreachable, 'unreachable, and a new voter replaces it')
      this.removals.noteSuccess(unreachable)
    } catch (err) {
      this.removals.noteFailure(unreachable, err)
    } finally {
      this.isRemoving = false
    }
  }

  /** Starts the admission of a replica to the group if this one is the leader, else returns the leader's address. */
  join (joining: inner.Replica): inner.JoinRes {
    const ownLeadership = this.replica.leadership
    if (ownLeadership === undefined) {
      return protobuf.create(inner.JoinResSchema, { accepted: false, leaderAddress: this.replica.leaderReplica?.address ?? '' })
    }
    ownLeadership.admit(joining, this.options.maxReplicas).then(() => {
      // A call for a replica that is being admitted already has no effect.
      if (quorum.isVoter(this.replica.log.membership, joining.id)) this.admissions.noteSuccess(joining.id)
    }, (err: unknown) => this.admissions.noteFailure(joining.id, err))
    return protobuf.create(inner.JoinResSchema, { accepted: true, leaderAddress: joining.address })
  }

  /** Founds the cluster; throws unless every other replica of the group reports that it belongs to no cluster. */
  async foundCluster (): Promise<void> {
    const others = this.options.groupAddresses.filter((address) => address !== this.replica.self.address)
    await Promise.all(others.map(async (address) => await this.requireNotFounded(address)))
    await this.replica.foundCluster()
  }

  private async requireNotFounded (address: string): Promise<void> {
    const link = this.replica.links.linkTo(address)
    const res = await link.call(async (client, options) => await client.describe({}, options), describeTimeoutMs)
    if (!res.founded) return
    throw new errors.RackError({ kind: 'already-founded', message: `the replica at ${address} already belongs to a cluster` })
  }

  /** Calls the leader; throws `no-quorum` if none is known. A timeout doesn't end the other calls to a leader that still responds. */
  async callLeader<T> (run: (client: replicaLinks.ReplicaClient, options: connect.CallOptions) => Promise<T>, timeoutMs = forwardTimeoutMs): Promise<T> {
    const address = this.replica.leaderReplica?.address ?? this.answeringLeaderAddress
    if (address === undefined || address === this.replica.self.address) {
      throw new errors.RackError({ kind: 'no-quorum', message: 'no leader is known; nothing was written' })
    }
    try {
      return await this.replica.links.linkTo(address).call(run, timeoutMs, 'verify')
    } catch (err) {
      this.answeringLeaderAddress = undefined
      throw forwardingError(err)
    }
  }
}

/** Returns the error of a forwarded call; the outcome is unknown when the leader did not respond, since it may have run the call. */
function forwardingError (err: unknown): errors.RackError {
  const fault = errors.faultOf(err)
  if (fault.kind !== 'unreachable' && !(err instanceof peerLink.NoResponseError)) return new errors.RackError(fault)
  return new errors.RackError({ kind: 'unknown', timedOut: true, message: `the leader did not respond (${fault.message}); resend with the same id` })
}

/** Returns the messages of calls that all failed. */
function describeFailures (err: unknown): string {
  if (!(err instanceof AggregateError)) return errors.messageOf(err)
  return err.errors.length === 0 ? 'no replica is known' : err.errors.map(errors.messageOf).join('; ')
}

function encodePatch ({ patchId, amends, mergePatchJson, operator }: PatchReq): inner.PatchConfig {
  return protobuf.create(inner.PatchConfigSchema, { patchId, amends: configVersion.encode(amends), mergePatchJson, operator })
}

function describeOutcome (outcome: replicatedState.PatchOutcome): string {
  return outcome.kind === 'accepted' ? `version ${outcome.version}` : `current version is ${outcome.currentVersion}`
}
