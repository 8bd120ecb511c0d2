/** A fleet of real processes on loopback: control replicas, entry instances and stand-in targets. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as path from 'node:path'
import * as url from 'node:url'
import * as toml from 'smol-toml'
import * as async from '@rosemaryrack/base/common/async.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as address from '@rosemaryrack/base/common/address.js'
import * as fleetPlan from '../common/fleetPlan.js'
import * as managedProcess from './managedProcess.js'
import * as relay from './relay.js'
import type * as standInTarget from './standInTarget.js'

const innerToken = 'local-fleet-inner-token'
const operatorToken = 'local-fleet-operator-token'
const announcementToken = 'local-fleet-announcement-token'
const leaseMs = 3000
const pollMs = 50
const repositoryRoot = url.fileURLToPath(new URL('../../../../', import.meta.url))
const daemonScript = path.join(repositoryRoot, 'packages/rosemaryrack/bin/rosemaryrack.mjs')
const rackctlScript = path.join(repositoryRoot, 'packages/rackctl/bin/rackctl.mjs')
const standInScript = url.fileURLToPath(new URL('./standInTarget.js', import.meta.url))

/** Result of a rackctl run. */
export interface RackctlResult {
  readonly exitCode: number
  readonly stdout: string
  readonly stderr: string
}

/** Settings of all control replicas or entry instances that a scenario wants otherwise. */
export interface FleetTuning {
  readonly snapshotEvery?: number
  readonly drainNoticeMs?: number
  readonly decisions?: boolean
  /** Leaves election and heartbeat times at the product's defaults, which are longer than the scenarios'. */
  readonly defaultTimes?: boolean
  /** Puts relays before targets, so that their connections can go silent; a relay accepts for a dead target too. */
  readonly targetRelays?: boolean
}

/** Starts, stops and reaches the processes by their names. */
export class LocalFleet {
  readonly controls: readonly string[]
  readonly entries: readonly string[]
  readonly targets: readonly string[]
  readonly relays: relay.RelayNet | undefined
  private readonly positions = new Map<string, number>()
  private readonly serviceOf = new Map<string, fleetPlan.TargetPlan>()
  private readonly processes = new Map<string, managedProcess.ManagedProcess>()
  private readonly started: managedProcess.ManagedProcess[] = []

  constructor (
    private readonly folder: string,
    private readonly plan: fleetPlan.FleetPlan,
    private readonly scheme: fleetPlan.IAddressScheme,
    withRelays: boolean,
    private readonly tuning: FleetTuning = {}
  ) {
    this.relays = withRelays ? new relay.RelayNet() : undefined
    this.controls = fleetPlan.numbered('control', plan.controls)
    this.entries = fleetPlan.numbered('entry', plan.entries)
    this.targets = plan.targets.flatMap((target) => {
      const names = fleetPlan.numbered(target.service, target.count)
      for (const name of names) this.serviceOf.set(name, target)
      return names
    })
    ;[...this.controls, ...this.entries, ...this.targets].forEach((name, i) => this.positions.set(name, i))
    fs.mkdirSync(folder, { recursive: true })
  }

  get token (): string {
    return operatorToken
  }

  get announcementToken (): string {
    return announcementToken
  }

  addresses (name: string): fleetPlan.ProcessAddresses {
    return this.scheme.of(this.position(name))
  }

  /** Starts relays and all control replicas and entry instances; founds the cluster. */
  async startSystem (): Promise<void> {
    await this.startRelays()
    for (const name of [...this.controls, ...this.entries]) this.start(name)
    await this.waitFor('the first control replica to listen', async () => (await this.tryRackctl(['status', '--control', this.controlOperators(1)])).exitCode === 0)
    await this.waitFor('the cluster to be founded', async () => (await this.tryRackctl(['control', 'found', '--control', this.controlOperators(1)])).exitCode === 0)
    await this.waitFor('all control replicas to vote', async () => await this.voterCount() === this.controls.length)
    await this.waitFor('all entry instances to be ready', async () => await this.allReady())
  }

  startTargets (): void {
    for (const name of this.targets) this.start(name)
  }

