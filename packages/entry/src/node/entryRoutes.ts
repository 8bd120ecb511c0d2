/** Operator routes of an entry instance. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as memberTable from '@rosemaryrack/fleet/common/memberTable.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as laneRegistry from './laneRegistry.js'

/** Sources of the data that the routes return. */
export interface EntryRouteDeps {
  readonly endpoints: endpointTable.EndpointTable
  readonly members: memberTable.MemberTable
  readonly configs: configFollower.ConfigFollower
  readonly lanes: laneRegistry.LaneRegistry
  readonly decisions: decisionLog.IDecisionLog
}

/** Adds the routes under `/entry`. */
export function addEntryRoutes (routes: httpListener.IRoutes, deps: EntryRouteDeps): void {
  routes.route('GET', '/entry/targets', async () => ({ body: { targets: deps.endpoints.all().map(describeEndpoint) } }))
  routes.route('GET', '/entry/members', async () => ({ body: { members: deps.members.all().map(describeMember) } }))
  routes.route('GET', '/entry/lanes', async () => ({ body: describeLanes(deps) }))
  routes.route('GET', '/entry/decisions/:id', async (req) => {
    const requestId = req.params['id'] ?? ''
    const decisions = deps.decisions.explain(requestId)
    if (decisions.length > 0) return { body: { requestId, decisions } }
    throw new errors.RackError({ kind: 'not-found', message: `this instance has no decisions recorded for request ${requestId}` })
  })
}

function describeEndpoint (endpoint: endpointTable.Endpoint): object {
  const { announcedAt, ...announced } = endpoint
  const now = performance.now()
  return { ...announced, ageMs: Math.round(now - announcedAt), lapsed: endpointTable.hasExpired(endpoint, now) }
}

function describeMember (member: memberTable.Member): object {
  const { lastSeenAt, ...known } = member
  return { ...known, silentMs: Math.round(performance.now() - lastSeenAt) }
}

function describeLanes ({ lanes, configs }: EntryRouteDeps): object {
  return {
    version: configs.current.version,
    confirmedAgeMs: Number.isFinite(configs.confirmedAgeMs) ? Math.round(configs.confirmedAgeMs) : null,
    lanes: Object.fromEntries(lanes.names.map((name) => [name, describeLane(lanes, name)]))
  }
}

function describeLane (lanes: laneRegistry.LaneRegistry, name: string): object {
  const lane = lanes.lane(name)!
  const service = lanes.dispatcherOf(lane.service)
  return { ...lane, waiting: service.waiting, inFlight: service.inFlight, typicalLatencyMs: Math.round(service.typicalLatencyMs * 10) / 10 }
}
