/**
 * A soak of responses without a length: endpoints cut them, respond twice or lose responses, while connections are reset and processes end.
 * The verdict follows the users' rule MIXED, by what callers get and what endpoints have sent.
 */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as async from '@rosemaryrack/base/common/async.js'
import * as byteConnection from './byteConnection.js'
import * as byteEndpoint from './byteEndpoint.js'
import * as deployedFleet from './deployedFleet.js'
import * as eventLoopLateness from './eventLoopLateness.js'
import * as soakChoices from './soakChoices.js'
import * as soakFleet from './soakFleet.js'

const graceMs = 6000
const settleTimeoutMs = 30_000
const reconnectDelayMs = 150
/** Time after its deadline at which a caller gives up. */
const patienceMs = 2000
/** Time after the end of a process until a caller has seen the end of its connection. */
const closeNoticeMs = 500
const bornAt = 1_778_202_084_000
const callersHost = 'jepu9.example'
const idHeader = 'x-rosemaryrack-request-id'
const idHeaderLine = 'X-Rosemaryrack-Request-Id: '
const stampHeader = 'x-rosemaryrack-server-stamp'
const ok = 200
const firstRedirectStatus = 300
const minBytes = 300
const maxBytes = 200_000
const usualBytes = 4000
const routeTimeoutsMs = [1500, 3000]
const idleTimeoutsMs = [500, 2000, 15_000]

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
  readonly kind: 'another request id' | 'not the whole body' | 'unsafe request ran twice'
  readonly details: string
}

/** Result of one seed. */
export interface SoakResult {
  readonly requests: number
  /** Responses without a length that arrived whole. */
  readonly wholeUnframed: number
  readonly kills: number
  /** Responses without a length that were in transit in an instance when it got SIGKILL: the kernel closes their connections in order. */
  readonly cutByKill: readonly string[]
  /** Outcomes by the kind of the endpoint's last response, such as `unframed: 200 close-delimited 12, cut 1`. */
  readonly outcomes: readonly string[]
  /** Longest time by which the event loop of callers and endpoints was late. */
  readonly longestDelayMs: number
  readonly violations: readonly Violation[]
}

interface Exchange {
  readonly entry: number
  readonly requestId: string
  readonly isUnsafe: boolean
  readonly script: byteEndpoint.Script
  readonly outcome: byteConnection.ByteOutcome
}

interface Kill {
  readonly entry: number
  readonly at: number
  endedAt: number
}

/** Runs seeds one after the other on one fleet. */
export class UnframedSoak {
  private readonly fleet: deployedFleet.DeployedFleet
  private readonly soakFleet: soakFleet.SoakFleet
  private readonly runs = new Map<string, byteEndpoint.Run[]>()
  private readonly endpoints: readonly byteEndpoint.ByteEndpoint[]
  private readonly lateness = new eventLoopLateness.EventLoopLateness()
  private exchanges: Exchange[] = []
  private kills: Kill[] = []
  private versionNumber = 0

  constructor (private readonly options: SoakOptions) {
    this.fleet = new deployedFleet.DeployedFleet(options.folder, options.subnet, 3, options.entries)
    const services = ['diary', 'diary', 'diary', 'diary', 'till', 'till']
    this.endpoints = services.map((service, i) => new byteEndpoint.ByteEndpoint(`i-${i + 1}`, this.fleet.endpointIp(i + 1), service, bornAt, this.runs))
    this.soakFleet = new soakFleet.SoakFleet(this.fleet, this.endpoints, [['GET', '/read/x'], ['POST', '/pay/x']])
  }

