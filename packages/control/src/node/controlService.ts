/** What a control replica does for operators and entry instances, by itself or through the leader. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as configPatch from '@rosemaryrack/config/common/configPatch.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as leadership from './leadership.js'
import type * as replica from './replica.js'
import type * as replicaLinks from './replicaLinks.js'
import type * as replicatedState from '../common/replicatedState.js'

const forwardTimeoutMs = 6000
const describeTimeoutMs = 1500

/** A patch as an operator sent it. */
export interface PatchReq {
  readonly patchId: string
  readonly amends: number
  readonly mergePatchJson: string
  readonly operator: string
}

/** Answers patches, reads and claims; a replica that doesn't lead passes them to the leader. */
export class ControlService {
  private readonly patchOrder = new async.Sequencer()

  constructor (
    readonly replica: replica.Replica,
    private readonly group: readonly string[],
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
      const result = await leading.propose({ case: 'patch', value: protobuf.create(inner.PatchConfigSchema, req) })
      if (result.kind === 'patch') return result.outcome
      throw new errors.RackError({ kind: 'internal', message: `a patch applied as ${result.kind}` })
    })
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
    const res = await this.throughLeader(async (client, options) => await client.readIndex({}, options))
    return Number(res.index)
  }

  /** The configuration, confirmed by a quorum. */
  async readConfig (): Promise<configDocument.VersionedConfig> {
    await this.replica.waitApplied(await this.confirmRead())
    return this.replica.state.config
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

  /** Takes a replica into the group, when this one leads. */
  join (joining: inner.Replica): inner.JoinRes {
    const leading = this.replica.leadership
    if (leading === undefined) {
      return protobuf.create(inner.JoinResSchema, { accepted: false, leaderAddress: this.replica.leaderReplica?.address ?? '' })
    }
    leading.admit(joining, this.group.length).catch((err: unknown) => {
      this.decisions.record({ event: 'control-join', choice: 'refused', replica: joining.id, why: errors.messageOf(err) })
    })
    return protobuf.create(inner.JoinResSchema, { accepted: true, leaderAddress: joining.address })
  }

  /** Founds the cluster; refused unless every other replica of the group answers that it is empty. */
  async found (): Promise<void> {
    const others = this.group.filter((address) => address !== this.replica.self.address)
    await Promise.all(others.map(async (address) => await this.requireEmpty(address)))
    await this.replica.found()
  }

  private async requireEmpty (address: string): Promise<void> {
    const link = this.replica.links.to(address)
    const res = await link.call(async (client, options) => await client.describe({}, options), describeTimeoutMs)
    if (!res.founded) return
    throw new errors.RackError({ kind: 'already-founded', message: `the replica at ${address} belongs to a cluster already` })
  }

  private async throughLeader<T> (run: (client: replicaLinks.ReplicaClient, options: connect.CallOptions) => Promise<T>): Promise<T> {
    const leader = this.replica.leaderReplica
    if (leader === undefined || leader.id === this.replica.replicaId) {
      throw new errors.RackError({ kind: 'no-quorum', message: 'no leader is known; nothing was written' })
    }
    try {
      return await this.replica.links.to(leader.address).call(run, forwardTimeoutMs)
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
