/** Fake targets of a run and the endpoints they announce to entry instances. */
import * as event from '@rosemaryrack/base/common/event.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as fakeTarget from './fakeTarget.js'
import * as faults from './faults.js'
import type * as seededRandom from './seededRandom.js'
import type * as virtualClock from './virtualClock.js'
import type * as workload from './workload.js'

const announceIntervalMs = 500
const maxMisleadingLoad = 2

/** All fake targets of a deployment. */
export class TargetPool {
  private readonly targets = new Map<string, fakeTarget.FakeTarget>()
  /** Number of second health checks of targets after a lost connection; the bench's transport counts them. */
  healthCheckCount = 0
  private readonly emitter = new event.Emitter<endpointTable.Endpoint>()
  private readonly endpointsByService = new Map<string, readonly endpointTable.Endpoint[]>()

  constructor (
    private readonly deployment: workload.Deployment,
    private readonly fault: faults.FaultName,
    private readonly clock: virtualClock.VirtualClock,
    private readonly random: seededRandom.SeededRandom
  ) {
    for (const service of deployment.services) {
      for (let i = 0; i < service.endpointCount; i++) {
        const id = `${service.name}-${i}`
        this.targets.set(id, new fakeTarget.FakeTarget(id, service.slots, faults.createTargetFaults(fault, service, i), clock))
        const startsAt = faults.startTimeMs(fault, i)
        if (startsAt > 0) clock.after(startsAt, () => this.announce())
      }
    }
    this.announce()
  }

  getTarget (id: string): fakeTarget.FakeTarget {
    return this.targets.get(id)!
  }

  getServiceTargets (service: string): readonly fakeTarget.FakeTarget[] {
    return [...this.targets.values()].filter(({ id }) => id.startsWith(`${service}-`))
  }

  /**
   * Creates a source of the announced endpoints; their load is that of the last announcement.
   * @param hasSlotLimits if false, announces as many slots as connections, so that only the connection limit applies.
   */
  createEndpointSource (hasSlotLimits: boolean): endpointTable.IEndpointSource {
    return {
      onChanged: this.emitter.event,
      routable: (service) => {
        const endpoints = this.endpointsByService.get(service) ?? []
        return hasSlotLimits ? endpoints : endpoints.map((endpoint) => ({ ...endpoint, slots: endpoint.connectionLimit }))
      }
    }
  }

  private announce (): void {
    const now = this.clock.now()
    for (const service of this.deployment.services) {
      const started = this.getServiceTargets(service.name).filter((_target, i) => faults.startTimeMs(this.fault, i) <= now)
      this.endpointsByService.set(service.name, started.map((target) => this.toEndpoint(target, service)))
    }
    this.clock.after(announceIntervalMs, () => this.announce())
  }

  private toEndpoint (target: fakeTarget.FakeTarget, service: workload.ServiceModel): endpointTable.Endpoint {
    const load = this.fault === 'misleading' ? this.random.next() * maxMisleadingLoad : target.load
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
