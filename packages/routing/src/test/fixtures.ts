/** Creates endpoints and lanes for the tests of this package. */
import * as event from '@rosemaryrack/base/common/event.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as targetReachability from '../common/targetReachability.js'

/** Reachability of targets that the test sets. */
export class FakeLink implements targetReachability.ILinkVerdict {
  private readonly changedEmitter = new event.Emitter<boolean>()
  private waiting: Array<(isCutOff: boolean) => void> = []
  private isSuspected = false
  readonly onChanged = this.changedEmitter.event
  isCutOff = false

  suspect (): void {
    this.isSuspected = true
  }

  decide (isCutOff: boolean): void {
    const hasChanged = isCutOff !== this.isCutOff
    this.isSuspected = false
    this.isCutOff = isCutOff
    if (hasChanged) this.changedEmitter.fire(isCutOff)
    for (const done of this.waiting.splice(0)) done(isCutOff)
  }

  whenDecided (done: (isCutOff: boolean) => void): void {
    if (this.isSuspected) this.waiting.push(done)
    else done(this.isCutOff)
  }
}

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
