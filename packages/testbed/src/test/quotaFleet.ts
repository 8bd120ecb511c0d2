/** Simulates, in virtual time, entry instances that share the quotas of workspaces through a ledger. */
import * as protobuf from '@bufbuild/protobuf'
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as quotaLedger from '@rosemaryrack/control/common/quotaLedger.js'
import * as quotaClient from '@rosemaryrack/entry/node/quotaClient.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as workspaceQuotas from '@rosemaryrack/routing/common/workspaceQuotas.js'
import * as virtualClock from '../common/bench/virtualClock.js'

const msPerSecond = 1000
const oneWayMs = 2
const failureMs = 700
const deadlineMs = 5000
/** Time after the last request until each has an outcome. */
const drainMs = 5000
const windowMs = 5000
/** Share of its quota that a workspace usually sends. */
const usualShare = 0.6
export const surgeFactor = 7.5
const movedEveryMs = 2000
const instancesOfMovingCallers = 5

/** A period of the simulation. */
export interface Period {
  readonly fromMs: number
  readonly toMs: number
}

/** What happens in a simulation. */
export interface QuotaCase {
  readonly instances: number
  /** Quota of each workspace; the burst is that of one second. */
  readonly rates: readonly number[]
  readonly callers: 'even' | 'skewed' | 'moving'
  readonly seed: number
  readonly durationMs: number
  /** Index of the workspace that asks more than usual, and when. */
  readonly surge?: Period & { readonly workspace: number }
  /** Time without a leader; the next one has a new ledger. */
  readonly lostLeader?: Period
  /** Instances that do not reach the control replicas. */
  readonly cutOff?: Period & { readonly instances: number }
  /** One instance after the other is restarted at this interval. */
  readonly restartEveryMs?: number
  /** The quota of a workspace is halved. */
  readonly lowered?: { readonly workspace: number, readonly atMs: number }
  /** True for callers whose requests would all fit into one bucket for all instances. */
  readonly staysBelowQuota?: boolean
  /** Part of the admitted requests that run a second time 100 ms later. */
  readonly repeatShare?: number
}

/** What callers and control replicas got. */
export interface QuotaResult {
  /** Times of the requests that ran, per workspace. */
  readonly runs: ReadonlyArray<readonly number[]>
  readonly sent: readonly number[]
  readonly overQuota: readonly number[]
  readonly notRun: readonly number[]
  readonly messages: number
  readonly bytes: number
  /** Times of refused requests, with the `Retry-After` in milliseconds. */
  readonly retries: ReadonlyArray<{ readonly at: number, readonly afterMs: number }>
}

/** Runs a case. */
export class QuotaFleet {
  private readonly clock = new virtualClock.VirtualClock()
  private readonly random: () => number
  private readonly instances: workspaceQuotas.WorkspaceQuotas[]
  private readonly documents: { readonly usual: configDocument.ConfigDocument, readonly lowered: configDocument.ConfigDocument }
  private ledger: quotaLedger.QuotaLedger
  private readonly result
  private readonly buckets: Array<{ tokens: number, at: number }>

  constructor (private readonly options: QuotaCase) {
    const generator = xoroshiro.xoroshiro128plus(options.seed)
    this.random = () => float.uniformFloat64(generator)
    const zeros = (): number[] => options.rates.map(() => 0)
    this.result = { runs: options.rates.map((): number[] => []), sent: zeros(), overQuota: zeros(), notRun: zeros(), messages: 0, bytes: 0, retries: [] as Array<{ readonly at: number, readonly afterMs: number }> }
    this.documents = { usual: this.createDocument((i) => options.rates[i]!), lowered: this.createDocument((i) => options.rates[i]! / (i === options.lowered?.workspace ? 2 : 1)) }
    this.ledger = new quotaLedger.QuotaLedger(this.clock)
    this.instances = Array.from({ length: options.instances }, (_, i) => this.createInstance(i))
    this.buckets = options.rates.map(() => ({ tokens: 0, at: 0 }))
  }

  play (): QuotaResult {
    const { rates, lostLeader, restartEveryMs, durationMs } = this.options
    for (let workspace = 0; workspace < rates.length; workspace++) this.scheduleArrival(workspace)
    if (lostLeader !== undefined) this.clock.after(lostLeader.toMs, () => { this.ledger = new quotaLedger.QuotaLedger(this.clock) })
    if (restartEveryMs !== undefined) this.scheduleRestart(0, restartEveryMs)
    this.clock.runUntil(durationMs + drainMs)
    return this.result
  }

  private createDocument (rateOf: (i: number) => number): configDocument.ConfigDocument {
    const workspaces = Object.fromEntries(this.options.rates.map((_, i) => [`w-${i}`, { apiKeys: [`key-${i}`], ratePerSecond: rateOf(i), burst: rateOf(i) }]))
    const check = configDocument.checkDocument({ lanes: {}, workspaces })
    if (!check.ok) throw new Error(check.problems.join('; '))
    return check.document
  }

  private get document (): configDocument.ConfigDocument {
    const { lowered } = this.options
    return lowered !== undefined && this.clock.now() >= lowered.atMs ? this.documents.lowered : this.documents.usual
  }

