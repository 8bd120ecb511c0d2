/** What a control replica does for operators and entry instances, by itself or through the leader. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as configPatch from '@rosemaryrack/config/common/configPatch.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as leadership from './leadership.js'
import type * as replica from './replica.js'
import type * as replicaLinks from './replicaLinks.js'
import * as quorum from '../common/quorum.js'
import type * as replicatedState from '../common/replicatedState.js'

const forwardTimeoutMs = 6000
const describeTimeoutMs = 1500
/** Silence after which a voter is taken for gone, where another votes in its place: a process restarts sooner. */
const unreachableAfterMs = 2000
/** Time for a read's confirmation by the leader, in election timeouts: the leader itself waits for one. */
const confirmTimeouts = 2

/** A patch as an operator sent it. */
export interface PatchReq {
  readonly patchId: string
  readonly amends: number
  readonly mergePatchJson: string
  readonly operator: string
}

/** A whole document as an operator sent it. */
export interface PutReq {
  readonly version: number
  readonly document: configDocument.ConfigDocument
  /** The operator's own text, returned by reads. */
  readonly source: string
}

/** The configuration as it is read back. */
export interface ReadRes extends configDocument.VersionedConfig {
  /** Empty where a patch made the version. */
  readonly source: string
}

/** What the service depends on besides its replica. */
export interface ServiceOptions {
  /** Inner addresses of the replicas to ask; all of the group where it is of fixed size. */
  readonly group: readonly string[]
  readonly maxReplicas: number
  /** Lost disks that an accepted write survives. */
  readonly tolerateLostDisks: number
}

/** Answers patches, reads and claims; a replica that doesn't lead passes them to the leader. */
export class ControlService {
  private readonly patchOrder = new async.Sequencer()
  private removing = false

  constructor (
    readonly replica: replica.Replica,
    private readonly options: ServiceOptions,
    private readonly decisions: decisionLog.IDecisionLog
  ) {}

  /** Applies a patch; throws `version-conflict`, `invalid-config`, `no-quorum` or `unknown`. */
  async patch (req: PatchReq): Promise<number> {
    const leading = this.replica.leadership
    const outcome = leading === undefined ? await this.forwardPatch(req) : await this.patchAsLeader(leading, req)
    this.decisions.record({ event: 'config-patch', choice: outcome.kind, patchId: req.patchId, amends: req.amends, why: describeOutcome(outcome) })
    if (outcome.kind === 'accepted') return outcome.version
    throw new errors.RackError({
      kind: 'version-conflict',
      message: `the patch amends version ${req.amends}; the current version is ${outcome.currentVersion}`,
      currentVersion: outcome.currentVersion
    })
  }

  /** Runs on the leader, one patch after the other, so that each is checked against the version it amends. */
  async patchAsLeader (leading: leadership.Leadership, req: PatchReq): Promise<replicatedState.PatchOutcome> {
    return await this.patchOrder.run(async () => {
      await leading.readIndex()
      const first = this.replica.state.answered(req.patchId)
      if (first !== undefined) return first
      const { version, document } = this.replica.state.config
      if (version !== req.amends) return { kind: 'conflict', currentVersion: version }
      configPatch.applyPatch(document, req.mergePatchJson)
      this.requireCopies()
      const result = await leading.propose({ case: 'patch', value: protobuf.create(inner.PatchConfigSchema, req) })
      if (result.kind === 'patch') return result.outcome
      throw new errors.RackError({ kind: 'internal', message: `a patch applied as ${result.kind}` })
    })
  }

  /** Puts a whole document in force unless a version as high is held; resolves with the version held. */
  async put (req: PutReq): Promise<number> {
    const value = protobuf.create(inner.PutConfigSchema, { version: req.version, documentJson: JSON.stringify(req.document), source: req.source })
    const leading = this.replica.leadership
    const heldVersion = leading === undefined
      ? (await this.throughLeader(async (client, options) => await client.put(value, options))).heldVersion
      : await this.putAsLeader(leading, value)
    this.decisions.record({ event: 'config-put', choice: String(heldVersion), version: req.version, why: heldVersion === req.version ? 'in force' : 'a higher version is held' })
    return heldVersion
  }

