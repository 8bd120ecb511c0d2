/** RPC handlers of the control replica service of the inner protocol. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configFeed from './configFeed.js'
import type * as controlService from './controlService.js'
import type * as leadership from './leadership.js'
import type * as permitService from './permitService.js'
import type * as quotaService from './quotaService.js'

/** Services with ledgers. A replica has one of each, whatever listener a request arrives at. */
export interface LedgerServices {
  readonly permits: permitService.PermitService
  readonly quotas: quotaService.QuotaService
}

/** Registers the handlers; `loaded` resolves once the replica has loaded its data folder. */
export function registerControlRpc (
  router: connect.ConnectRouter,
  service: controlService.ControlService,
  feed: configFeed.ConfigFeed,
  { permits, quotas }: LedgerServices,
  loaded: Promise<void>
): void {
  const { replica } = service
  router.service(inner.ControlReplica, {
    async vote (req) {
      await loaded
      return await replica.handleVote(req)
    },
    async * append (reqs) {
      await loaded
      for await (const req of reqs) yield await replica.handleAppend(req)
    },
    async installSnapshot (req) {
      await loaded
      return await replica.handleInstallSnapshot(req)
    },
    async replicatePart (req) {
      await loaded
      return await replica.handlePart(req)
    },
    async join (req) {
      await loaded
      if (req.replica === undefined) throw new errors.RackError({ kind: 'bad-request', message: 'the join request has no replica' })
      return service.join(req.replica)
    },
    async patch (req) {
      await loaded
      const outcome = await service.patchAsLeader(requireLeadership(service), { ...req, amends: configVersion.decode(req.amends) })
      return protobuf.create(inner.PatchResSchema, {
        outcome: outcome.kind === 'accepted'
          ? { case: 'acceptedVersion', value: configVersion.encode(outcome.version) }
          : { case: 'conflictCurrentVersion', value: configVersion.encode(outcome.currentVersion) }
      })
    },
    async put (req) {
      await loaded
      return { heldVersion: configVersion.encode(await service.putAsLeader(requireLeadership(service), req)) }
    },
    async depart (req) {
      await loaded
      await service.departAsLeader(requireLeadership(service), req)
      return {}
    },
    async readIndex () {
      await loaded
      return { index: BigInt(await requireLeadership(service).readIndex()) }
    },
    async readConfig () {
      await loaded
      return await service.readConfigAsLeader(requireLeadership(service))
    },
    async claim (req) {
      await loaded
      return { granted: await service.claim(req.key, req.owner) }
    },
    async release (req) {
      await loaded
      await service.release(req.key, req.owner)
      return {}
    },
    async permit (req) {
      await loaded
      return await permits.permit(req)
    },
    async confirm () {
      await loaded
      const { version, ageMs } = feed.reportConfirmation()
      return { version: configVersion.encode(version), ageMs }
    },
    async quota (req) {
      await loaded
      return await quotas.grant(req)
    },
    async describe () {
      await loaded
      return { replicaId: replica.replicaId, founded: replica.founded, term: replica.term, leaderId: replica.leaderId }
    },
    async removeReplica (req) {
      await loaded
      await requireLeadership(service).remove(req.replicaId)
      return {}
    },
    async * follow (req, context) {
      await loaded
      yield * feed.follow(req, context.signal)
    }
  })
}

function requireLeadership (service: controlService.ControlService): leadership.Leadership {
  const ownLeadership = service.replica.leadership
  if (ownLeadership !== undefined) return ownLeadership
  throw new errors.RackError({ kind: 'not-leader', message: 'this replica is not the leader; nothing was written' })
}