  async start (): Promise<void> {
    await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.start()))
    await this.soakFleet.start(async () => await this.putConfig(new soakChoices.Choices(0)))
  }

  async dispose (): Promise<void> {
    this.lateness.dispose()
    for (const endpoint of this.endpoints) endpoint.stop()
    await this.soakFleet.stop()
  }

  /** Runs requests and disruptions for a time, and returns the verdict. */
  async run (seed: number): Promise<SoakResult> {
    this.exchanges = []
    this.kills = []
    this.runs.clear()
    this.lateness.clear()
    const endsAt = performance.now() + this.options.durationMs
    const choicesOf = (stream: number): soakChoices.Choices => new soakChoices.Choices(seed * 1000 + stream)
    const entries = Array.from({ length: this.options.entries }, (_value, i) => i + 1)
    const connections = Array.from({ length: entries.length * this.options.connectionsPerEntry }, (_value, i) => i)
    await Promise.all([
      ...entries.map(async (entry) => await this.disruptEntry(entry, choicesOf(entry), endsAt)),
      ...this.endpoints.map(async (endpoint, i) => await this.disruptEndpoint(endpoint, choicesOf(20 + i), endsAt)),
      ...connections.map(async (i) => await this.keepCalling(1 + i % entries.length, choicesOf(100 + i), endsAt)),
      this.changeConfigs(choicesOf(50), endsAt)
    ])
    const result = this.judge()
    await this.soakFleet.settle()
    return result
  }

  // ---- Disruptions ----

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
    let kill: Kill | undefined
    if (killsAfterMs > 0) {
      child.sendSignal('stop')
      this.reload(entry)
    }
    const timer = setTimeout(() => {
      kill = { entry, at: performance.now(), endedAt: Infinity }
      this.kills.push(kill)
      child.sendSignal('kill')
    }, killsAfterMs)
    await child.exited
    clearTimeout(timer)
    if (kill !== undefined) kill.endedAt = performance.now()
  }

  private async disruptEndpoint (endpoint: byteEndpoint.ByteEndpoint, choices: soakChoices.Choices, endsAt: number): Promise<void> {
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

  private async putConfig (choices: soakChoices.Choices): Promise<boolean> {
    const timeoutMs = choices.pick(routeTimeoutsMs)
    const routes = [deployedFleet.createRoute('read', '/read/', 'diary', 'safe', timeoutMs), deployedFleet.createRoute('pay', '/pay/', 'till', 'unsafe', timeoutMs)]
    const config = { ...deployedFleet.createConfig(++this.versionNumber, routes), Limits: { IdleTimeoutMs: choices.pick(idleTimeoutsMs) } }
    return (await this.fleet.putConfig(choices.between(1, this.fleet.controls), config)).status === ok
  }

  // ---- Callers ----

  private async keepCalling (entry: number, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    const [host = '', port] = this.fleet.callersAddress(entry).split(':')
    const connection = new byteConnection.ByteConnection(host, Number(port))
    while (performance.now() < endsAt) {
      const requestId = crypto.randomBytes(8).toString('hex')
      const isUnsafe = choices.oneIn(4)
      const script = chooseScript(choices)
      const deadlineMs = choices.pick(routeTimeoutsMs)
      const [start, end] = isUnsafe ? ['POST /pay', '\r\nContent-Length: 4\r\n\r\nbody'] : ['GET /read', '\r\n\r\n']
      const text = `${start}/x?${byteEndpoint.toQuery(script)} HTTP/1.1\r\nHost: ${callersHost}\r\nX-Rosemaryrack-Request-Id: ${requestId}\r\nX-Rosemaryrack-Deadline-Ms: ${deadlineMs}${end}`
      const thinkMs = choices.between(0, 100)
      const outcome = await connection.send(text, deadlineMs + patienceMs)
      this.exchanges.push({ entry, requestId, isUnsafe, script, outcome })
      await async.sleep(outcome.result === 'unconnected' ? reconnectDelayMs : thinkMs)
    }
    connection.close()
  }

  // ---- Verdict ----

  private judge (): SoakResult {
    const violations: Violation[] = []
    const cutByKill: string[] = []
    const tallies = new Map<string, Map<string, number>>()
    let wholeUnframed = 0
    for (const exchange of this.exchanges) {
      const { result } = exchange.outcome
      const mixed = findMixed(exchange)
      if (mixed === undefined) {
        if (typeof result !== 'string' && result.framing === 'close-delimited') wholeUnframed++
      } else if (mixed === 'a part of the body' && this.wasInTransitAtKill(exchange)) {
        cutByKill.push(this.describe(exchange))
      } else {
        violations.push({ kind: mixed === 'another request id' ? mixed : 'not the whole body', details: `${mixed}; ${this.describe(exchange)}` })
      }
      const runs = this.runsOf(exchange)
      if (exchange.isUnsafe && runs.length > 1) violations.push({ kind: 'unsafe request ran twice', details: this.describe(exchange) })
      const kind = runs.at(-1)?.kind ?? 'no run'
      const tally = tallies.get(kind) ?? new Map<string, number>()
      const name = `${nameResult(result)}${mixed === undefined ? '' : ` (${mixed})`}`
      tallies.set(kind, tally.set(name, (tally.get(name) ?? 0) + 1))
    }
    const outcomes = [...tallies].sort().map(([kind, tally]) => `${kind}: ${[...tally].sort().map(([name, count]) => `${name} ${count}`).join(', ')}`)
    return { requests: this.exchanges.length, wholeUnframed, kills: this.kills.length, cutByKill, outcomes, longestDelayMs: Math.round(this.lateness.longestMs), violations }
  }

  private runsOf ({ requestId }: Exchange): readonly byteEndpoint.Run[] {
    return this.runs.get(requestId) ?? []
  }

  private wasInTransitAtKill ({ entry, outcome: { result, startedAt, endedAt } }: Exchange): boolean {
    return typeof result !== 'string' && result.framing === 'close-delimited' &&
      this.kills.some((kill) => kill.entry === entry && startedAt <= kill.at && endedAt >= kill.at && endedAt <= kill.endedAt + closeNoticeMs)
  }

  private describe (exchange: Exchange): string {
    const { entry, requestId, isUnsafe, script, outcome: { result, startedAt, endedAt } } = exchange
    const bytes = typeof result === 'string' ? '-' : `${result.body.length}`
    const runs = this.runsOf(exchange).map(({ endpoint, kind }) => `${endpoint} ${kind}`)
    const kills = this.kills.filter((kill) => kill.at >= startedAt - graceMs && kill.at <= endedAt).map((kill) => `entry ${kill.entry} at ${Math.round(kill.at - startedAt)}`)
    return `${requestId} ${isUnsafe ? 'unsafe' : 'safe'} at entry ${entry}: ${nameResult(result)} with ${bytes} of ${script.bytes} bytes after ${Math.round(endedAt - startedAt)} ms, ` +
      `began ${new Date(performance.timeOrigin + startedAt).toISOString()}; runs [${runs.join(', ')}]; killed [${kills.join(', ')}]`
  }
}

