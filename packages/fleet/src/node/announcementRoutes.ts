/** Routes on which targets announce themselves. */
import type * as freezeDetector from '@rosemaryrack/base/common/freezeDetector.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as announcement from '../common/announcement.js'
import type * as endpointTable from '../common/endpointTable.js'
import type * as peerMesh from './peerMesh.js'

const minRenewMs = 1000
const renewMsPerEndpoint = 6
const renewalsPerLease = 3
const comeBackS = 1

/** Adds `POST /announcements`: a target announces, renews, drains or leaves. */
export function addAnnouncementRoutes (
  routes: httpListener.IRoutes,
  endpoints: endpointTable.EndpointTable,
  mesh: peerMesh.PeerMesh,
  freeze: freezeDetector.FreezeDetector,
  decisions: decisionLog.IDecisionLog
): void {
  routes.route('POST', '/announcements', async (req) => {
    if (freeze.check()) {
      throw new errors.RackError({ kind: 'not-run', message: 'this instance stood still; announce again', retryAfterS: comeBackS })
    }
    const renewAfterMs = renewInterval(endpoints.liveCount)
    const announced = announcement.parseAnnouncement(await req.json())
    const leaseMs = Math.max(announced.leaseMs, renewAfterMs * renewalsPerLease)
    const outcome = endpoints.apply({ ...announced, leaseMs }, 0)
    if (outcome === 'stale') throw stale(announced)
    if (outcome === 'renewed') mesh.noteRenewal(announced.endpoint, leaseMs)
    else logChange(decisions, announced)
    return { body: { endpoint: announced.endpoint, leaseMs, renewAfterMs } }
  })
}

/** Renewals slow down as endpoints grow in number, so that their traffic between instances stays bounded. */
function renewInterval (endpointCount: number): number {
  return Math.max(minRenewMs, endpointCount * renewMsPerEndpoint)
}

function stale (announced: announcement.Announcement): errors.RackError {
  return new errors.RackError({
    kind: 'duplicate',
    message: `a newer announcement of ${announced.endpoint} is known than incarnation ${announced.incarnation}, sequence ${announced.sequence}`
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