  /** Runs on the leader. */
  async putAsLeader (leading: leadership.Leadership, put: inner.PutConfig): Promise<number> {
    this.requireCopies()
    const check = configDocument.checkDocument(JSON.parse(put.documentJson))
    if (!check.ok) throw new errors.RackError({ kind: 'invalid-config', message: check.problems.join('; ') })
    const result = await leading.propose({ case: 'put', value: put })
    if (result.kind === 'put') return result.heldVersion
    throw new errors.RackError({ kind: 'internal', message: `a put applied as ${result.kind}` })
  }

  /** Commits that endpoints drain or left; from then on every instance learns it, whichever replica dies. */
  async depart (departures: inner.Departures): Promise<void> {
    const leading = this.replica.leadership
    if (leading === undefined) {
      await this.throughLeader(async (client, options) => await client.depart(departures, options))
      return
    }
    await this.departAsLeader(leading, departures)
  }

  /** Runs on the leader. */
  async departAsLeader (leading: leadership.Leadership, departures: inner.Departures): Promise<void> {
    this.requireCopies()
    await leading.propose({ case: 'departures', value: departures })
  }

  /** While the group is founded or repaired, a majority may be too small to survive the losses that are to be borne. */
  private requireCopies (): void {
    const tolerated = quorum.toleratedLosses(this.replica.log.membership)
    if (tolerated >= this.options.tolerateLostDisks) return
    throw new errors.RackError({ kind: 'no-quorum', message: `the voters survive ${tolerated} lost disks, ${this.options.tolerateLostDisks} are asked for; nothing was written` })
  }

  private async forwardPatch (req: PatchReq): Promise<replicatedState.PatchOutcome> {
    const res = await this.throughLeader(async (client, options) =>
      await client.patch(protobuf.create(inner.PatchConfigSchema, req), options))
    switch (res.outcome.case) {
      case 'acceptedVersion': return { kind: 'accepted', version: res.outcome.value }
      case 'conflictCurrentVersion': return { kind: 'conflict', currentVersion: res.outcome.value }
      default: throw new errors.RackError({ kind: 'invalid-config', message: res.outcome.value ?? 'no reason given' })
    }
  }

  /** Index up to which a read must have applied to be linearizable. */
  async confirmRead (): Promise<number> {
    const leading = this.replica.leadership
    if (leading !== undefined) return await leading.readIndex()
    try {
      const res = await this.throughLeader(async (client, options) => await client.readIndex({}, options), this.replica.electionTimeoutMs * confirmTimeouts)
      return Number(res.index)
    } catch (err) {
      // A read changes nothing, so its outcome is never unknown.
      throw new errors.RackError({ kind: 'no-quorum', message: errors.messageOf(err) })
    }
  }

  /** The configuration, confirmed by a quorum. */
  async readConfig (): Promise<ReadRes> {
    await this.replica.waitApplied(await this.confirmRead())
    return { ...this.replica.state.config, source: this.replica.state.configSource }
  }

  /** Accepted patches, confirmed by a quorum. */
  async readHistory (): Promise<readonly replicatedState.PatchHistoryItem[]> {
    await this.replica.waitApplied(await this.confirmRead())
    return this.replica.state.history()
  }

  /** Claims an idempotency key; true for its first owner and for that owner's resends. */
  async claim (key: string, owner: string): Promise<boolean> {
    const leading = this.replica.leadership
    if (leading === undefined) {
      const res = await this.throughLeader(async (client, options) => await client.claim({ key, owner }, options))
      return res.granted
    }
    const value = protobuf.create(inner.ClaimKeysSchema, { keys: [key], owners: [owner] })
    const result = await leading.propose({ case: 'claims', value })
    return result.kind === 'claims' && result.granted[0] === true
  }

