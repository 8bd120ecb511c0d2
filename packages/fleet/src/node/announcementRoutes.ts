/** Route on which targets announce their endpoints. */
import type * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as announcement from '../common/announcement.js'
import type * as endpointTable from '../common/endpointTable.js'
import type * as peerMesh from './peerMesh.js'

const minRenewIntervalMs = 1000
const renewMsPerEndpoint = 6
const renewalsPerLease = 3
const pauseRetryAfterS = 1

/** Adds `POST /announcements`, with which a target announces an endpoint, renews its lease, drains it or leaves. */
export function addAnnouncementRoutes (
  routes: httpListener.IRoutes,
  endpoints: endpointTable.EndpointTable,
  mesh: peerMesh.PeerMesh,
  pauses: pauseDetector.PauseDetector,
  decisions: decisionLog.IDecisionLog
): void {
  routes.route('POST', '/announcements', async (req) => {
    if (pauses.mayInputBeStale()) {
      throw new errors.RackError({ kind: 'not-run', message: 'this instance was paused; announce again', retryAfterS: pauseRetryAfterS })
    }
    const renewAfterMs = renewIntervalMs(endpoints.liveCount)
    const announced = announcement.parseAnnouncement(await req.json())
    const leaseMs = Math.max(announced.leaseMs, renewAfterMs * renewalsPerLease)
    // Age 0: the target made the announcement just now.
    const outcome = endpoints.apply({ ...announced, leaseMs }, 0)
    if (outcome === 'stale') throw createStaleError(announced)
    if (outcome === 'renewed') mesh.publishRenewal(announced.endpoint, leaseMs)
    else logChange(decisions, announced)
    return { body: { endpoint: announced.endpoint, leaseMs, renewAfterMs } }
  })
}

/** Returns the interval between renewals, which grows with the number of endpoints to bound the traffic between instances. */
function renewIntervalMs (endpointCount: number): number {
  return Math.max(minRenewIntervalMs, endpointCount * renewMsPerEndpoint)
}

function createStaleError (announced: announcement.Announcement): errors.RackError {
  return new errors.RackError({
    kind: 'duplicate',
    message: `announcement of ${announced.endpoint} with incarnation ${announced.incarnation}, sequence ${announced.sequence} is stale: a newer one is known`
  })
}

function logChange (decisions: decisionLog.IDecisionLog, announced: announcement.Announcement): void {
  decisions.record({
    event: 'announce',
    choice: announced.endpoint,
    service: announced.service,
    address: announced.address,
    state: announced.state,
    why: 'announced by the target'
  })
}
