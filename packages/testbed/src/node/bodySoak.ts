/**
 * A soak of request bodies: endpoints reject, fail or lose long requests before, amid and after their bodies, while callers leave, connections
 * are reset and processes end or freeze. The verdict follows the users' rules UNASKED, TWICE, REFUSED and MIXED, by what callers send and
 * get and what endpoints get.
 */
import * as crypto from 'node:crypto'
import * as async from '@rosemaryrack/base/common/async.js'
import * as bodyEndpoint from './bodyEndpoint.js'
import * as byteConnection from './byteConnection.js'
import type * as byteSteps from './byteSteps.js'
import * as byteVerdict from './byteVerdict.js'
import * as disruptedFleet from './disruptedFleet.js'
import type * as soakChoices from './soakChoices.js'

const reconnectDelayMs = 150
/** Time after its deadline at which a caller gives up. */
const patienceMs = 2000
const callersHost = 'jepu9.example'
/** Length from which an entry doesn't receive a body before the first attempt. */
const longBytes = 65_536
const maxBytes = 400_000
const shortMaxBytes = 4000
const maxChunkBytes = 50_000
const maxBodyMs = 1500
/** Statuses that state that a request has not run and never will. */
const promises: readonly number[] = [408, 421, 429, 503]
const ok = 200

/** A break of a rule. */
export interface Violation {
  readonly kind: 'request changed' | 'unsafe request ran twice' | 'unsafe request ran despite its status' | 'response mixed'
  readonly details: string
}

/** Result of one seed. */
export interface SoakResult {
  readonly requests: number
  readonly runs: number
  /** Long requests that were served after an endpoint had rejected them. */
  readonly longServedAfterRejection: number
  readonly kills: number
  /** Outcomes by the last endpoint's plan or the way in which the caller left. */
  readonly outcomes: readonly string[]
  /** Longest time by which the event loop of callers and endpoints was late. */
  readonly longestDelayMs: number
  readonly violations: readonly Violation[]
}

/** How a caller sends a request. */
interface Sending {
  readonly bytes: number
  readonly isChunked: boolean
  readonly pace: 'at once' | 'slowly' | 'in odd pieces'
  readonly leaves: 'end' | 'reset' | undefined
}

interface Exchange {
  readonly entry: number
  readonly requestId: string
  readonly isUnsafe: boolean
  readonly sending: Sending
  readonly outcome: byteConnection.ByteOutcome
}

/** Runs seeds one after the other on one fleet. */
export class BodySoak {
  private readonly record = new bodyEndpoint.BodyRecord()
  readonly fleet: disruptedFleet.DisruptedFleet
  private exchanges: Exchange[] = []

  constructor (options: disruptedFleet.SoakOptions) {
    this.fleet = new disruptedFleet.DisruptedFleet(options, {
      services: ['diary', 'diary', 'diary', 'till', 'till', 'till'],
      createEndpoint: (id, host, service) => new bodyEndpoint.BodyEndpoint(id, host, service, this.record).endpoint,
      calls: [['POST', `/read${bodyEndpoint.unrecordedPath}`], ['POST', `/pay${bodyEndpoint.unrecordedPath}`]],
      hasFreezes: true
    })
  }

  /** Runs requests and disruptions for a time, and returns the verdict. */
  async run (seed: number): Promise<SoakResult> {
    this.exchanges = []
    await this.fleet.run(seed, async (address, entry, choices, endsAt) => await this.keepCalling(address, entry, choices, endsAt))
    await this.fleet.settle()
    return this.judge()
  }

  // ---- Callers ----

  private async keepCalling (address: string, entry: number, choices: soakChoices.Choices, endsAt: number): Promise<void> {
    const connection = new byteConnection.ByteConnection(address)
    while (performance.now() < endsAt) {
      const requestId = crypto.randomBytes(8).toString('hex')
      const isUnsafe = choices.oneIn(2)
      const sending = chooseSending(choices)
      const deadlineMs = choices.pick(disruptedFleet.routeTimeoutsMs)
      const body = bodyEndpoint.createReqBody(requestId, sending.bytes)
      const requestTarget = `/${isUnsafe ? 'pay' : 'read'}/${requestId}?${bodyEndpoint.toQuery([choosePlan(choices, 2), choosePlan(choices, 5)])}`
      this.record.sent.set(requestId, { method: 'POST', requestTarget, bytes: body.length })
      const head = `POST ${requestTarget} HTTP/1.1\r\nHost: ${callersHost}\r\nX-Rosemaryrack-Request-Id: ${requestId}\r\nX-Rosemaryrack-Deadline-Ms: ${deadlineMs}\r\n`
      const steps = createSteps(choices, head, body, sending)
      const thinkMs = choices.between(0, 100)
      const outcome = await connection.send(steps, deadlineMs + patienceMs)
      this.exchanges.push({ entry, requestId, isUnsafe, sending, outcome })
      await async.sleep(outcome.result === 'unconnected' ? reconnectDelayMs : thinkMs)
    }
    connection.close()
  }

  // ---- Verdict ----