  /** Gives a claim back after its request was certainly not run. */
  async release (key: string, owner: string): Promise<void> {
    const leading = this.replica.leadership
    if (leading === undefined) {
      await this.throughLeader(async (client, options) => await client.release({ key, owner }, options))
      return
    }
    await leading.propose({ case: 'releases', value: protobuf.create(inner.ReleaseKeysSchema, { keys: [key], owners: [owner] }) })
  }

  async removeReplica (replicaId: string): Promise<void> {
    const leading = this.replica.leadership
    if (leading !== undefined) return await leading.remove(replicaId)
    await this.throughLeader(async (client, options) => await client.removeReplica({ replicaId }, options))
  }

  /**
   * Removes a voter that is gone, once a newcomer has taken its part: a voter that can't vote counts in every majority, so
   * the next losses would leave none. Never leaves fewer voters than the losses to be borne need.
   */
  async removeUnreachableVoter (): Promise<void> {
    const leading = this.replica.leadership
    const needed = quorum.votersFor(this.options.tolerateLostDisks)
    if (leading === undefined || this.removing || this.options.tolerateLostDisks === 0) return
    if (quorum.votersOf(this.replica.log.membership).length <= needed) return
    const [gone] = leading.silentVoters(unreachableAfterMs)
    if (gone === undefined) return
    this.removing = true
    try {
      await leading.remove(gone, 'silent, and a newcomer votes in its place')
    } catch (err) {
      this.decisions.record({ event: 'control-membership', choice: 'not changed', replica: gone, why: errors.messageOf(err) })
    }
    this.removing = false
  }

  /** Takes a replica into the group, when this one leads. */
  join (joining: inner.Replica): inner.JoinRes {
    const leading = this.replica.leadership
    if (leading === undefined) {
      return protobuf.create(inner.JoinResSchema, { accepted: false, leaderAddress: this.replica.leaderReplica?.address ?? '' })
    }
    leading.admit(joining, this.options.maxReplicas).catch((err: unknown) => {
      this.decisions.record({ event: 'control-join', choice: 'refused', replica: joining.id, why: errors.messageOf(err) })
    })
    return protobuf.create(inner.JoinResSchema, { accepted: true, leaderAddress: joining.address })
  }

  /** Founds the cluster; refused unless every other replica of the group answers that it is empty. */
  async found (): Promise<void> {
    const others = this.options.group.filter((address) => address !== this.replica.self.address)
    await Promise.all(others.map(async (address) => await this.requireEmpty(address)))
    await this.replica.found()
  }

  private async requireEmpty (address: string): Promise<void> {
    const link = this.replica.links.to(address)
    const res = await link.call(async (client, options) => await client.describe({}, options), describeTimeoutMs)
    if (!res.founded) return
    throw new errors.RackError({ kind: 'already-founded', message: `the replica at ${address} belongs to a cluster already` })
  }

  private async throughLeader<T> (run: (client: replicaLinks.ReplicaClient, options: connect.CallOptions) => Promise<T>, timeoutMs = forwardTimeoutMs): Promise<T> {
    const leader = this.replica.leaderReplica
    if (leader === undefined || leader.id === this.replica.replicaId) {
      throw new errors.RackError({ kind: 'no-quorum', message: 'no leader is known; nothing was written' })
    }
    try {
      return await this.replica.links.to(leader.address).call(run, timeoutMs)
    } catch (err) {
      throw afterForwarding(errors.faultOf(err))
    }
  }
}

/** A forwarded call that got no answer may have been carried out. */
function afterForwarding (fault: errors.Fault): errors.RackError {
  if (fault.kind !== 'unreachable') return new errors.RackError(fault)
  return new errors.RackError({ kind: 'unknown', timedOut: true, message: `the leader did not answer (${fault.message}); resend with the same id` })
}

function describeOutcome (outcome: replicatedState.PatchOutcome): string {
  return outcome.kind === 'accepted' ? `version ${outcome.version}` : `current version is ${outcome.currentVersion}`
}
