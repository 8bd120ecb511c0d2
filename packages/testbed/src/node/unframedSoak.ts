/**
 * A soak of responses without a length: endpoints cut them, respond twice or lose responses, while connections are reset and processes end.
 * The verdict follows the users' rule MIXED, by what callers get and what endpoints have sent.
 */
import * as crypto from 'node:crypto'
import * as async from '@rosemaryrack/base/common/async.js'
import * as byteConnection from './byteConnection.js'
import * as byteEndpoint from './byteEndpoint.js'
import * as byteVerdict from './byteVerdict.js'
import * as disruptedFleet from './disruptedFleet.js'
import type * as soakChoices from './soakChoices.js'

const reconnectDelayMs = 150
/** Time after its deadline at which a caller gives up. */
const patienceMs = 2000
const callersHost = 'jepu9.example'
const minBytes = 300
/** More than an entry holds of a response. */
const maxBytes = 600_000
const usualBytes = 4000
/** Longer than an entry holds a response. */
const maxBodyMs = 1800
const ok = 200
/** A late second response would arrive within the bodies of the others; endpoints serve one request at a time on a connection. */
const kinds = byteEndpoint.kinds.filter((kind) => kind !== 'framed-slow' && kind !== 'chunked-slow')

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
  /** Outcomes by the kind of the endpoint's last response, such as `unframed: 200 chunks 12, cut 1`. */
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

/** Runs seeds one after the other on one fleet. */
export class UnframedSoak {
  private readonly runs = new Map<string, byteEndpoint.Run[]>()
  readonly fleet: disruptedFleet.DisruptedFleet
  private exchanges: Exchange[] = []

  constructor (options: disruptedFleet.SoakOptions) {
    this.fleet = new disruptedFleet.DisruptedFleet(options, {
      services: ['diary', 'diary', 'diary', 'diary', 'till', 'till'],
      createEndpoint: (id, host, service) => new byteEndpoint.ByteEndpoint(id, host, service, this.runs).endpoint,
      calls: [['GET', '/read/x'], ['POST', '/pay/x']],
      hasFreezes: false
    })
  }

  /** Runs requests and disruptions for a time, and returns the verdict. */
  async run (seed: number): Promise<SoakResult> {
    this.exchanges = []
    this.runs.clear()
    await this.fleet.run(seed, async (address, entry, choices, endsAt) => await this.keepCalling(address, entry, choices, endsAt))
    const result = this.judge()
    await this.fleet.settle()
    return result
  }

  // ---- Callers ----

  private async keepCalling (address: string, entry: number, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    const connection = new byteConnection.ByteConnection(address)
    while (performance.now() < endsAt) {
      const requestId = crypto.randomBytes(8).toString('hex')
      const isUnsafe = choices.oneIn(4)
      const script = chooseScript(choices)
      const deadlineMs = choices.pick(disruptedFleet.routeTimeoutsMs)
      const [start, end] = isUnsafe ? ['POST /pay', '\r\nContent-Length: 4\r\n\r\nbody'] : ['GET /read', '\r\n\r\n']
      const version = choices.oneIn(4) ? '1.0' : '1.1'
      const text = `${start}/x?${byteEndpoint.toQuery(script)} HTTP/${version}\r\nHost: ${callersHost}\r\nX-Rosemaryrack-Request-Id: ${requestId}\r\nX-Rosemaryrack-Deadline-Ms: ${deadlineMs}${end}`
      const thinkMs = choices.between(0, 100)
      const outcome = await connection.send([Buffer.from(text)], deadlineMs + patienceMs)
      this.exchanges.push({ entry, requestId, isUnsafe, script, outcome })
      await async.sleep(outcome.result === 'unconnected' ? reconnectDelayMs : thinkMs)
    }
    connection.close()
  }

  // ---- Verdict ----

  private judge (): SoakResult {
    const violations: Violation[] = []
    const tally = new byteVerdict.OutcomeTally()
    let wholeUnframed = 0
    for (const exchange of this.exchanges) {
      const { result } = exchange.outcome
      const mixed = byteVerdict.findMixed(exchange.requestId, exchange.script.bytes, result)
      const runs = this.runsOf(exchange)
      if (mixed !== undefined) violations.push({ kind: mixed === 'another request id' ? mixed : 'not the whole body', details: `${mixed}; ${this.describe(exchange)}` })
      else if (isSuccess(result) && runs.at(-1)?.kind.startsWith('unframed') === true) wholeUnframed++
      if (exchange.isUnsafe && runs.length > 1) violations.push({ kind: 'unsafe request ran twice', details: this.describe(exchange) })
      tally.add(runs.at(-1)?.kind ?? 'no run', `${byteVerdict.nameResult(result)}${mixed === undefined ? '' : ` (${mixed})`}`)
    }
    return { requests: this.exchanges.length, wholeUnframed, kills: this.fleet.kills.length, outcomes: tally.format(), longestDelayMs: Math.round(this.fleet.lateness.longestMs), violations }
  }

  private runsOf ({ requestId }: Exchange): readonly byteEndpoint.Run[] {
    return this.runs.get(requestId) ?? []
  }

  private describe (exchange: Exchange): string {
    const { entry, requestId, isUnsafe, script, outcome: { result, startedAt, endedAt } } = exchange
    const bytes = typeof result === 'string' ? '-' : `${result.body.length}`
    const runs = this.runsOf(exchange).map(({ endpoint, kind }) => `${endpoint} ${kind}`)
    const kills = this.fleet.kills.filter((kill) => kill.at >= startedAt - disruptedFleet.graceMs && kill.at <= endedAt).map((kill) => `entry ${kill.entry} at ${Math.round(kill.at - startedAt)}`)
    return `${requestId} ${isUnsafe ? 'unsafe' : 'safe'} at entry ${entry}: ${byteVerdict.nameResult(result)} with ${bytes} of ${script.bytes} bytes after ${Math.round(endedAt - startedAt)} ms, ` +
      `began ${new Date(performance.timeOrigin + startedAt).toISOString()}; runs [${runs.join(', ')}]; killed [${kills.join(', ')}]`
  }
}

function isSuccess (result: byteConnection.ByteOutcome['result']): boolean {
  return typeof result !== 'string' && result.status === ok
}

function chooseScript (choices: soakChoices.Choices): byteEndpoint.Script {
  const chooseKind = (): byteEndpoint.Kind => choices.oneIn(2) ? choices.pick(['framed', 'framed', 'unframed', 'unframed-slow'] as const) : choices.pick(kinds)
  return {
    kinds: [chooseKind(), chooseKind()],
    bytes: choices.oneIn(4) ? choices.between(minBytes, maxBytes) : choices.between(minBytes, usualBytes),
    bodyMs: choices.between(300, maxBodyMs)
  }
}