  private judge (): SoakResult {
    const violations: Violation[] = this.record.faults.splice(0).map((details) => ({ kind: 'request changed', details }))
    const tally = new byteVerdict.OutcomeTally()
    let runs = 0
    let longServedAfterRejection = 0
    for (const exchange of this.exchanges) {
      const { requestId, isUnsafe, sending: { bytes, leaves }, outcome: { result } } = exchange
      const arrivals = this.arrivalsOf(exchange)
      const runCount = arrivals.filter(({ hasRun }) => hasRun).length
      const status = typeof result === 'string' ? undefined : result.status
      const mixed = byteVerdict.findMixed(requestId, bodyEndpoint.responseBytes, result)
      const report = (kind: Violation['kind'], reason: string): void => { violations.push({ kind, details: `${reason}${this.describe(exchange)}` }) }
      if (mixed !== undefined) report('response mixed', `${mixed}; `)
      if (isUnsafe && runCount > 1) report('unsafe request ran twice', '')
      if (isUnsafe && runCount > 0 && status !== undefined && promises.includes(status)) report('unsafe request ran despite its status', '')
      if (status === ok && bytes >= longBytes && arrivals.some(({ plan }) => bodyEndpoint.isRejection(plan))) longServedAfterRejection++
      runs += runCount
      const plan = arrivals.at(-1)?.plan
      tally.add(leaves === undefined ? plan === undefined ? 'no endpoint' : `${plan.action} at ${plan.at}` : `caller left by ${leaves}`, byteVerdict.nameResult(result))
    }
    return { requests: this.exchanges.length, runs, longServedAfterRejection, kills: this.fleet.kills.length, outcomes: tally.format(), longestDelayMs: Math.round(this.fleet.lateness.longestMs), violations }
  }

  private arrivalsOf ({ requestId }: Exchange): readonly bodyEndpoint.Arrival[] {
    return this.record.arrivals.get(requestId) ?? []
  }

  private describe (exchange: Exchange): string {
    const { entry, requestId, isUnsafe, sending: { bytes, isChunked, pace, leaves }, outcome: { result, startedAt, endedAt } } = exchange
    const arrivals = this.arrivalsOf(exchange).map(({ endpoint, plan, hasRun, isComplete, bytes: got }) => `${endpoint} ${bodyEndpoint.namePlan(plan)} ${hasRun ? 'ran' : 'not run'} ${got} bytes${isComplete ? '' : ', incomplete'}`)
    return `${requestId} ${isUnsafe ? 'unsafe' : 'safe'} at entry ${entry}: ${bytes} bytes ${isChunked ? 'in chunks' : 'with a length'}, sent ${pace}${leaves === undefined ? '' : `, left by ${leaves}`}: ` +
      `${byteVerdict.nameResult(result)} after ${Math.round(endedAt - startedAt)} ms, began ${new Date(performance.timeOrigin + startedAt).toISOString()}; arrivals [${arrivals.join('; ')}]`
  }
}

function chooseSending (choices: soakChoices.Choices): Sending {
  const sizes = [longBytes - 1, longBytes, longBytes + 1, 0, choices.between(1, shortMaxBytes), choices.between(longBytes, maxBytes)]
  return {
    bytes: choices.oneIn(4) ? choices.between(0, maxBytes) : choices.pick(sizes),
    isChunked: choices.oneIn(2),
    pace: choices.pick(['at once', 'at once', 'slowly', 'in odd pieces'] as const),
    leaves: choices.oneIn(10) ? choices.pick(['end', 'reset'] as const) : undefined
  }
}

/** @param oneIn one in how many requests may not be served. */
function choosePlan (choices: soakChoices.Choices, oneIn: number): bodyEndpoint.Plan {
  const reading = choices.pick(bodyEndpoint.readings)
  if (!choices.oneIn(oneIn)) return { at: 'end', action: '200', reading: choices.oneIn(3) ? 'slowly' : 'quickly' }
  const action = choices.pick(choices.oneIn(2) ? ['503', '503', '429', '421'] as const : bodyEndpoint.actions)
  return { at: action === '200' ? 'end' : choices.pick(bodyEndpoint.moments), action, reading }
}

/** Returns the parts of a request as its caller writes them. */
function createSteps (choices: soakChoices.Choices, head: string, body: Buffer, { isChunked, pace, leaves }: Sending): readonly byteSteps.Step[] {
  const req = isChunked
    ? Buffer.concat([Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`), ...inChunks(choices, body), Buffer.from('0\r\n\r\n')])
    : Buffer.concat([Buffer.from(`${head}Content-Length: ${body.length}\r\n\r\n`), body])
  const sent = leaves === undefined ? req : req.subarray(0, choices.between(head.length, req.length - 1))
  const pieces = pace === 'at once' ? [sent] : inPieces(choices, sent, choices.between(2, pace === 'slowly' ? 10 : 40))
  const pauseMs = pace === 'slowly' ? choices.between(0, maxBodyMs) / pieces.length : pace === 'in odd pieces' ? 1 : 0
  return [...pieces.flatMap((piece) => [piece, pauseMs]), ...leaves === undefined ? [] : [leaves]]
}

function inChunks (choices: soakChoices.Choices, body: Buffer): readonly Buffer[] {
  const chunks: Buffer[] = []
  for (let at = 0; at < body.length;) {
    const chunk = body.subarray(at, at + choices.between(1, maxChunkBytes))
    chunks.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'))
    at += chunk.length
  }
  return chunks
}

function inPieces (choices: soakChoices.Choices, data: Buffer, count: number): readonly Buffer[] {
  const ends = Array.from({ length: count - 1 }, () => choices.between(0, data.length)).sort((a, b) => a - b)
  return [...ends, data.length].map((end, i) => data.subarray(ends[i - 1] ?? 0, end))
}
