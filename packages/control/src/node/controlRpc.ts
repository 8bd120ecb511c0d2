/** Handlers of the inner protocol's control service. */
import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configFeed from './configFeed.js'
import type * as controlService from './controlService.js'
import type * as leadership from './leadership.js'

/** Registers the handlers; `ready` resolves once the replica has loaded its data folder. */
export function registerControlRpc (
  router: connect.ConnectRouter,
  service: controlService.ControlService,
  feed: configFeed.ConfigFeed,
  ready: Promise<void>
): void {
  const { replica } = service
  router.service(inner.ControlReplica, {
    async vote (req) {
      await ready
      return await replica.handleVote(req)
    },
    async * append (reqs) {
      await ready
      for await (const req of reqs) yield await replica.handleAppend(req)
    },
    async installSnapshot (req) {
      await ready
      return await replica.handleInstallSnapshot(req)
    },
    async join (req) {
      await ready
      if (req.replica === undefined) throw new errors.RackError({ kind: 'bad-request', message: 'the join names no replica' })
      return service.join(req.replica)
    },
    async patch (req) {
      await ready
      const outcome = await service.patchAsLeader(requireLeading(service), req)
      return protobuf.create(inner.PatchResSchema, {
        outcome: outcome.kind === 'accepted'
          ? { case: 'acceptedVersion', value: outcome.version }
          : { case: 'conflictCurrentVersion', value: outcome.currentVersion }
      })
    },
    async put (req) {
      await ready
      return { heldVersion: await service.putAsLeader(requireLeading(service), req) }
    },
    async depart (req) {
      await ready
      await service.departAsLeader(requireLeading(service), req)
      return {}
    },
    async readIndex () {
      await ready
      return { index: BigInt(await requireLeading(service).readIndex()) }
    },
    async claim (req) {
      await ready
      return { granted: await service.claim(req.key, req.owner) }
    },
    async release (req) {
      await ready
      await service.release(req.key, req.owner)
      return {}
    },
    async describe () {
      await ready
      return { replicaId: replica.replicaId, founded: replica.founded, term: replica.term, leaderId: replica.leaderId }
    },
    async removeReplica (req) {
      await ready
      await requireLeading(service).remove(req.replicaId)
      return {}
    },
    async * follow (req, context) {
      await ready
      yield * feed.follow(req, context.signal)
    }
  })
}

function requireLeading (service: controlService.ControlService): leadership.Leadership {
  const leading = service.replica.leadership
  if (leading !== undefined) return leading
  throw new errors.RackError({ kind: 'not-leader', message: 'this replica does not lead; nothing was written' })
}
