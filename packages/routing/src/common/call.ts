/** One caller's request on its way: attempts, retries, a hedge, and one final outcome. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as balancingPolicy from './balancingPolicy.js'
import type * as budget from './budget.js'
import * as callFault from './callFault.js'
import type * as deathWatch from './deathWatch.js'
import type * as dispatcher from './dispatcher.js'
import type * as domainPreference from './domainPreference.js'
import type * as laneLatency from './laneLatency.js'
import * as lateCalls from './lateCalls.js'
import * as loadProbing from './loadProbing.js'
import * as timeBudget from './timeBudget.js'
import type * as requestIdentity from './requestIdentity.js'
import * as requestStanding from './requestStanding.js'
import type * as transport from './transport.js'

/** Endpoints that may have run a call without telling: one that crashes targets takes no more of them. */
const maxUncertainRuns = 2
const tryShareOfDeadline = 0.5
const retryableStatuses: readonly number[] = [500, 502, 503, 504]
const firstServerError = 500

/** The request as decisions need it. */
export interface CallSpec {
  readonly requestId: string
  readonly laneName: string
  readonly lane: configDocument.Lane
  /** When the caller's request came. */
  readonly arrivedAt: number
  readonly deadlineAt: number
  readonly identity: requestIdentity.IRequestIdentity
  /** True while the body can be sent again from its start. */
  readonly replayable: () => boolean
  /** Endpoints that are not asked. */
  readonly avoid?: readonly string[]
}

export interface CallDeps {
  /** Asks endpoints for their load before a call is sent to one; missing where they don't tell it. */
  readonly probing?: { readonly deps: loadProbing.ProbingDeps, readonly options: loadProbing.ProbingOptions } | undefined
  readonly dispatcher: dispatcher.Dispatcher
  readonly transport: transport.ITransport
  readonly suspects: suspectTable.ISuspects
  readonly deaths: deathWatch.IDeathWatch
  readonly budgets: budget.LaneBudgets
  readonly latency: laneLatency.LaneLatency
  readonly domains: domainPreference.DomainPreference
  readonly decisions: decisionLog.IDecisionLog
  readonly clock: clock.IClock
  readonly random: balancingPolicy.IRandom
}

/** The attempt whose answer the caller gets. */
export interface CallAnswer {
  readonly attempt: transport.IAttempt
  readonly endpoint: endpointTable.Endpoint
  readonly head: transport.AnswerHead
}

/** Takes the outcome: exactly one of the two is called, once. */
export interface ICallListener {
  onAnswer(answer: CallAnswer): void
  onRefused(fault: errors.Fault): void
}

interface RunningAttempt {
  readonly placement: dispatcher.Placement
  readonly startedAt: number
  handle: transport.IAttempt | undefined
  cancelLimit: () => void
}

/** Runs from `start` until its outcome; `cancel` when the caller has gone. */
export class Call {
  private readonly running = new Set<RunningAttempt>()
  private readonly tried = new Set<string>()
  private readonly suspect: boolean
  private cancelDeadline = (): void => {}
  private cancelHedge = (): void => {}
  private withdrawAsk = (): void => {}
  private cancelProbe = (): void => {}
  private attempts = 0
  /** Attempts that certainly reached no target. */
  private unsent = 0
  private waiting = false
  private uncertainRuns = 0
  /** A run ended by a failure of the target's own, which was dropped for another try. */
  private hasDroppedAnswer = false
  private silent = false
  /** A retry was taken from the budget before it was known to be needed. */
  private retryGranted = false
  private settled = false

  constructor (private readonly spec: CallSpec, private readonly deps: CallDeps, private readonly listener: ICallListener) {
    for (const endpoint of spec.avoid ?? []) this.tried.add(endpoint)
    this.suspect = this.standing !== 'clear'
  }

  start (): void {
    this.cancelDeadline = this.deps.clock.after(this.spec.deadlineAt - this.deps.clock.now(), () => this.deadlinePassed())
    if (this.times.mayYield) this.askLater('route', lateCalls.firstWaitMs(this.typicalMs, this.deps.random))
    else this.askForSlot('route')
  }

  /** Ends all attempts without an outcome. */
  cancel (): void {
    if (this.settled) return
    this.settle()
    this.record({ event: 'cancel', why: 'the caller went away' })
  }

