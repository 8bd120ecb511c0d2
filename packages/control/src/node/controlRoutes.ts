/** Operator routes of a control replica. */
import * as crypto from 'node:crypto'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import type * as controlService from './controlService.js'
import type * as diskTiming from './diskTiming.js'
import type * as replica from './replica.js'

const versionPattern = /^"?(\d{1,16})"?$/
const patchIdPattern = /^[A-Za-z0-9._:-]{1,128}$/

/** Adds the routes under /control and /config. */
export function addControlRoutes (routes: httpListener.IRoutes, service: controlService.ControlService, disk: diskTiming.DiskTiming): void {
  routes.route('GET', '/control', async () => ({ body: describeReplica(service, disk) }))
  routes.route('POST', '/control/found', async () => {
    await service.foundCluster()
    return { status: 201, body: describeReplica(service, disk) }
  })
  routes.route('DELETE', '/control/replicas/:id', async (req) => {
    await service.removeReplica(req.params['id'] ?? '')
    return { body: { removed: req.params['id'] ?? '' } }
  })
  routes.route('GET', '/config', async () => {
    const { version, document } = await service.readConfig()
    return { headers: { etag: `"${version}"` }, body: { version, document } }
  })
  routes.route('GET', '/config/history', async () => ({ body: { patches: await service.readHistory() } }))
  routes.route('PATCH', '/config', async (req) => await patchConfig(service, req))
}

async function patchConfig (service: controlService.ControlService, req: httpListener.RouteReq): Promise<httpListener.RouteRes> {
  const amends = versionPattern.exec(req.headers.get('if-match') ?? '')?.[1]
  if (amends === undefined || !Number.isSafeInteger(Number(amends))) throw badRequest('If-Match must contain the version that the patch amends')
  const patchId = req.headers.get('idempotency-key') ?? crypto.randomUUID()
  if (!patchIdPattern.test(patchId)) throw badRequest('Idempotency-Key must be 1 to 128 letters, digits or . _ : -')
  const operator = (req.headers.get('rack-operator') ?? 'unnamed').slice(0, 64)
  const version = await service.patch({ patchId, amends: Number(amends), mergePatchJson: await req.text(), operator })
  return { headers: { etag: `"${version}"` }, body: { version, patchId } }
}

function badRequest (message: string): errors.RackError {
  return new errors.RackError({ kind: 'bad-request', message })
}

function describeReplica (service: controlService.ControlService, disk: diskTiming.DiskTiming): object {
  const { replica } = service
  const { monitor } = replica
  return {
    replica: replica.replicaId,
    role: replica.role,
    term: replica.term,
    leader: replica.leaderId,
    knowsLeader: monitor.knowsLeader,
    withoutLeaderMs: Math.round(monitor.withoutLeaderMs),
    disk: { longestMs: Math.round(disk.longestMs()), inProgressMs: Math.round(disk.inProgressMs()) },
    founded: replica.founded,
    voter: replica.isVoter,
    commitIndex: replica.commitIndex,
    lastIndex: replica.log.last.index,
    snapshotIndex: replica.log.snapshotIndex,
    version: replica.state.config.version,
    claims: replica.state.claimCount,
    members: replica.log.membership.replicas.map(({ id, address, operatorAddress, failureDomain, voter }) =>
      ({ id, address, operatorAddress, failureDomain, voter, ...describeProgress(replica, id) }))
  }
}

/** Describes how far a member has come, if this replica leads, and the last message to it that failed. */
function describeProgress ({ monitor }: replica.Replica, id: string): object {
  const progress = monitor.replication.progressOf(id)
  const pending = monitor.replication.pendingOf(id)
  const failure = monitor.replication.lastFailureOf(id)
  return {
    ...progress && {
      lag: { entries: progress.lagEntries, bytes: progress.lagBytes, ms: Math.round(progress.lagMs) },
      behind: progress.isBehind,
      sinceResponseMs: Math.round(progress.sinceResponseMs)
    },
    ...pending && { pending: { ...pending, ageMs: Math.round(pending.ageMs) } },
    ...failure && { lastFailure: { ...failure, ageMs: Math.round(failure.ageMs) } }
  }
}
