/** Creates endpoints and lanes for the tests of this package. */
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'

/** Returns a ready endpoint of the service `diary`. */
export function createEndpoint (endpoint: string, slots: number, announcedAt: number): endpointTable.Endpoint {
  return {
    endpoint,
    service: 'diary',
    address: '127.0.0.1:1',
    failureDomain: 'a',
    slots,
    connectionLimit: 10,
    state: 'ready',
    load: 0,
    incarnation: 1,
    sequence: 1,
    leaseMs: 5000,
    announcedAt
  }
}

/** Returns an idempotent lane of the service `diary`; `overrides` replaces defaults. */
export function createLane (overrides: object): configDocument.Lane {
  const lane = { service: 'diary', match: { methods: ['GET'], pathPrefix: '/' }, idempotent: true, maxWaitMs: 300, ...overrides }
  const check = configDocument.checkDocument({ lanes: { lane } })
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document.lanes['lane']!
}