  private get standing (): suspectTable.Standing {
    return requestStanding.standingOf(this.deps.suspects, this.spec.identity)
  }

  private get typicalMs (): number {
    return this.deps.latency.typicalMs(this.spec.lane, this.deps.dispatcher.typicalLatencyMs)
  }

  private get ask (): dispatcher.Ask {
    const { lane, deadlineAt } = this.spec
    const typicalMs = this.typicalMs
    const factors = this.deps.domains.factors(this.deps.probing !== undefined)
    return { lane, priority: lane.priority, deadlineAt, typicalMs, ...factors, suspect: this.suspect, exclude: this.tried }
  }

  private get times (): timeBudget.TimeBudget {
    return timeBudget.timeBudgetOf(this.spec.lane, { ...this.spec, now: this.deps.clock.now() }, this.typicalMs)
  }

  private askLater (event: 'route' | 'retry', ms: number): void {
    this.waiting = true
    this.withdrawAsk = this.deps.clock.after(ms, () => this.askForSlot(event))
  }

  private askForSlot (event: 'route' | 'retry'): void {
    if (this.standing === 'quarantined') {
      this.refuse(requestStanding.quarantinedFault())
      return
    }
    this.waiting = true
    this.withdrawAsk = this.deps.dispatcher.acquire(this.ask, (outcome) => {
      this.waiting = false
      if (outcome.placed) this.probeThenStart(event, outcome.placement)
      else this.refuse(outcome.fault)
    })
  }

  private probeThenStart (event: 'route' | 'retry' | 'hedge', placement: dispatcher.Placement): void {
    const { probing } = this.deps
    if (probing === undefined) {
      this.startAttempt(event, placement)
      return
    }
    this.waiting = true
    const probe = new loadProbing.LoadProbe(probing.deps, this.times, (choice) => {
      this.waiting = false
      if (choice.kind === 'busy') this.yieldSlot(event)
      else if (choice.kind === 'placed') this.startAttempt(event, { ...choice.placement, why: `${placement.why}; ${choice.why}` })
      else this.refuse(callFault.overloadedFault(choice))
    })
    this.cancelProbe = () => probe.cancel()
    probe.start(placement, this.ask, probing.options)
  }

  /** A hedge that finds no free slot is left out, unless the attempt that it was to help has failed meanwhile. */
  private yieldSlot (event: 'route' | 'retry' | 'hedge'): void {
    if (event === 'hedge' && this.running.size > 0) return
    this.askLater(event === 'route' ? event : 'retry', lateCalls.againMs(this.typicalMs, this.deps.random))
  }

  private startAttempt (event: 'route' | 'retry' | 'hedge', placement: dispatcher.Placement): void {
    const { endpoint, considered, candidates, why, waitedMs } = placement
    this.record({ event, considered, candidates, choice: endpoint.endpoint, why, waitedMs: Math.round(waitedMs) })
    this.attempts++
    this.tried.add(endpoint.endpoint)
    const attempt: RunningAttempt = { placement, startedAt: this.deps.clock.now(), handle: undefined, cancelLimit: () => {} }
    this.running.add(attempt)
    attempt.handle = this.deps.transport.start(endpoint, {
      onHead: (head) => this.headArrived(attempt, head),
      onFailure: (failure) => this.attemptFailed(attempt, failure),
      onBodyEnd: () => placement.release()
    }, this.silent || event === 'hedge')
    this.limitTry(attempt)
    if (event === 'route') this.scheduleHedge()
  }

  /** An idempotent call leaves part of its deadline for another try when nothing is heard. */
  private limitTry (attempt: RunningAttempt): void {
    const { clock } = this.deps
    if (!this.spec.lane.idempotent || !this.mayRunAgain) return
    const limitMs = (this.spec.deadlineAt - clock.now()) * tryShareOfDeadline
    attempt.cancelLimit = clock.after(limitMs, () => this.tryLimitPassed(attempt, limitMs))
  }

  private tryLimitPassed (attempt: RunningAttempt, limitMs: number): void {
    // With a hedge under way or without a retry left no other run may follow, so giving this one up would gain nothing.
    if (!this.running.has(attempt) || this.settled || this.running.size > 1 || !this.mayRetry()) return
    this.retryGranted = true
    this.silent = true
    attempt.handle?.abandon()
    this.attemptFailed(attempt, { kind: 'silent', message: `nothing was heard for ${Math.round(limitMs)} ms` })
  }

