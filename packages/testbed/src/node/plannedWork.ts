/**
 * A soak of planned work: callers keep using their connections to entry instances that get SIGTERM, SIGHUP and new
 * configurations. The verdict follows the users' rule LOST, by what callers and endpoints see.
 */
import * as fs from 'node:fs'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from './deployedFleet.js'
import * as eventLoopLateness from './eventLoopLateness.js'
import * as keptConnection from './keptConnection.js'
import * as programmableEndpoint from './programmableEndpoint.js'
import * as soakChoices from './soakChoices.js'
import * as soakFleet from './soakFleet.js'

/** The bounds of the users' rule. */
const graceMs = 6000
const lossSlackMs = 200
const configApplyMs = 2000
/** Longer time until a configuration is in force while control replicas restart. */
const maxStretchMs = 5000
const shortNoticeMs = 3000
const lastSixthMs = graceMs * 5 / 6
const afterGraceMs = 1000
/** Time from the last response until a process has ended, with a margin for busy machines. */
const exitMs = 1500
/** Tolerance of the clocks of callers and instances when a deadline is reached. */
const clockToleranceMs = 50
const settleTimeoutMs = 30_000
const reconnectDelayMs = 150
const stampHeader = 'x-rosemaryrack-server-stamp'
const bornAt = 1_778_202_084_000
const internalErrorStatus = 500
const firstServerErrorStatus = 500
const ok = 200

const routeTimeoutsMs = [1500, 3000, 5000, 8000]
const idleTimeoutsMs = [500, 2000, 5000, 15_000]
const endpointIdleTimeoutsMs = [300, 3000, 15_000]
const prefixes = ['/read/', '/work/', '/pay/', '/more/'] as const
const serviceOf = { '/read/': 'diary', '/work/': 'vault', '/pay/': 'till', '/more/': 'diary' } as const
/** Slots of an endpoint; with few of them, requests wait for a slot. */
const slotsOf = { diary: 64, vault: 2, till: 64 } as const

type Prefix = typeof prefixes[number]

/** Size of a soak. */
export interface SoakOptions {
  readonly folder: string
  readonly subnet: number
  readonly entries: number
  readonly connectionsPerEntry: number
  readonly durationMs: number
}

/** A break of the rule. */
export interface Violation {
  readonly kind: 'cut' | 'own answer in place of an endpoint at work' | 'internal error' | 'still running without reason'
  readonly entry: number
  readonly details: string
}

/** Result of one seed. */
export interface SoakResult {
  readonly requests: number
  readonly stops: number
  /** Processes that were killed at the end of their grace period, each with its last request. */
  readonly kills: readonly string[]
  /** Longest time by which the event loop of callers and endpoints was late. */
  readonly longestDelayMs: number
  readonly violations: readonly Violation[]
}

interface Exchange {
  readonly entry: number
  readonly prefix: Prefix
  readonly req: keptConnection.KeptReq
  readonly behaviour: programmableEndpoint.Behaviour
  readonly outcome: keptConnection.KeptOutcome
}

interface Stop {
  readonly entry: number
  readonly at: number
  endedAt: number
  wasKilled: boolean
}

/** A configuration that may have been in force from its sending until some time after a newer one was acknowledged. */
interface Version {
  readonly timeoutsMs: Readonly<Partial<Record<Prefix, number>>>
  readonly from: number
  until: number
}

/** Runs seeds one after the other on one fleet. */
export class PlannedWorkSoak {
  private readonly fleet: deployedFleet.DeployedFleet
  private readonly soakFleet: soakFleet.SoakFleet
  private readonly endpoints: readonly programmableEndpoint.ProgrammableEndpoint[]
  private readonly versions: Version[] = []
  private readonly stoppingEntries = new Set<number>()
  private exchanges: Exchange[] = []
  private stops: Stop[] = []
  private versionNumber = 0
  private readonly lateness = new eventLoopLateness.EventLoopLateness()

