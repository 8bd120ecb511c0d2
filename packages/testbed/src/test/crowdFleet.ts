/** A fleet of real processes for tests with crowds of callers that don't behave: each crowd has an entry instance of its own. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'
import * as managedProcess from '../node/managedProcess.js'
import * as processUsage from '../node/processUsage.js'

const controlCount = 3
/** Time after the callers have left in which the process is still watched. */
const watchAfterMs = 2000
const watchIntervalMs = 50
const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const workMs = 20
const bornAt = 1_778_202_084_000
/** Host that callers name in their requests. */
export const callersHost = 'jepu9.example'

/** The highest figures of a process that were seen. */
export interface Peak {
  readonly residentMb: number
  readonly descriptors: number
}

/** How the fleet behaves beside its processes. */
export interface CrowdFleetOptions extends deployedFleet.FleetOptions {
  /** Endpoints respond to a request only once they have received its whole body. */
  readonly endpointsAwaitBodies?: boolean
}

/** Control replicas, entry instances and four endpoints: `/read/` is idempotent, `/pay/` is not. */
export class CrowdFleet {
  readonly fleet: deployedFleet.DeployedFleet
  readonly endpoints: readonly deployedFleet.StandInEndpoint[]
  private readonly folder: string
  private hasStopped = false

  private constructor (name: string, subnet: number, private readonly entryCount: number, private readonly options: CrowdFleetOptions) {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), `rosemaryrack-${name}-`))
    this.fleet = new deployedFleet.DeployedFleet(this.folder, subnet, controlCount, entryCount, options)
    this.endpoints = ['diary', 'diary', 'till', 'till'].map((service, i) => new deployedFleet.StandInEndpoint(`i-${i + 1}`, this.fleet.endpointIp(i + 1), service, bornAt))
  }

  static async create (name: string, entryCount: number, options: CrowdFleetOptions): Promise<CrowdFleet> {
    const { subnet } = await loopbackSubnet.reserve()
    return new CrowdFleet(name, subnet, entryCount, options)
  }

  /**
   * Starts all processes and waits until each entry instance serves requests.
   * @param timeoutMs of the routes; by default that of the testbed.
   */
  async start (timeoutMs?: number): Promise<void> {
    const { fleet, endpoints, options: { endpointsAwaitBodies = false } } = this
    for (const endpoint of endpoints) {
      endpoint.workMs = workMs
      endpoint.awaitsBody = endpointsAwaitBodies
    }
    await Promise.all(endpoints.map(async (endpoint) => await endpoint.listen()))
    fleet.startAll()
    const routes = [deployedFleet.createRoute('read', '/read/', 'diary', 'safe', timeoutMs), deployedFleet.createRoute('pay', '/pay/', 'till', 'unsafe', timeoutMs)]
    await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, deployedFleet.createConfig(1, routes))).status === 200)
    this.sendHeartbeats()
    for (let entry = 1; entry <= this.entryCount; entry++) await fleet.waitFor(`entry ${entry} to serve requests`, settleTimeoutMs, async () => await this.isServing(entry))
  }

  async stop (): Promise<void> {
    this.hasStopped = true
    for (const endpoint of this.endpoints) endpoint.close()
    await this.fleet.killAll()
    fs.rmSync(this.folder, { recursive: true, force: true })
  }

  /** Returns whether ordinary requests get responses of endpoints. */
  async isServing (entry: number): Promise<boolean> {
    const responses = [await this.fleet.call(entry, '/read/x'), await this.fleet.call(entry, '/pay/x', 'POST')]
    return responses.every(({ status }) => status === 200)
  }

  async waitUntilServing (entry: number): Promise<void> {
    await this.fleet.waitFor('an ordinary request to be answered', settleTimeoutMs, async () => await this.isServing(entry))
  }

  /** Starts a program of callers, which gets its options as JSON. */
  startCallers (name: string, script: string, options: object): managedProcess.ManagedProcess {
    return new managedProcess.ManagedProcess(name, script, [JSON.stringify(options)], path.join(this.folder, `${name}.log`))
  }

  private async sendHeartbeats (): Promise<void> {
    for (let number = 1; !this.hasStopped; number = number % controlCount + 1) {
      await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(this.fleet.controlAddress(number), 'ready')))
      await async.sleep(heartbeatIntervalMs)
    }
  }
}

/** Watches a process until `end` resolves and a while longer; ends early if the process ends. */
export async function watchPeak (child: managedProcess.ManagedProcess, end: Promise<unknown>): Promise<Peak> {
  const peak = { residentMb: 0, descriptors: 0 }
  let endsAt = Infinity
  end.then(() => { endsAt = performance.now() + watchAfterMs })
  while (child.isRunning && performance.now() < endsAt) {
    try {
      peak.residentMb = Math.max(peak.residentMb, processUsage.readUsage(child.pid).residentMb)
      peak.descriptors = Math.max(peak.descriptors, processUsage.countDescriptors(child.pid))
    } catch (err) {
      // The process may end between the check and the reading.
      if (child.isRunning) await async.sleep(watchIntervalMs)
      if (child.isRunning) throw err
    }
    await async.sleep(watchIntervalMs)
  }
  return peak
}
