/** Runs a fleet of real processes on loopback: control replicas, entry instances and stand-in targets. */
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
const rosemaryrackScript = path.join(repositoryRoot, 'packages/rosemaryrack/bin/rosemaryrack.mjs')
const rackctlScript = path.join(repositoryRoot, 'packages/rackctl/bin/rackctl.mjs')
const standInTargetScript = url.fileURLToPath(new URL('./standInTarget.js', import.meta.url))

/** Result of a rackctl run. */
export interface RackctlResult {
  readonly exitCode: number
  readonly stdout: string
  readonly stderr: string
}

/** Settings that a scenario overrides for all control replicas, entry instances or targets. */
export interface FleetOptions {
  readonly snapshotEvery?: number
  readonly drainNoticeMs?: number
  readonly decisions?: boolean
  /** Uses the product's default election timeout and heartbeat interval, which are longer than the scenarios'. */
  readonly useDefaultTimings?: boolean
  /**
   * Puts a relay in front of each target, so that its connections can be made silent. The relay accepts connections
   * even when the target is down.
   */
  readonly targetRelays?: boolean
}

/** Starts the processes of a fleet and accesses them by name. */
export class LocalFleet {
  readonly controls: readonly string[]
  readonly entries: readonly string[]
  readonly targets: readonly string[]
  readonly relays: relay.RelayNetwork | undefined
  private readonly positions = new Map<string, number>()
  private readonly targetPlans = new Map<string, fleetPlan.TargetPlan>()
  private readonly processes = new Map<string, managedProcess.ManagedProcess>()
  private readonly startedProcesses: managedProcess.ManagedProcess[] = []

  constructor (
    private readonly folder: string,
    private readonly plan: fleetPlan.FleetPlan,
    private readonly scheme: fleetPlan.IAddressScheme,
    withRelays: boolean,
    private readonly options: FleetOptions = {}
  ) {
    this.relays = withRelays ? new relay.RelayNetwork() : undefined
    this.controls = fleetPlan.numberedNames('control', plan.controls)
    this.entries = fleetPlan.numberedNames('entry', plan.entries)
    this.targets = plan.targets.flatMap((target) => {
      const names = fleetPlan.numberedNames(target.service, target.count)
      for (const name of names) this.targetPlans.set(name, target)
      return names
    })
    ;[...this.controls, ...this.entries, ...this.targets].forEach((name, i) => this.positions.set(name, i))
    fs.mkdirSync(folder, { recursive: true })
  }

  get operatorToken (): string {
    return operatorToken
  }

  get announcementToken (): string {
    return announcementToken
  }

  addresses (name: string): fleetPlan.ProcessAddresses {
    return this.scheme.processAddresses(this.position(name))
  }

  /** Starts the relays, all control replicas and all entry instances, and founds the cluster. */
  async startSystem (): Promise<void> {
    await this.startRelays()
    for (const name of [...this.controls, ...this.entries]) this.start(name)
    await this.waitFor('the first control replica to listen', async () => (await this.runRackctlJson(['status', '--control', this.controlOperatorAddresses(1)])).exitCode === 0)
    await this.waitFor('the cluster to be founded', async () => (await this.runRackctlJson(['control', 'found', '--control', this.controlOperatorAddresses(1)])).exitCode === 0)
    await this.waitFor('all control replicas to become voters', async () => await this.countVoters() === this.controls.length)
    await this.waitFor('all entry instances to be ready', async () => await this.areEntriesReady())
  }

  startTargets (): void {
    for (const name of this.targets) this.start(name)
  }

  /**
   * Starts a process of the fleet.
   * @param maxFileBytes limit on the size of each file that the process writes, which simulates a full disk.
   */
  start (name: string, maxFileBytes?: number): managedProcess.ManagedProcess {
    const logFile = path.join(this.folder, `${name}.log`)
    const child = this.targetPlans.has(name)
      ? new managedProcess.ManagedProcess(name, standInTargetScript, [JSON.stringify(this.standInOptions(name))], logFile)
      : new managedProcess.ManagedProcess(name, rosemaryrackScript, ['--settings', this.writeSettings(name)], logFile, maxFileBytes)
    this.processes.set(name, child)
    this.startedProcesses.push(child)
    return child
  }

