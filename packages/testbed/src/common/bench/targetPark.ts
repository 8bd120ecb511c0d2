/** The fake targets of a run, and the endpoints that entry instances know. */
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as fakeTarget from './fakeTarget.js'
import * as faults from './faults.js'
import type * as seededRandom from './seededRandom.js'
import type * as virtualClock from './virtualClock.js'
import type * as workload from './workload.js'

const reportEveryMs = 500
const misleadingLoad = 2

/** All targets of a deployment. */
export class TargetPark {
  private readonly targets = new Map<string, fakeTarget.FakeTarget>()
  /** Messages that only measuring caused. */
  measuringMessages = 0
  private readonly emitter = new event.Emitter<endpointTable.Endpoint>()
  private readonly byService = new Map<string, readonly endpointTable.Endpoint[]>()

  constructor (
    private readonly deployment: workload.Deployment,
    private readonly fault: faults.FaultName,
    private readonly clock: virtualClock.VirtualClock,
    private readonly random: seededRandom.SeededRandom
  ) {
    for (const service of deployment.services) {
      for (let i = 0; i < service.endpoints; i++) {
        const id = `${service.name}-${i}`
        this.targets.set(id, new fakeTarget.FakeTarget(id, service.slots, faults.faultsOf(fault, service, i), clock))
        const startsAt = faults.startOf(fault, i)
        if (startsAt > 0) clock.after(startsAt, () => this.announce())
      }
    }
    this.announce()
  }

  target (id: string): fakeTarget.FakeTarget {
    return this.targets.get(id)!
  }

  targetsOf (service: string): readonly fakeTarget.FakeTarget[] {
    return [...this.targets.values()].filter(({ id }) => id.startsWith(`${service}-`))
  }

  /**
   * Endpoints as announced, their loads as old as the last report.
   * @param bySlots false announces as many slots as connections, so that only the latter limit.
   */
  source (bySlots: boolean): endpointTable.IEndpointSource {
    return {
      onChanged: this.emitter.event,
      routable: (service) => {
        const known = this.byService.get(service) ?? []
        return bySlots ? known : known.map((endpoint) => ({ ...endpoint, slots: endpoint.connectionLimit }))
      }
    }
  }

  private announce (): void {
    const now = this.clock.now()
    for (const service of this.deployment.services) {
      const started = this.targetsOf(service.name).filter((_target, i) => faults.startOf(this.fault, i) <= now)
      this.byService.set(service.name, started.map((target) => this.endpointOf(target, service)))
    }
    this.clock.after(reportEveryMs, () => this.announce())
  }

  private endpointOf (target: fakeTarget.FakeTarget, service: workload.ServiceModel): endpointTable.Endpoint {
    const load = this.fault === 'misleading' ? this.random.next() * misleadingLoad : target.load
    return {
      endpoint: target.id,
      service: service.name,
      address: '127.0.0.1:1',
      failureDomain: 'a',
      slots: service.slots,
      connectionLimit: service.connectionLimit,
      state: 'ready',
      load,
      incarnation: 1,
      sequence: 1,
      leaseMs: 5000,
      announcedAt: this.clock.now()
    }
  }
}