  /** @param maxFileBytes length from which on no file of the process can grow, as on a full disk. */
  start (name: string, maxFileBytes?: number): managedProcess.ManagedProcess {
    const log = path.join(this.folder, `${name}.log`)
    const started = this.serviceOf.has(name)
      ? new managedProcess.ManagedProcess(name, standInScript, [JSON.stringify(this.standInOptions(name))], log)
      : new managedProcess.ManagedProcess(name, daemonScript, ['--settings', this.writeSettings(name)], log, maxFileBytes)
    this.processes.set(name, started)
    this.started.push(started)
    return started
  }

  /** Control replicas and entry instances that ended although nothing made them. */
  get endedByThemselves (): readonly string[] {
    return this.started.filter(({ name, endedByItself }) => endedByItself && !this.serviceOf.has(name)).map(({ name }) => name)
  }

  process (name: string): managedProcess.ManagedProcess {
    const found = this.processes.get(name)
    if (found === undefined) throw new Error(`no process ${name} was started`)
    return found
  }

  dataFolder (name: string): string {
    return path.join(this.folder, `${name}-data`)
  }

  /** Empties a control replica's data folder, as a lost disk would. */
  loseDisk (name: string): void {
    fs.rmSync(this.dataFolder(name), { recursive: true, force: true })
  }

  journalOf (name: string): string {
    return path.join(this.folder, `${name}.journal`)
  }

  /** Operator addresses of the first few control replicas, or of all. */
  controlOperators (count = this.controls.length): string {
    return this.controls.slice(0, count).map((name) => this.addresses(name).operator).join(',')
  }

  entryOperators (): string {
    return this.entries.map((name) => this.addresses(name).operator).join(',')
  }

  /** Runs rackctl as its own process. */
  rackctl (args: readonly string[]): Promise<RackctlResult> {
    return new Promise((resolve) => {
      const env = { ...process.env, RACKCTL_TOKEN: operatorToken, RACKCTL_CONTROL: this.controlOperators(), RACKCTL_ENTRY: this.entryOperators() }
      childProcess.execFile(process.execPath, [rackctlScript, ...args], { env, maxBuffer: 16_777_216 }, (err, stdout, stderr) => {
        const exitCode = err === null ? 0 : Number(err.code ?? 1)
        resolve({ exitCode, stdout, stderr })
      })
    })
  }

  /** Polls until a condition holds; throws when it doesn't in time. */
  async waitFor (what: string, condition: () => Promise<boolean>, withinMs = 30_000): Promise<number> {
    const start = performance.now()
    while (performance.now() - start < withinMs) {
      if (await condition()) return performance.now() - start
      await async.sleep(pollMs)
    }
    throw new Error(`waited ${withinMs} ms in vain for ${what}`)
  }

  /** Answer of an operator route, or undefined when it can't be had. */
  async operatorGet (name: string, route: string): Promise<unknown> {
    try {
      const res = await fetch(`http://${this.addresses(name).operator}${route}`, {
        headers: { authorization: secret.bearer(operatorToken) },
        signal: AbortSignal.timeout(1500)
      })
      return await res.json()
    } catch {
      return undefined
    }
  }

  /** Whether a process listens, or has ended again. A target is asked itself: the relay before it accepts always. */
  async isUp (name: string): Promise<boolean> {
    if (!this.process(name).isRunning) return true
    if (this.serviceOf.has(name)) return await acceptsConnections(this.targetAddress(name))
    const listens = await this.operatorGet(name, '/live') !== undefined
    return listens && (!this.entries.includes(name) || await acceptsConnections(this.addresses(name).callers))
  }

  /** What an instance's readiness check says; false when it doesn't answer. */
  async isReady (name: string): Promise<boolean> {
    const state = await this.operatorGet(name, '/ready') as { readonly ready?: boolean } | undefined
    return state?.ready === true
  }

  /** Starts another program of the testbed beside the fleet. */
  startProgram (name: string, script: string, args: readonly string[]): managedProcess.ManagedProcess {
    const started = new managedProcess.ManagedProcess(name, script, args, path.join(this.folder, `${name}.log`))
    this.processes.set(name, started)
    return started
  }

  targetAddress (name: string): string {
    return this.scheme.target(this.position(name)).listen
  }

  /** Ends all processes; frozen ones are thawed by their kill. */
  async dispose (): Promise<void> {
    this.relays?.dispose()
    await Promise.all([...this.processes.values()].map(async (child) => await child.kill()))
  }

