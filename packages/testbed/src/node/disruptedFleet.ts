/** A fleet that is disrupted while callers use it: signals to entry instances, resets and restarts of endpoints, and new configurations overlap. */
import * as fs from 'node:fs'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from './deployedFleet.js'
import * as eventLoopLateness from './eventLoopLateness.js'
import * as soakChoices from './soakChoices.js'
import * as soakFleet from './soakFleet.js'
import type * as socketEndpoint from './socketEndpoint.js'

/** Longest time from SIGTERM to SIGKILL. */
export const graceMs = 6000
/** Timeouts that a configuration may give to a route. */
export const routeTimeoutsMs: readonly number[] = [1500, 3000]
const idleTimeoutsMs = [500, 2000, 15_000]
const settleTimeoutMs = 30_000
const controls = 3
const firstEndpointStream = 20
const configStream = 50
const firstFreezeStream = 60
const firstCallerStream = 100
/** Streams of random choices of a seed. */
const streamsPerSeed = 1000
const ok = 200

/** Size of a soak. */
export interface SoakOptions {
  readonly folder: string
  readonly subnet: number
  readonly entries: number
  readonly connectionsPerEntry: number
  readonly durationMs: number
}

/** What a soak runs its callers against. */
export interface FleetPlan {
  /** Services of the endpoints: `diary` behind the safe route `/read/`, `till` behind the unsafe route `/pay/`. */
  readonly services: readonly string[]
  readonly createEndpoint: (id: string, host: string, service: string) => socketEndpoint.SocketEndpoint
  /** Requests that each entry must serve before a soak goes on. */
  readonly calls: readonly soakFleet.SoakCall[]
  /** Whether entry instances also get SIGSTOP and SIGCONT. */
  readonly hasFreezes: boolean
}

/** A SIGKILL of an entry instance, with its time on the process's monotonic clock. */
export interface Kill {
  readonly entry: number
  readonly at: number
}

/** Calls an entry instance until a time on the process's monotonic clock. */
export type KeepCalling = (address: string, entry: number, choices: soakChoices.Choices, endsAt: number) => Promise<void>

/** Starts a fleet and endpoints, and disrupts them in seeded runs. */
export class DisruptedFleet {
  readonly lateness = new eventLoopLateness.EventLoopLateness()
  kills: readonly Kill[] = []
  private readonly fleet: deployedFleet.DeployedFleet
  private readonly soakFleet: soakFleet.SoakFleet
  private readonly endpoints: readonly socketEndpoint.SocketEndpoint[]
  private versionNumber = 0

  constructor (private readonly options: SoakOptions, private readonly plan: FleetPlan) {
    this.fleet = new deployedFleet.DeployedFleet(options.folder, options.subnet, controls, options.entries)
    this.endpoints = plan.services.map((service, i) => plan.createEndpoint(`i-${i + 1}`, this.fleet.endpointIp(i + 1), service))
    this.soakFleet = new soakFleet.SoakFleet(this.fleet, this.endpoints, plan.calls)
  }