  // ---- Answers ----

  private headArrived (attempt: RunningAttempt, received: transport.AnswerHead): void {
    const shed = this.spec.lane.shedStatuses.includes(received.status)
    const head = shed ? { ...received, notRun: true } : received
    this.ended(attempt)
    this.noteHead(attempt, head)
    if (this.settled) return
    if (head.notRun) {
      attempt.handle?.cancel()
      attempt.placement.release()
      this.tryAgain(`the target shed it with status ${head.status}`)
    } else if (this.worthAnotherTry(head)) {
      attempt.handle?.cancel()
      attempt.placement.release()
      this.hasDroppedAnswer = true
      this.record({ event: 'discard', choice: attempt.placement.endpoint.endpoint, why: `status ${head.status}` })
      if (!this.hasOtherTry) this.askForSlot('retry')
    } else {
      this.answer(attempt, head)
    }
  }

  private ended (attempt: RunningAttempt): void {
    attempt.cancelLimit()
    this.running.delete(attempt)
  }

  private noteHead (attempt: RunningAttempt, head: transport.AnswerHead): void {
    const now = this.deps.clock.now()
    this.deps.deaths.noteAnswer(attempt.placement.endpoint, attempt.startedAt)
    if (head.notRun || head.status >= firstServerError) {
      attempt.placement.stats.failed(now)
      return
    }
    const latencyMs = now - attempt.startedAt
    const { dispatcher, latency } = this.deps
    // Lanes of one service take different times: an endpoint is slow only against the lane's own.
    const relative = latencyMs / this.typicalMs
    attempt.placement.stats.succeeded(relative * dispatcher.typicalLatencyMs, now)
    dispatcher.noteLatency(latencyMs, latency.hasOwnTypical(this.spec.lane) ? relative : 1)
    latency.note(latencyMs, this.spec.lane)
    this.deps.deaths.noteSuccess(this.spec.identity)
    if (this.deps.suspects.size > 0) this.deps.suspects.reportSuccess(this.spec.identity.fingerprint)
  }

  private worthAnotherTry (head: transport.AnswerHead): boolean {
    if (!this.spec.lane.idempotent || !retryableStatuses.includes(head.status)) return false
    return this.hasOtherTry || this.mayRetry()
  }

  private answer (attempt: RunningAttempt, head: transport.AnswerHead): void {
    this.settle()
    this.deps.decisions.remember({
      requestId: this.spec.requestId,
      lane: this.spec.laneName,
      event: 'answer',
      choice: attempt.placement.endpoint.endpoint,
      status: head.status,
      attempts: this.attempts,
      ms: Math.round(this.deps.clock.now() - attempt.startedAt),
      why: 'first answer'
    })
    this.listener.onAnswer({ attempt: attempt.handle!, endpoint: attempt.placement.endpoint, head })
  }

  // ---- Failures ----

  private attemptFailed (attempt: RunningAttempt, failure: transport.AttemptFailure): void {
    this.ended(attempt)
    this.noteFailure(attempt, failure.kind)
    attempt.placement.release()
    if (this.settled) return
    const why = `${failure.kind}: ${failure.message}`
    if (failure.kind === 'refused' || failure.kind === 'not-written') {
      this.unsent++
      this.tryAgain(why)
      return
    }
    this.uncertainRuns++
    if (failure.kind === 'lost') this.checkDeath(attempt.placement, why)
    else if (this.spec.lane.idempotent) this.tryAgain(why)
    else this.giveUp(why)
  }

  private noteFailure ({ placement, startedAt }: RunningAttempt, kind: transport.AttemptFailure['kind']): void {
    if (kind === 'refused') {
      this.noteRefused(placement)
      return
    }
    placement.stats.failed(this.deps.clock.now())
    if (kind === 'not-written') return
    this.deps.deaths.noteLoss(placement.endpoint, { fingerprint: this.spec.identity.fingerprint, startedAt, kind })
  }

  private noteRefused ({ endpoint, stats }: dispatcher.Placement): void {
    stats.refused(this.deps.clock.now())
    this.deps.deaths.noteRefused(endpoint)
  }