  private async startRelays (): Promise<void> {
    if (this.relays === undefined) return
    const nameOf = (ip: string): string => this.nameOfHost(ip)
    for (const name of [...this.controls, ...this.entries]) {
      const { inner, advertisedInner } = this.addresses(name)
      await this.relays.add(advertisedInner, inner, name, nameOf)
    }
    for (const name of this.tuning.targetRelays === true ? this.targets : []) {
      const { listen, advertise } = this.scheme.target(this.position(name))
      await this.relays.add(advertise, listen, name, nameOf)
    }
  }

  private nameOfHost (ip: string): string {
    for (const [name, position] of this.positions) {
      if (this.scheme.of(position).inner.startsWith(`${ip}:`)) return name
    }
    return ip
  }

  private async tryRackctl (args: readonly string[]): Promise<RackctlResult> {
    return await this.rackctl([...args, '--json'])
  }

  private async voterCount (): Promise<number> {
    for (const name of this.controls) {
      const state = await this.operatorGet(name, '/control') as { readonly members?: ReadonlyArray<{ readonly voter: boolean }> } | undefined
      const voters = state?.members?.filter(({ voter }) => voter).length ?? 0
      if (voters > 1 || this.controls.length === 1) return voters
    }
    return 0
  }

  private async allReady (): Promise<boolean> {
    const ready = await Promise.all(this.entries.map(async (name) => await this.isReady(name)))
    return ready.every((isReady) => isReady)
  }

  private position (name: string): number {
    const position = this.positions.get(name)
    if (position === undefined) throw new Error(`the fleet has no process ${name}`)
    return position
  }

  private domainOf (name: string): string {
    const { failureDomains } = this.plan
    return failureDomains[this.indexWithinRole(name) % failureDomains.length]!
  }

  private indexWithinRole (name: string): number {
    return Number(/\d+$/.exec(name)?.[0] ?? 1) - 1
  }

  private standInOptions (name: string): standInTarget.StandInOptions {
    const { listen, advertise } = this.scheme.target(this.position(name))
    const { service, slots, connectionLimit } = this.serviceOf.get(name)!
    return {
      endpoint: name,
      service,
      listen,
      advertise: this.tuning.targetRelays === true ? advertise : listen,
      failureDomain: this.domainOf(name),
      slots,
      connectionLimit,
      leaseMs,
      announceTo: this.entries.map((entry) => this.addresses(entry).announcements),
      announceToken: announcementToken,
      journal: this.journalOf(name)
    }
  }

  private writeSettings (name: string): string {
    const file = path.join(this.folder, `${name}.toml`)
    const { inner, advertisedInner, operator } = this.addresses(name)
    const role = this.controls.includes(name) ? { control: this.controlSettings(name) } : { entry: this.entrySettings(name) }
    fs.writeFileSync(file, toml.stringify({
      cluster: this.plan.cluster,
      instance: name,
      failureDomain: this.domainOf(name),
      inner: { listen: inner, advertise: advertisedInner, token: innerToken },
      operator: { listen: operator, token: operatorToken },
      logs: { decisions: this.tuning.decisions ?? true },
      ...role
    }))
    return file
  }

  private controlSettings (name: string): Record<string, unknown> {
    return {
      dataFolder: this.dataFolder(name),
      replicas: this.controls.map((control) => this.addresses(control).advertisedInner),
      ...(this.tuning.defaultTimes === true ? {} : { electionTimeoutMs: 600, heartbeatMs: 120 }),
      snapshotEvery: this.tuning.snapshotEvery ?? 1000
    }
  }

  private entrySettings (name: string): Record<string, unknown> {
    const { callers, announcements } = this.addresses(name)
    const seeds = this.entries.filter((entry) => entry !== name).slice(0, 2)
    return {
      callers: { listen: callers },
      announcements: { listen: announcements, token: announcementToken },
      control: this.controls.map((control) => ({ address: this.addresses(control).advertisedInner, failureDomain: this.domainOf(control) })),
      peers: seeds.map((entry) => this.addresses(entry).advertisedInner),
      drainNoticeMs: this.tuning.drainNoticeMs ?? 200
    }
  }
}

function acceptsConnections (hostPort: string): Promise<boolean> {
  const { host, port } = address.parseAddress(hostPort)
  return new Promise((resolve) => {
    const socket = net.connect(port, host)
    socket.on('error', () => resolve(false))
    socket.on('connect', () => {
      socket.destroy()
      resolve(true)
    })
  })
}