  async start (): Promise<void> {
    await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.start()))
    await this.soakFleet.start(async () => await this.putConfig(new soakChoices.Choices(0)))
  }

  /** Waits until each entry serves requests again. */
  async settle (): Promise<void> {
    await this.soakFleet.settle()
  }

  async dispose (): Promise<void> {
    this.lateness.dispose()
    for (const endpoint of this.endpoints) endpoint.stop()
    await this.soakFleet.stop()
  }

  /** Runs the callers of all connections and the disruptions for a time. */
  async run (seed: number, keepCalling: KeepCalling): Promise<void> {
    this.kills = []
    this.lateness.clear()
    const endsAt = performance.now() + this.options.durationMs
    const choicesOf = (stream: number): soakChoices.Choices => new soakChoices.Choices(seed * streamsPerSeed + stream)
    const entries = Array.from({ length: this.options.entries }, (_value, i) => i + 1)
    const connections = Array.from({ length: entries.length * this.options.connectionsPerEntry }, (_value, i) => ({ entry: 1 + i % entries.length, stream: firstCallerStream + i }))
    await Promise.all([
      ...entries.map(async (entry) => await this.disruptEntry(entry, choicesOf(entry), endsAt)),
      ...this.plan.hasFreezes ? entries.map(async (entry) => await this.freezeEntry(entry, choicesOf(firstFreezeStream + entry), endsAt)) : [],
      ...this.endpoints.map(async (endpoint, i) => await this.disruptEndpoint(endpoint, choicesOf(firstEndpointStream + i), endsAt)),
      ...connections.map(async ({ entry, stream }) => await keepCalling(this.fleet.callersAddress(entry), entry, choicesOf(stream), endsAt)),
      this.changeConfigs(choicesOf(configStream), endsAt)
    ])
  }

  private async disruptEntry (entry: number, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    await async.sleep(choices.between(0, 3000))
    while (performance.now() < endsAt) {
      const reloads = choices.between(0, 2)
      for (let i = 0; i < reloads; i++) {
        this.reload(entry)
        await async.sleep(choices.between(0, 1000))
      }
      const killsAfterMs = choices.pick([0, 300, graceMs])
      await this.endEntry(entry, killsAfterMs)
      await async.sleep(choices.oneIn(2) ? 0 : choices.between(0, 1000))
      this.fleet.startEntry(entry)
      await this.fleet.waitFor(`entry ${entry} to be ready`, settleTimeoutMs, async () => await this.fleet.isReady(entry))
      await async.sleep(choices.between(0, 4000))
    }
  }

  private reload (entry: number): void {
    const file = `${this.options.folder}/entry-${entry}.toml`
    fs.writeFileSync(file, fs.readFileSync(file))
    process.kill(this.fleet.process(`entry-${entry}`).pid, 'SIGHUP')
  }

  /** Ends an entry by SIGKILL, or by SIGTERM and later SIGKILL. */
  private async endEntry (entry: number, killsAfterMs: number): Promise<void> {
    const child = this.fleet.process(`entry-${entry}`)
    if (killsAfterMs > 0) {
      child.sendSignal('stop')
      this.reload(entry)
    }
    const timer = setTimeout(() => {
      this.kills = [...this.kills, { entry, at: performance.now() }]
      child.sendSignal('kill')
    }, killsAfterMs)
    await child.exited
    clearTimeout(timer)
  }

  private async freezeEntry (entry: number, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    while (performance.now() < endsAt) {
      await async.sleep(choices.between(500, 5000))
      const child = this.fleet.process(`entry-${entry}`)
      child.sendSignal('freeze')
      await async.sleep(choices.between(20, 1500))
      child.sendSignal('thaw')
    }
  }

  private async disruptEndpoint (endpoint: socketEndpoint.SocketEndpoint, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    while (performance.now() < endsAt) {
      await async.sleep(choices.between(0, 5000))
      if (choices.oneIn(2)) {
        endpoint.resetConnections()
        continue
      }
      endpoint.stop()
      await async.sleep(choices.between(50, 2000))
      await endpoint.start()
    }
  }

  private async changeConfigs (choices: soakChoices.Choices, endsAt: number): Promise<void> {
    while (performance.now() < endsAt) {
      await async.sleep(choices.between(100, 3000))
      await this.putConfig(choices)
    }
  }

  /** Resolves with whether the configuration was accepted. */
  private async putConfig (choices: soakChoices.Choices): Promise<boolean> {
    const timeoutMs = choices.pick(routeTimeoutsMs)
    const routes = [deployedFleet.createRoute('read', '/read/', 'diary', 'safe', timeoutMs), deployedFleet.createRoute('pay', '/pay/', 'till', 'unsafe', timeoutMs)]
    const config = { ...deployedFleet.createConfig(++this.versionNumber, routes), Limits: { IdleTimeoutMs: choices.pick(idleTimeoutsMs) } }
    return (await this.fleet.putConfig(choices.between(1, this.fleet.controls), config)).status === ok
  }
}