  private createInstance (index: number): workspaceQuotas.WorkspaceQuotas {
    const source = { request: (uses: readonly workspaceQuotas.QuotaUse[], done: (grants: readonly workspaceQuotas.QuotaGrant[] | undefined) => void) => this.exchange(index, uses, done) }
    return new workspaceQuotas.WorkspaceQuotas(source, () => this.options.instances, { next: this.random }, this.clock)
  }

  private exchange (index: number, uses: readonly workspaceQuotas.QuotaUse[], done: (grants: readonly workspaceQuotas.QuotaGrant[] | undefined) => void): void {
    const req = quotaClient.encodeRequest({ instance: `entry-${index}`, incarnation: 1_700_000_000_000 }, 1, uses)
    this.clock.after(oneWayMs, () => {
      if (!this.reachesLeader(index)) {
        this.clock.after(failureMs, () => done(undefined))
        return
      }
      const res = this.ledger.grant(req, this.document)
      this.result.messages++
      this.result.bytes += protobuf.toBinary(inner.QuotaReqSchema, req).length + protobuf.toBinary(inner.QuotaResSchema, res).length
      this.clock.after(oneWayMs, () => done(res.grants))
    })
  }

  private reachesLeader (index: number): boolean {
    const { lostLeader, cutOff } = this.options
    return !this.isWithin(lostLeader) && !(this.isWithin(cutOff) && index < cutOff!.instances)
  }

  private isWithin (period: Period | undefined): boolean {
    const now = this.clock.now()
    return period !== undefined && now >= period.fromMs && now < period.toMs
  }

  private scheduleRestart (index: number, everyMs: number): void {
    this.clock.after(everyMs, () => {
      this.instances[index]!.dispose()
      this.instances[index] = this.createInstance(index)
      this.scheduleRestart((index + 1) % this.options.instances, everyMs)
    })
  }

  private scheduleArrival (workspace: number): void {
    const { surge, rates } = this.options
    const factor = surge?.workspace === workspace && this.isWithin(surge) ? surgeFactor : 1
    this.clock.after(-Math.log(1 - this.random()) * msPerSecond / (rates[workspace]! * usualShare * factor), () => {
      if (this.clock.now() > this.options.durationMs) return
      this.scheduleArrival(workspace)
      if (this.options.staysBelowQuota !== true || this.fitsQuota(workspace)) this.arrive(workspace)
    })
  }

  /** Counts a request in a bucket that is one request smaller than the quota, since messages take a few milliseconds. */
  private fitsQuota (workspace: number): boolean {
    const bucket = this.buckets[workspace]!
    const rate = this.options.rates[workspace]!
    const now = this.clock.now()
    bucket.tokens = Math.min(rate - 1, bucket.tokens + rate * (now - bucket.at) / msPerSecond)
    bucket.at = now
    if (bucket.tokens < 1) return false
    bucket.tokens--
    return true
  }

  private arrive (workspace: number): void {
    const { result, instances, documents } = this
    const name = `w-${workspace}`
    result.sent[workspace]!++
    const instance = instances[this.chooseInstance(workspace)]!
    const now = this.clock.now()
    instance.take({ name, workspace: documents.usual.workspaces![name]! }, now + deadlineMs, (outcome) => {
      if (outcome.admitted) return this.run(workspace, instance)
      const { fault } = outcome
      if (fault.kind === 'over-quota') {
        result.overQuota[workspace]!++
        result.retries.push({ at: this.clock.now(), afterMs: fault.retryAfterS * msPerSecond })
      } else result.notRun[workspace]!++
    })
  }

  private run (workspace: number, instance: workspaceQuotas.WorkspaceQuotas): void {
    const runs = this.result.runs[workspace]!
    runs.push(this.clock.now())
    if (this.random() >= (this.options.repeatShare ?? 0)) return
    this.clock.after(100, () => {
      runs.push(this.clock.now())
      instance.recordRun(`w-${workspace}`)
    })
  }

  private chooseInstance (workspace: number): number {
    const { callers, instances } = this.options
    const value = this.random()
    if (callers === 'skewed') return (workspace * 37 + Math.floor(instances * value ** 4)) % instances
    if (callers === 'moving') return (workspace * 37 + Math.floor(this.clock.now() / movedEveryMs) * instancesOfMovingCallers + Math.floor(value * instancesOfMovingCallers)) % instances
    return Math.floor(value * instances)
  }
}

/** Returns the largest number of runs in any window, relative to what the quota rule allows, from a time on. */
export function findWorstUse (runs: readonly number[], rate: number, fromMs = 0): number {
  const limit = (rate * windowMs / msPerSecond + rate) * 1.1 + 20
  const times = runs.filter((at) => at >= fromMs)
  let worst = 0
  let first = 0
  times.forEach((at, last) => {
    while (at - times[first]! >= windowMs) first++
    worst = Math.max(worst, (last - first + 1) / limit)
  })
  return worst
}

/** Returns quotas from 5 to 209 requests per second, which add up to 1.6 times 650. */
export function createRates (): readonly number[] {
  return Array.from({ length: 86 }, (_, i) => Math.round(5 + 204 * (i / 85) ** 28))
}