  /** A request whose target died may be the cause, so it gets no second try by itself. */
  private checkDeath (placement: dispatcher.Placement, why: string): void {
    const { transport, deaths, budgets, clock } = this.deps
    const { endpoint } = placement
    const askedAt = clock.now()
    transport.replaceConnection(endpoint, () => budgets.measuring.take(), (health) => {
      if (health === 'dead') this.noteRefused(placement)
      if (health === 'alive') deaths.noteAnswer(endpoint, askedAt)
      if (this.settled) return
      if (health === 'dead') this.giveUp(`${why}; the target died`)
      else if (this.spec.lane.idempotent) this.tryAgain(why)
      else this.giveUp(why)
    })
  }

  private tryAgain (why: string): void {
    if (this.hasOtherTry) return
    if (!this.mayRetry()) {
      this.giveUp(why)
      return
    }
    this.record({ event: 'failed', attempts: this.attempts, why })
    this.askForSlot('retry')
  }

  private get mayRunAgain (): boolean {
    return this.attempts - this.unsent < this.spec.lane.maxAttempts && this.uncertainRuns + this.running.size < maxUncertainRuns
  }

  /** Another attempt runs, or is about to be sent once an endpoint is chosen. */
  private get hasOtherTry (): boolean {
    return this.running.size > 0 || this.waiting
  }

  /** Spends a retry when it says yes. */
  private mayRetry (): boolean {
    if (!this.mayRunAgain || !this.spec.replayable()) return false
    if (this.uncertainRuns > 0 && (this.suspect || !this.spec.lane.idempotent)) return false
    if (!this.retryGranted) return this.deps.budgets.retries.take()
    this.retryGranted = false
    return true
  }

  private giveUp (why: string): void {
    if (this.hasOtherTry) return
    this.refuse(this.finalFault(why, false))
  }

  private get mayHaveRun (): boolean {
    return this.uncertainRuns > 0 || this.hasDroppedAnswer
  }

  private finalFault (why: string, timedOut: boolean): errors.Fault {
    return callFault.finalFault(why, { mayHaveRun: this.mayHaveRun, timedOut, idempotent: this.spec.lane.idempotent, typicalMs: this.typicalMs })
  }

  private refuse (fault: errors.Fault): void {
    if (this.settled || this.running.size > 0) return
    const final = this.mayHaveRun ? this.finalFault(fault.message, false) : fault
    this.settle()
    this.record({ event: 'refuse', choice: final.kind, attempts: this.attempts, why: final.message })
    this.listener.onRefused(final)
  }

  private deadlinePassed (): void {
    if (this.settled) return
    for (const attempt of this.running) {
      const written = attempt.handle?.written !== false
      if (written) this.uncertainRuns++
      this.noteFailure(attempt, written ? 'silent' : 'not-written')
      attempt.handle?.abandon()
    }
    const fault = this.finalFault('the deadline passed', true)
    this.settle()
    this.record({ event: 'refuse', choice: fault.kind, attempts: this.attempts, why: fault.message })
    this.listener.onRefused(fault)
  }

  /** Ends all that is still under way but the attempt that won. */
  private settle (): void {
    this.settled = true
    this.cancelDeadline()
    this.cancelHedge()
    this.withdrawAsk()
    this.cancelProbe()
    for (const attempt of this.running) {
      attempt.cancelLimit()
      attempt.handle?.cancel()
      attempt.placement.release()
    }
    this.running.clear()
  }

  // ---- Hedge ----

  private scheduleHedge (): void {
    if (!this.spec.lane.idempotent || this.suspect) return
    this.cancelHedge = this.deps.clock.after(this.deps.latency.hedgeDelayMs(this.spec.lane, this.deps.dispatcher.typicalLatencyMs), () => this.hedge())
  }

  private hedge (): void {
    if (this.settled || this.running.size !== 1 || !this.mayRunAgain || !this.spec.replayable()) return
    if (this.standing !== 'clear') return
    const placement = this.deps.dispatcher.acquireSpare(this.ask)
    if (placement === undefined) return
    if (!this.deps.budgets.hedges.take()) {
      placement.release()
      return
    }
    this.probeThenStart('hedge', placement)
  }

  private record (decision: Omit<decisionLog.Decision, 'requestId' | 'lane'> & { readonly event: string, readonly why: string }): void {
    this.deps.decisions.record({ requestId: this.spec.requestId, lane: this.spec.laneName, ...decision })
  }
}