function chooseScript (choices: soakChoices.Choices): byteEndpoint.Script {
  const chooseKind = (): byteEndpoint.Kind => choices.oneIn(2) ? choices.pick(['framed', 'framed', 'unframed', 'unframed-slow'] as const) : choices.pick(byteEndpoint.kinds)
  return {
    kinds: [chooseKind(), chooseKind()],
    bytes: choices.oneIn(4) ? choices.between(minBytes, maxBytes) : choices.between(minBytes, usualBytes),
    bodyMs: choices.between(300, 800)
  }
}

/** Returns in which way a response that looks complete isn't the endpoint's whole response to its request; undefined if it is or fails. */
function findMixed ({ requestId, script, outcome: { result } }: Exchange): string | undefined {
  if (typeof result === 'string') return undefined
  const { status, headers, body } = result
  if ((headers[idHeader] ?? requestId) !== requestId) return 'another request id'
  if (status < ok || status >= firstRedirectStatus) return undefined
  const whole = byteEndpoint.createBody(requestId, headers[stampHeader] ?? '', script.bytes)
  if (body.equals(whole)) return undefined
  if (whole.subarray(0, body.length).equals(body)) return 'a part of the body'
  if (body.subarray(0, whole.length).equals(whole)) return 'more than the body'
  return body.includes(idHeaderLine) ? 'a response to another request within the body' : 'another body'
}

function nameResult (result: byteConnection.ByteOutcome['result']): string {
  return typeof result === 'string' ? result : `${result.status} ${result.framing}`
}