  /** Names of the control replicas and entry instances that exited unexpectedly. */
  get unexpectedExits (): readonly string[] {
    return this.startedProcesses.filter(({ name, hasExitedUnexpectedly }) => hasExitedUnexpectedly && !this.targetPlans.has(name)).map(({ name }) => name)
  }

  process (name: string): managedProcess.ManagedProcess {
    const child = this.processes.get(name)
    if (child === undefined) throw new Error(`process ${name} has not been started`)
    return child
  }

  dataFolder (name: string): string {
    return path.join(this.folder, `${name}-data`)
  }

  /** Deletes a control replica's data folder to simulate a lost disk. */
  loseDisk (name: string): void {
    fs.rmSync(this.dataFolder(name), { recursive: true, force: true })
  }

  journalFile (name: string): string {
    return path.join(this.folder, `${name}.journal`)
  }

  /** Returns the operator addresses of the first `count` control replicas, separated by commas. */
  controlOperatorAddresses (count = this.controls.length): string {
    return this.controls.slice(0, count).map((name) => this.addresses(name).operator).join(',')
  }

  entryOperatorAddresses (): string {
    return this.entries.map((name) => this.addresses(name).operator).join(',')
  }

  /** Runs rackctl in a process of its own. */
  runRackctl (args: readonly string[]): Promise<RackctlResult> {
    return new Promise((resolve) => {
      const env = { ...process.env, RACKCTL_TOKEN: operatorToken, RACKCTL_CONTROL: this.controlOperatorAddresses(), RACKCTL_ENTRY: this.entryOperatorAddresses() }
      childProcess.execFile(process.execPath, [rackctlScript, ...args], { env, maxBuffer: 16_777_216 }, (err, stdout, stderr) => {
        const exitCode = err === null ? 0 : Number(err.code ?? 1)
        resolve({ exitCode, stdout, stderr })
      })
    })
  }

  /** Polls until the condition holds and returns the time that took in ms; throws on a timeout. */
  async waitFor (what: string, condition: () => Promise<boolean>, timeoutMs = 30_000): Promise<number> {
    const start = performance.now()
    while (performance.now() - start < timeoutMs) {
      if (await condition()) return performance.now() - start
      await async.sleep(pollMs)
    }
    const exits = this.unexpectedExits.map((name) => `; ${name} exited: ${this.process(name).lastOutputLine}`)
    throw new Error(`timed out after ${timeoutMs} ms waiting for ${what}${exits.join('')}`)
  }

  /** Fetches a route of a process's operator listener; returns undefined when there is no valid response. */
  async fetchOperatorRoute (name: string, route: string): Promise<unknown> {
    try {
      const res = await fetch(`http://${this.addresses(name).operator}${route}`, {
        headers: { authorization: secret.authorizationHeader(operatorToken) },
        signal: AbortSignal.timeout(1500)
      })
      return await res.json()
    } catch {
      return undefined
    }
  }

  /**
   * Returns whether a process accepts connections or has already exited. Connects to a target directly, since a relay
   * always accepts.
   */
  async isListeningOrExited (name: string): Promise<boolean> {
    if (!this.process(name).isRunning) return true
    if (this.targetPlans.has(name)) return await canConnect(this.targetAddress(name))
    const isListening = await this.fetchOperatorRoute(name, '/live') !== undefined
    return isListening && (!this.entries.includes(name) || await canConnect(this.addresses(name).callers))
  }

  /** Returns the result of an instance's readiness check; false when it does not respond. */
  async isReady (name: string): Promise<boolean> {
    const state = await this.fetchOperatorRoute(name, '/ready') as { readonly ready?: boolean } | undefined
    return state?.ready === true
  }

  /** Starts another testbed program; `dispose` kills it together with the fleet. */
  startProgram (name: string, script: string, args: readonly string[]): managedProcess.ManagedProcess {
    const child = new managedProcess.ManagedProcess(name, script, args, path.join(this.folder, `${name}.log`))
    this.processes.set(name, child)
    return child
  }

  targetAddress (name: string): string {
    return this.scheme.targetAddresses(this.position(name)).listen
  }

  /** Kills all processes, including frozen ones: SIGKILL ends a process that SIGSTOP paused. */
  async dispose (): Promise<void> {
    this.relays?.dispose()
    await Promise.all([...this.processes.values()].map(async (child) => await child.kill()))
  }

