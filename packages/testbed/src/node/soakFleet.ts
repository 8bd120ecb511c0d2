/** The fleet of a soak, whose endpoints announce themselves until the soak ends. */
import * as async from '@rosemaryrack/base/common/async.js'
import type * as deployedFleet from './deployedFleet.js'

const settleTimeoutMs = 30_000
const heartbeatIntervalMs = 500
const ok = 200

/** An endpoint that announces itself. */
export interface ISoakEndpoint {
  sendHeartbeat(control: string): Promise<unknown>
}

/** Method and path of a request that each entry must serve before a soak goes on. */
export type SoakCall = readonly [method: 'GET' | 'POST', path: string]

/** Starts the processes of a soak and waits until they serve. */
export class SoakFleet {
  private hasStopped = false

  constructor (private readonly fleet: deployedFleet.DeployedFleet, private readonly endpoints: readonly ISoakEndpoint[], private readonly calls: readonly SoakCall[]) {}

  /** @param putConfig sends a configuration and resolves with whether it was accepted. */
  async start (putConfig: () => Promise<boolean>): Promise<void> {
    this.fleet.startAll()
    await this.fleet.waitFor('the configuration to be accepted', settleTimeoutMs, putConfig)
    this.keepSendingHeartbeats()
    await this.settle()
  }

  /** Waits until each entry serves each call. */
  async settle (): Promise<void> {
    for (let entry = 1; entry <= this.fleet.entries; entry++) {
      for (const [method, path] of this.calls) {
        await this.fleet.waitFor(`entry ${entry} to serve ${path}`, settleTimeoutMs, async () => (await this.fleet.call(entry, path, method)).status === ok)
      }
    }
  }

  /** Ends the heartbeats and all processes. */
  async stop (): Promise<void> {
    this.hasStopped = true
    await this.fleet.killAll()
  }

  private async keepSendingHeartbeats (): Promise<void> {
    for (let number = 1; !this.hasStopped; number = number % this.fleet.controls + 1) {
      await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(this.fleet.controlAddress(number))))
      await async.sleep(heartbeatIntervalMs)
    }
  }
}
