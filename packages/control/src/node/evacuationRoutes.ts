/** Operator routes for evacuations of failure domains. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import type * as evacuationService from './evacuationService.js'

const parameter = 'failureDomain'

/** Adds the routes under /evacuations. */
export function addEvacuationRoutes (routes: httpListener.IRoutes, evacuations: evacuationService.EvacuationService): void {
  const order = async (req: httpListener.RouteReq, active: boolean): Promise<httpListener.RouteRes> => {
    const failureDomain = decodeParameter(req, parameter, parameter)
    await evacuations.order({ failureDomain, active, field: parameter })
    return { body: { failureDomain, active } }
  }
  routes.route('GET', '/evacuations', async () => ({ body: await evacuations.list() }))
  routes.route('PUT', `/evacuations/:${parameter}`, async (req) => await order(req, true))
  routes.route('DELETE', `/evacuations/:${parameter}`, async (req) => await order(req, false))
}

/** Returns a decoded parameter of the path; throws `bad-request` naming the field. */
export function decodeParameter (req: httpListener.RouteReq, name: string, field: string): string {
  const encoded = req.params[name] ?? ''
  try {
    return decodeURIComponent(encoded)
  } catch {
    // The only error is a malformed encoding.
    throw new errors.RackError({ kind: 'bad-request', message: `${field}: expected a percent-encoded name, found ${JSON.stringify(encoded)}` })
  }
}