  private async startRelays (): Promise<void> {
    if (this.relays === undefined) return
    const findProcessName = (ip: string): string => this.findProcessName(ip)
    for (const name of [...this.controls, ...this.entries]) {
      const { inner, advertisedInner } = this.addresses(name)
      await this.relays.add(advertisedInner, inner, name, findProcessName)
    }
    for (const name of this.options.targetRelays === true ? this.targets : []) {
      const { listen, advertise } = this.scheme.targetAddresses(this.position(name))
      await this.relays.add(advertise, listen, name, findProcessName)
    }
  }

  private findProcessName (ip: string): string {
    for (const [name, position] of this.positions) {
      if (this.scheme.processAddresses(position).inner.startsWith(`${ip}:`)) return name
    }
    return ip
  }

  private async runRackctlJson (args: readonly string[]): Promise<RackctlResult> {
    return await this.runRackctl([...args, '--json'])
  }

  private async countVoters (): Promise<number> {
    for (const name of this.controls) {
      const state = await this.fetchOperatorRoute(name, '/control') as { readonly members?: ReadonlyArray<{ readonly voter: boolean }> } | undefined
      const voters = state?.members?.filter(({ voter }) => voter).length ?? 0
      // Until a replica has received the other members, it lists at most itself as a voter, so the next one is asked.
      if (voters > 1 || this.controls.length === 1) return voters
    }
    return 0
  }

  private async areEntriesReady (): Promise<boolean> {
    const ready = await Promise.all(this.entries.map(async (name) => await this.isReady(name)))
    return ready.every((isReady) => isReady)
  }

  private position (name: string): number {
    const position = this.positions.get(name)
    if (position === undefined) throw new Error(`the fleet has no process ${name}`)
    return position
  }

  private failureDomainOf (name: string): string {
    const { failureDomains } = this.plan
    return failureDomains[this.indexWithinRole(name) % failureDomains.length]!
  }

  private indexWithinRole (name: string): number {
    return Number(/\d+$/.exec(name)?.[0] ?? 1) - 1
  }

  private standInOptions (name: string): standInTarget.StandInOptions {
    const { listen, advertise } = this.scheme.targetAddresses(this.position(name))
    const { service, slots, connectionLimit } = this.targetPlans.get(name)!
    return {
      endpoint: name,
      service,
      listen,
      advertise: this.options.targetRelays === true ? advertise : listen,
      failureDomain: this.failureDomainOf(name),
      slots,
      connectionLimit,
      leaseMs,
      announceTo: this.entries.map((entry) => this.addresses(entry).announcements),
      announceToken: announcementToken,
      journal: this.journalFile(name)
    }
  }

  private writeSettings (name: string): string {
    const file = path.join(this.folder, `${name}.toml`)
    const { inner, advertisedInner, operator } = this.addresses(name)
    const roleSettings = this.controls.includes(name) ? { control: this.controlSettings(name) } : { entry: this.entrySettings(name) }
    fs.writeFileSync(file, toml.stringify({
      cluster: this.plan.cluster,
      instance: name,
      failureDomain: this.failureDomainOf(name),
      inner: { listen: inner, advertise: advertisedInner, token: innerToken },
      operator: { listen: operator, token: operatorToken },
      logs: { decisions: this.options.decisions ?? true },
      ...roleSettings
    }))
    return file
  }

  private controlSettings (name: string): Record<string, unknown> {
    return {
      dataFolder: this.dataFolder(name),
      replicas: this.controls.map((control) => this.addresses(control).advertisedInner),
      ...(this.options.useDefaultTimings === true ? {} : { electionTimeoutMs: 600, heartbeatMs: 120 }),
      snapshotEvery: this.options.snapshotEvery ?? 1000
    }
  }

  private entrySettings (name: string): Record<string, unknown> {
    const { callers, announcements } = this.addresses(name)
    const seeds = this.entries.filter((entry) => entry !== name).slice(0, 2)
    return {
      callers: { listen: callers },
      announcements: { listen: announcements, token: announcementToken },
      control: this.controls.map((control) => ({ address: this.addresses(control).advertisedInner, failureDomain: this.failureDomainOf(control) })),
      peers: seeds.map((entry) => this.addresses(entry).advertisedInner),
      drainNoticeMs: this.options.drainNoticeMs ?? 200
    }
  }
}

function canConnect (hostPort: string): Promise<boolean> {
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