  constructor (private readonly options: SoakOptions) {
    this.fleet = new deployedFleet.DeployedFleet(options.folder, options.subnet, 3, options.entries)
    const services = ['diary', 'diary', 'diary', 'vault', 'vault', 'till', 'till'] as const
    this.endpoints = services.map((service, i) => new programmableEndpoint.ProgrammableEndpoint(`i-${i + 1}`, this.fleet.endpointIp(i + 1), service, bornAt, endpointIdleTimeoutsMs[i % endpointIdleTimeoutsMs.length]!, slotsOf[service]))
    this.soakFleet = new soakFleet.SoakFleet(this.fleet, this.endpoints, [['GET', '/read/x'], ['GET', '/work/x'], ['POST', '/pay/x']])
  }

  async start (): Promise<void> {
    await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.listen()))
    await this.soakFleet.start(async () => await this.putConfig(new soakChoices.Choices(0)))
  }

  async dispose (): Promise<void> {
    this.lateness.dispose()
    for (const endpoint of this.endpoints) endpoint.close()
    await this.soakFleet.stop()
  }

  /** Runs planned work and requests for a time, and returns the verdict. */
  async run (seed: number): Promise<SoakResult> {
    this.exchanges = []
    this.stops = []
    this.lateness.clear()
    const endsAt = performance.now() + this.options.durationMs
    const entries = Array.from({ length: this.options.entries }, (_value, i) => i + 1)
    const choicesOf = (stream: number): soakChoices.Choices => new soakChoices.Choices(seed * 1000 + stream)
    const connections = Array.from({ length: entries.length * this.options.connectionsPerEntry }, (_value, i) => i)
    await Promise.all([
      ...entries.map(async (entry) => await this.workOnEntry(entry, choicesOf(entry), endsAt)),
      ...connections.map(async (i) => await this.keepCalling(1 + i % entries.length, choicesOf(100 + i), endsAt)),
      this.changeConfigs(choicesOf(50), endsAt),
      this.restartControls(choicesOf(51), endsAt)
    ])
    const result = this.judge()
    for (const endpoint of this.endpoints) endpoint.runs.clear()
    await this.soakFleet.settle()
    return result
  }

  // ---- Planned work ----

  /** Sends SIGTERM and SIGHUP to an entry; after SIGTERM it is killed at the end of the grace period, and started again. */
  private async workOnEntry (entry: number, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    await async.sleep(choices.between(0, graceMs))
    while (performance.now() < endsAt) {
      const reloadAfterMs = choices.between(0, graceMs / 2)
      if (choices.oneIn(3)) {
        this.reload(entry)
        await async.sleep(reloadAfterMs)
      } else {
        const reload = choices.oneIn(3) ? async.sleep(reloadAfterMs).then(() => this.reload(entry)) : undefined
        await this.stopEntry(entry)
        await reload
        this.fleet.startEntry(entry)
        await this.waitUntilReady(entry)
      }
      await async.sleep(choices.between(0, graceMs / 2))
    }
  }

  /** Sends SIGHUP to a process that has started, after its settings file has been written anew. */
  private reload (entry: number): void {
    const file = `${this.options.folder}/entry-${entry}.toml`
    fs.writeFileSync(file, fs.readFileSync(file))
    const child = this.fleet.process(`entry-${entry}`)
    if (child.isRunning) process.kill(child.pid, 'SIGHUP')
  }

  private async stopEntry (entry: number): Promise<void> {
    const child = this.fleet.process(`entry-${entry}`)
    const stop: Stop = { entry, at: performance.now(), endedAt: Infinity, wasKilled: false }
    this.stops.push(stop)
    this.stoppingEntries.add(entry)
    child.sendSignal('stop')
    const timer = setTimeout(() => {
      stop.wasKilled = true
      child.sendSignal('kill')
    }, graceMs)
    await child.exited
    clearTimeout(timer)
    stop.endedAt = performance.now()
    this.stoppingEntries.delete(entry)
  }

  private async waitUntilReady (entry: number): Promise<void> {
    await this.fleet.waitFor(`entry ${entry} to be ready`, settleTimeoutMs, async () => await this.fleet.isReady(entry))
  }

  private async changeConfigs (choices: soakChoices.Choices, endsAt: number): Promise<void> {
    while (performance.now() < endsAt) {
      await async.sleep(choices.between(100, 3000))
      await this.putConfig(choices)
    }
  }

  private async putConfig (choices: soakChoices.Choices): Promise<boolean> {
    const kept = choices.oneIn(2) ? prefixes : prefixes.filter((prefix) => prefix !== '/more/')
    const timeoutsMs = Object.fromEntries(kept.map((prefix) => [prefix, choices.pick(routeTimeoutsMs)]))
    const routes = kept.map((prefix) => ({ ...deployedFleet.createRoute(prefix.slice(1, -1), prefix, serviceOf[prefix], prefix === '/pay/' ? 'unsafe' : 'safe'), TimeoutMs: timeoutsMs[prefix] }))
    const config = { ...deployedFleet.createConfig(++this.versionNumber, routes), Limits: { IdleTimeoutMs: choices.pick(idleTimeoutsMs) } }
    const previous = this.versions.at(-1)
    const version: Version = { timeoutsMs, from: performance.now(), until: Infinity }
    this.versions.push(version)
    const control = choices.between(1, this.fleet.controls)
    const isAcknowledged = (await this.fleet.putConfig(control, config)).status === ok
    if (isAcknowledged && previous !== undefined) {
      for (const older of this.versions.slice(0, -1)) older.until = Math.min(older.until, performance.now() + configApplyMs + maxStretchMs)
    }
    return isAcknowledged
  }

  /** Restarts one control replica at a time, so that the others keep a quorum. */
  private async restartControls (choices: soakChoices.Choices, endsAt: number): Promise<void> {
    while (performance.now() < endsAt) {
      await async.sleep(choices.between(1000, graceMs))
      const number = choices.between(1, this.fleet.controls)
      const child = this.fleet.process(`control-${number}`)
      if (choices.oneIn(2)) {
        process.kill(child.pid, 'SIGHUP')
        continue
      }
      child.sendSignal('stop')
      await child.exited
      this.fleet.startControl(number, false)
      await this.fleet.waitFor(`replica ${number} to serve reads`, settleTimeoutMs, async () => (await this.fleet.getConfig(number)).status === ok)
    }
  }

  // ---- Callers ----

  private async keepCalling (entry: number, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    const connection = new keptConnection.KeptConnection(this.fleet.callersAddress(entry))
    while (performance.now() < endsAt) {
      const prefix = choices.pick(['/read/', '/read/', '/work/', '/work/', '/pay/', '/more/'] as const)
      const behaviour = soakChoices.chooseBehaviour(choices)
      const req = soakChoices.chooseReq(choices, prefix, behaviour)
      const thinkMs = choices.between(0, 300)
      const outcome = await connection.send(req)
      this.exchanges.push({ entry, prefix, req, behaviour, outcome })
      await async.sleep(outcome.result === 'unconnected' ? reconnectDelayMs : thinkMs)
    }
    connection.close()
  }

  // ---- Verdict ----

  private judge (): SoakResult {
    const violations = this.exchanges.flatMap((exchange) => {
      const kind = this.findViolation(exchange)
      return kind === undefined ? [] : [{ kind, entry: exchange.entry, details: this.describe(exchange) }]
    })
    const kills = this.stops.filter(({ wasKilled }) => wasKilled)
    for (const stop of kills.filter((each) => !this.hadReasonToStay(each))) {
      violations.push({ kind: 'still running without reason', entry: stop.entry, details: this.describeLast(stop) })
    }
    return { requests: this.exchanges.length, stops: this.stops.length, kills: kills.map((stop) => this.describeLast(stop)), longestDelayMs: Math.round(this.lateness.longestMs), violations }
  }

  private findViolation (exchange: Exchange): Violation['kind'] | undefined {
    const { outcome } = exchange
    const { result, headers } = outcome
    if (result === 'cut') return this.isLost(exchange) ? 'cut' : undefined
    if (typeof result !== 'number' || headers[stampHeader] !== undefined) return undefined
    if (result === internalErrorStatus) return 'internal error'
    return result >= firstServerErrorStatus && this.hasBrokenOff(exchange) ? 'own answer in place of an endpoint at work' : undefined
  }

  private isLost (exchange: Exchange): boolean {
    const { sentAt, endedAt } = exchange.outcome
    if (sentAt === undefined) return false
    const runs = this.runsOf(exchange)
    if (runs.length === 0 && endedAt - sentAt - this.lateness.within(sentAt, endedAt) <= lossSlackMs) return false
    if (runs.at(-1)?.end === 'broke-off') return false
    return !this.hasTimedOut(exchange) && !this.outlivesGrace(exchange)
  }

  /** Returns whether an endpoint was at work after SIGTERM until the load balancer broke off the request. */
  private hasBrokenOff (exchange: Exchange): boolean {
    const stop = this.stopOf(exchange)
    if (stop === undefined || this.hasTimedOut(exchange) || this.outlivesGrace(exchange)) return false
    return this.runsOf(exchange).some((run) => run.end !== 'responded' && run.end !== 'broke-off' && (run.endedAt ?? Infinity) >= stop.at)
  }

  private runsOf ({ req }: Exchange): readonly programmableEndpoint.Run[] {
    return this.endpoints.flatMap((endpoint) => endpoint.runs.get(req.requestId) ?? []).sort((a, b) => a.startedAt - b.startedAt)
  }

  private stopOf ({ entry, outcome }: Exchange): Stop | undefined {
    return this.stops.find((stop) => stop.entry === entry && outcome.endedAt >= stop.at && outcome.startedAt <= stop.endedAt && outcome.endedAt <= stop.endedAt + afterGraceMs)
  }

  private hasTimedOut ({ prefix, req, outcome }: Exchange): boolean {
    const { startedAt, endedAt } = outcome
    const timeouts = this.versions.filter(({ from, until }) => from <= endedAt && until >= startedAt).map(({ timeoutsMs }) => timeoutsMs[prefix] ?? Infinity)
    return endedAt - startedAt >= Math.min(req.deadlineMs, ...timeouts) - clockToleranceMs
  }

  /** Returns whether an endpoint was still at work in the last sixth of the grace period on a request that was sent early enough. */
  private outlivesGrace (exchange: Exchange): boolean {
    const stop = this.stopOf(exchange)
    if (stop === undefined || (exchange.outcome.sentAt ?? Infinity) > stop.at + shortNoticeMs) return false
    return this.runsOf(exchange).some(({ endedAt }) => (endedAt ?? Infinity) >= stop.at + lastSixthMs)
  }

  /** Returns whether a request was unanswered shortly before the process was killed. */
  private hadReasonToStay (stop: Stop): boolean {
    return this.requestsOf(stop).some(({ outcome }) => outcome.endedAt >= stop.at + graceMs - exitMs)
  }

  /** Returns the requests that an entry had or got during its shutdown. */
  private requestsOf (stop: Stop): readonly Exchange[] {
    return this.exchanges.filter((exchange) => exchange.outcome.sentAt !== undefined && exchange.outcome.result !== 'unconnected' && this.stopOf(exchange) === stop)
  }

  /** Describes the last request of a process that was killed. */
  private describeLast (stop: Stop): string {
    const last = [...this.requestsOf(stop)].sort((a, b) => a.outcome.endedAt - b.outcome.endedAt).at(-1)
    return `entry ${stop.entry}, SIGTERM on ${new Date(performance.timeOrigin + stop.at).toISOString()}, its last request: ${last === undefined ? 'none' : this.describe(last)}`
  }

  private describe (exchange: Exchange): string {
    const { req, outcome, behaviour } = exchange
    const stop = this.stopOf(exchange)
    const origin = stop?.at ?? outcome.startedAt
    const at = (time: number | undefined): string => time === undefined ? '-' : `${Math.round(time - origin)}`
    const runs = this.runsOf(exchange).map((run) => `${run.endpoint} ${at(run.startedAt)}..${at(run.endedAt)} ${run.end ?? 'at work'}`)
    return `${req.requestId} ${req.method} ${req.path} deadline ${req.deadlineMs} ${behaviour.ending} ${stop === undefined ? 'from its start' : 'from SIGTERM'}: started ${at(outcome.startedAt)}, sent ${at(outcome.sentAt)}, ` +
      `${outcome.result} at ${at(outcome.endedAt)}${stop?.wasKilled === true ? `, SIGKILL at ${graceMs}` : ''}; reused ${outcome.isReused}; runs [${runs.join(', ')}] ${outcome.error ?? outcome.body.slice(0, 200)}`
  }
}
