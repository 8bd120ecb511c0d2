/** Runs one caller's request: chooses endpoints, starts attempts, retries and a hedge, and reports one final outcome. */
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as callFault from './callFault.js'
import * as callHedge from './callHedge.js'
import * as callProgress from './callProgress.js'
import type * as callSpec from './callSpec.js'
import * as lateCalls from './lateCalls.js'
import * as loadProbing from './loadProbing.js'
import * as timeLimits from './timeLimits.js'
import * as quarantine from './quarantine.js'
import * as responseStats from './responseStats.js'
import * as runningAttempt from './runningAttempt.js'
import type * as slotAssignment from './slotAssignment.js'
import type * as transport from './transport.js'

/**
 * Maximum number of attempts of one call that may have run without a response. It limits how many targets one
 * request can crash.
 */
const maxUncertainAttempts = 2
/** Share of the time left until the deadline after which an attempt without a response is given up for a retry. */
const attemptTimeoutShare = 0.5
/** Interval at which an attempt that has timed out checks whether a choice of an endpoint has ended, in milliseconds. */
const choiceRecheckMs = 20
/** Shortest time after which a time-out is checked again while an attempt waits for the caller to send more of the body, in milliseconds. */
const minBodyRecheckMs = 20
const retryableStatuses: readonly number[] = [500, 502, 503, 504]

/** Runs a call from `start` until its outcome, or until `cancel` when the caller has disconnected. */
export class Call {
  private readonly runningAttempts = new Set<runningAttempt.RunningAttempt>()
  private readonly triedEndpoints = new Set<string>()
  private readonly isSuspect: boolean
  private cancelDeadline = (): void => {}
  private cancelSlotRequest = (): void => {}
  private selection: loadProbing.EndpointSelection | undefined
  private attempts = 0
  private firstStartedAt = Infinity
  /** Number of attempts that certainly did not reach a target. */
  private unsentAttempts = 0
  /** True while an attempt is delayed, waits for a slot or waits for load probes. */
  private isChoosingEndpoint = false
  /** Number of attempts that ended without a response and may have run. */
  private uncertainAttempts = 0
  /** True once the error response of a target has been discarded in favour of another attempt. */
  private hasDiscardedResponse = false
  /** The attempt that has timed out without a response; later attempts use new connections. */
  private timedOutAttempt: runningAttempt.RunningAttempt | undefined
  /** True while a retry has been taken from the budget but not started yet. */
  private hasReservedRetry = false
  private isSettled = false
  private readonly hedge: callHedge.CallHedge

  constructor (private readonly spec: callSpec.CallSpec, private readonly deps: callSpec.CallDeps, private readonly listener: callSpec.ICallListener) {
    for (const endpoint of spec.excludedEndpoints ?? []) this.triedEndpoints.add(endpoint)
    this.isSuspect = this.suspectStatus !== 'clear'
    this.hedge = new callHedge.CallHedge(spec, deps, {
      state: () => ({ hasOneAttempt: !this.isSettled && this.runningAttempts.size === 1 && !this.isChoosingEndpoint, canRunAgain: this.canRunAgain, slotRequest: this.slotRequest }),
      start: (placement) => this.probeAndStart('hedge', placement),
      stop: (attempt) => this.stopHedge(attempt)
    })
  }

  start (): void {
    this.cancelDeadline = this.deps.clock.after(this.spec.deadlineAt - this.deps.clock.now(), () => this.onDeadline())
    if (this.timeLimits.shouldWaitForFreeSlot) this.requestSlotAfter('route', lateCalls.initialDelayMs(this.laneTypicalLatencyMs, this.deps.random))
    else this.requestSlot('route')
  }

  /** Cancels all attempts without reporting an outcome. */
  cancel (why = 'the caller disconnected'): void {
    if (this.isSettled) return
    this.settle()
    this.record({ event: 'cancel', why })
  }

  /** What the call has done so far, for a decision to run it elsewhere. */
  get progress (): callProgress.CallProgress {
    return callProgress.computeProgress(this.mayHaveRun, this.attempts - this.unsentAttempts, this.firstStartedAt, this.runningAttempts)
  }

  private get suspectStatus (): suspectTable.SuspectStatus {
    return quarantine.getSuspectStatus(this.deps.suspects, this.spec.identity)
  }

  /** Typical latency of the lane, unlike that of the service in `dispatcher.typicalLatencyMs`. */
  private get laneTypicalLatencyMs (): number {
    return this.deps.latency.typicalMs(this.spec.lane, this.deps.dispatcher.typicalLatencyMs)
  }

  private get slotRequest (): slotAssignment.SlotRequest {
    const { lane, workspace, connection, arrivedAt, deadlineAt, body } = this.spec
    const typicalMs = this.laneTypicalLatencyMs
    const factors = this.deps.domainPreference.factors(this.deps.probing !== undefined)
    const targetAt = lane.targetLatencyMs === undefined ? undefined : arrivedAt + lane.targetLatencyMs
    return { lane, priority: workspace?.workspace.priority ?? lane.priority, flow: workspace?.name ?? connection, deadlineAt, targetAt, typicalMs, ...factors, isSuspect: this.isSuspect, excludedEndpoints: this.triedEndpoints, body }
  }

  private get timeLimits (): timeLimits.TimeLimits {
    return timeLimits.computeTimeLimits(this.spec.lane, { ...this.spec, now: this.deps.clock.now(), givesWay: this.deps.dispatcher.givesWay(this.slotRequest) }, this.laneTypicalLatencyMs)
  }

  private requestSlotAfter (event: 'route' | 'retry', ms: number): void {
    this.isChoosingEndpoint = true
    this.cancelSlotRequest = this.deps.clock.after(ms, () => this.requestSlot(event))
  }

  private requestSlot (event: 'route' | 'retry'): void {
    if (this.suspectStatus === 'quarantined') {
      this.endWithFault(quarantine.quarantinedFault())
      return
    }
    this.isChoosingEndpoint = true
    this.cancelSlotRequest = this.deps.dispatcher.acquire(this.slotRequest, (outcome) => {
      this.isChoosingEndpoint = false
      if (outcome.placed) this.probeAndStart(event, outcome.placement)
      else this.endWithFault(outcome.fault)
    })
  }

  private probeAndStart (event: 'route' | 'retry' | 'hedge', placement: slotAssignment.Placement): void {
    const { probing } = this.deps
    // A probe is a request too, which would use up another permit.
    if (probing === undefined || placement.isPermitted) return this.startAttempt(event, placement)
    this.isChoosingEndpoint = true
    this.selection = new loadProbing.EndpointSelection(probing.deps, this.timeLimits, (choice) => {
      this.isChoosingEndpoint = false
      this.selection = undefined
      if (event === 'hedge' && this.runningAttempts.size > 0 && this.hedge.mustGiveWay(choice)) return
      if (choice.kind === 'no-free-slot') this.handleNoFreeSlot(event)
      else if (choice.kind === 'placed') this.startAttempt(event, { ...choice.placement, why: `${placement.why}; ${choice.why}` })
      else this.endWithFault(callFault.overloadedFault(choice))
    })
    this.selection.start(placement, this.slotRequest, probing.options)
  }

  /**
   * Requests a slot again after a delay when none of the probed endpoints has a free one. A hedge is dropped instead, unless
   * the attempt that it backs up has failed meanwhile.
   */
  private handleNoFreeSlot (event: 'route' | 'retry' | 'hedge'): void {
    if (event === 'hedge' && this.runningAttempts.size > 0) return
    this.requestSlotAfter(event === 'route' ? event : 'retry', lateCalls.slotRequestDelayMs(this.laneTypicalLatencyMs, this.deps.random))
  }

  private startAttempt (event: 'route' | 'retry' | 'hedge', chosen: slotAssignment.Placement): void {
    const placement = this.hedge.trackSlot(chosen)
    const { endpoint, considered, candidates, why, waitedMs } = placement
    if (event === 'retry') {
      this.hasReservedRetry = false
      // The attempt that has timed out may still get a response.
      if (this.runningAttempts.size > 0 && this.deps.transport.canStart === false) return placement.release()
      this.abandonTimedOutAttempt()
    }
    this.record({ event, considered, candidates, choice: endpoint.endpoint, why, waitedMs: Math.round(waitedMs) })
    this.attempts++
    if (this.mayHaveRun || this.runningAttempts.size > 0) this.spec.onRepeat?.()
    this.triedEndpoints.add(endpoint.endpoint)
    this.deps.dispatcher.recordSend(placement)
    const attempt: runningAttempt.RunningAttempt = { placement, startedAt: this.deps.clock.now(), handle: undefined, cancelTimeout: () => {} }
    this.firstStartedAt = Math.min(this.firstStartedAt, attempt.startedAt)
    this.hedge.recordStart(event, attempt, this.runningAttempts.size > 0)
    this.runningAttempts.add(attempt)
    attempt.handle = this.deps.transport.start(endpoint, {
      onHead: (head) => this.onHead(attempt, head),
      tryHoldBack: (head) => this.tryHoldBack(attempt, head),
      onFailure: (failure) => this.onAttemptFailed(attempt, failure),
      onBodyEnd: () => placement.release()
    }, this.timedOutAttempt !== undefined || event === 'hedge')
    this.scheduleAttemptTimeout(attempt)
    if (event === 'route' && !this.isSuspect) this.hedge.schedule()
  }

  /** Limits an attempt of an idempotent call to a part of the remaining time, so that a retry can follow. */
  private scheduleAttemptTimeout (attempt: runningAttempt.RunningAttempt, minMs = 0): void {
    const { clock } = this.deps
    if (!this.spec.lane.idempotent || !this.canRunAgain) return
    const timeoutMs = Math.max(minMs, (this.spec.deadlineAt - clock.now()) * attemptTimeoutShare)
    attempt.cancelTimeout = clock.after(timeoutMs, () => this.onAttemptTimeout(attempt, timeoutMs))
  }

  /** Requests a slot for a retry. The attempt goes on until the retry starts, since its target may be at work and no slot may become free. */
  private onAttemptTimeout (attempt: runningAttempt.RunningAttempt, timeoutMs: number): void {
    // While a hedge is in flight or when no retry is left, no other attempt can follow.
    if (!this.runningAttempts.has(attempt) || this.isSettled || this.runningAttempts.size > 1) return
    // The target has not got the whole request.
    if (this.spec.body.awaitsCaller) return this.scheduleAttemptTimeout(attempt, minBodyRecheckMs)
    // A hedge whose endpoint is being chosen may not start.
    if (this.isChoosingEndpoint) attempt.cancelTimeout = this.deps.clock.after(choiceRecheckMs, () => this.onAttemptTimeout(attempt, timeoutMs))
    if (this.isChoosingEndpoint || !this.takeRetry()) return
    this.hasReservedRetry = true
    this.timedOutAttempt = attempt
    this.record({ event: 'timeout', choice: attempt.placement.endpoint.endpoint, why: `no response within ${Math.round(timeoutMs)} ms; a retry replaces the attempt once it can start` })
    // The slot is for calls that are in time; the target is at work on one more call meanwhile.
    attempt.placement.release()
    this.requestSlot('retry')
  }

  /** Ends the attempt that timed out, if it is still running, because its retry starts. */
  private abandonTimedOutAttempt (): void {
    const attempt = this.timedOutAttempt
    if (attempt === undefined || !this.runningAttempts.has(attempt)) return
    const written = attempt.handle?.written !== false
    attempt.handle?.abandon()
    this.hedge.recordFirstAttempt(attempt)
    this.removeAttempt(attempt)
    this.recordFailure(attempt, written ? 'silent' : 'not-written')
    attempt.placement.release()
    if (written) this.uncertainAttempts++
    else this.unsentAttempts++
  }

  // ---- Responses ----

  private onHead (attempt: runningAttempt.RunningAttempt, received: transport.ResponseHead): void {
    const head = this.spec.lane.shedStatuses.includes(received.status) ? { ...received, notRun: true } : received
    this.removeAttempt(attempt, head)
    responseStats.recordHead(attempt, head, this.spec, this.deps, this.laneTypicalLatencyMs)
    if (this.isSettled) return
    if (head.notRun) {
      attempt.handle?.cancel()
      attempt.placement.release()
      this.retry(`the target shed the request with status ${head.status}`)
    } else if (this.tryReplaceResponse(head)) {
      attempt.handle?.cancel()
      attempt.placement.release()
      this.record({ event: 'discard', choice: attempt.placement.endpoint.endpoint, why: `status ${head.status}` })
    } else {
      this.deliverResponse(attempt, head)
    }
  }

  /** Holds back a response that would be delivered; no other attempt is needed meanwhile. A retry that was requested already replaces the attempt. */
  private tryHoldBack (attempt: runningAttempt.RunningAttempt, { status }: transport.ResponseHead): boolean {
    const { lane } = this.spec
    const isReplaceable = lane.shedStatuses.includes(status) || (lane.idempotent && retryableStatuses.includes(status))
    if (this.isSettled || isReplaceable || attempt === this.timedOutAttempt) return false
    attempt.respondedAt = this.deps.clock.now()
    attempt.cancelTimeout()
    this.hedge.cancelSchedule()
    return true
  }

  private removeAttempt (attempt: runningAttempt.RunningAttempt, head?: transport.ResponseHead): void {
    attempt.cancelTimeout()
    this.hedge.recordEnd(attempt, head)
    this.runningAttempts.delete(attempt)
  }

  /** Returns whether an error response is discarded, because another attempt is in flight or a retry starts instead. */
  private tryReplaceResponse (head: transport.ResponseHead): boolean {
    if (!this.spec.lane.idempotent || !retryableStatuses.includes(head.status)) return false
    const hadDiscardedResponse = this.hasDiscardedResponse
    // The retry may start at once, and counts as a repeat.
    this.hasDiscardedResponse = true
    if (this.runningAttempts.size > 0 || this.tryStartRetry(`status ${head.status}`)) return true
    this.hasDiscardedResponse = hadDiscardedResponse
    return false
  }

  /** Starts an attempt whose endpoint is being probed, or a retry if an endpoint has a slot for it now and the budget allows it. */
  private tryStartRetry (why: string): boolean {
    if (this.selection !== undefined) {
      this.selection.chooseNow(why)
      return true
    }
    if (this.isChoosingEndpoint || !this.canRetry || this.deps.transport.canStart === false) return false
    const placement = this.deps.dispatcher.acquireNow(this.slotRequest)
    if (placement === undefined) return false
    const isAllowed = this.takeRetry()
    if (isAllowed) this.startAttempt('retry', placement)
    else placement.release()
    return isAllowed
  }

  private deliverResponse (attempt: runningAttempt.RunningAttempt, head: transport.ResponseHead): void {
    this.settle(attempt)
    this.deps.decisions.recordWithoutLogging({
      requestId: this.spec.requestId,
      lane: this.spec.laneName,
      event: 'answer',
      choice: attempt.placement.endpoint.endpoint,
      status: head.status,
      attempts: this.attempts,
      ms: Math.round(this.deps.clock.now() - attempt.startedAt),
      why: 'first response'
    })
    this.listener.onResponse({ attempt: attempt.handle!, endpoint: attempt.placement.endpoint, head })
  }

  // ---- Failures ----

  private onAttemptFailed (attempt: runningAttempt.RunningAttempt, failure: transport.AttemptFailure): void {
    this.removeAttempt(attempt)
    const isCallersFault = this.spec.body.fault !== undefined && failure.kind !== 'refused'
    if (!isCallersFault) this.recordFailure(attempt, failure.kind)
    attempt.placement.release()
    if (this.isSettled) return
    const why = `${failure.kind}: ${failure.message}`
    if (failure.kind === 'refused' || failure.kind === 'not-written') {
      this.unsentAttempts++
      this.retry(why)
      return
    }
    this.uncertainAttempts++
    if (isCallersFault) this.failUnlessOtherAttempt(why)
    else if (failure.kind === 'lost') this.checkTargetCrash(attempt.placement, why)
    else if (this.spec.lane.idempotent) this.retry(why)
    else this.failUnlessOtherAttempt(why)
  }

  private recordFailure ({ placement, startedAt }: runningAttempt.RunningAttempt, kind: transport.AttemptFailure['kind']): void {
    if (kind === 'refused') return this.recordConnectionRefused(placement)
    placement.stats.recordFailure(this.deps.clock.now())
    if (kind === 'not-written') return
    this.deps.crashDetector.recordUnansweredAttempt(placement.endpoint, { fingerprint: this.spec.identity.fingerprint, startedAt, kind })
  }

  /** @param done called with whether the target has crashed, once this is known. */
  private recordConnectionRefused ({ endpoint, stats }: slotAssignment.Placement, done?: (hasCrashed: boolean) => void): void {
    stats.recordConnectionRefused(this.deps.clock.now())
    this.deps.crashDetector.recordConnectionRefused(endpoint, done)
  }

  /**
   * Checks with a new connection whether the target has crashed. If it has, the call is not retried, because the request may
   * be the cause of the crash.
   */
  private checkTargetCrash (placement: slotAssignment.Placement, why: string): void {
    const { transport, crashDetector: detector, budgets, clock } = this.deps
    const { endpoint } = placement
    const checkedAt = clock.now()
    const proceed = (hasCrashed: boolean): void => {
      if (this.isSettled) return
      if (this.spec.lane.idempotent && !hasCrashed) this.retry(why)
      else this.failUnlessOtherAttempt(hasCrashed ? `${why}; the target crashed` : why)
    }
    transport.checkTarget(endpoint, () => budgets.healthChecks.take(), (health) => {
      if (health === 'up') detector.recordRunning(endpoint, checkedAt)
      if (health === 'down') this.recordConnectionRefused(placement, proceed)
      else proceed(false)
    })
  }

  /** Starts a retry if one is allowed, else ends the call with a fault; does nothing while another attempt may still get a response. */
  private retry (why: string): void {
    if (this.hasOtherAttempt) return
    if (!this.takeRetry()) return this.failUnlessOtherAttempt(why)
    this.record({ event: 'failed', attempts: this.attempts, why })
    this.requestSlot('retry')
  }

  private get canRunAgain (): boolean {
    return this.attempts - this.unsentAttempts < this.spec.lane.maxAttempts && this.uncertainAttempts + this.runningAttempts.size < maxUncertainAttempts
  }

  /** True while another attempt is in flight, or is about to start once an endpoint is chosen. */
  private get hasOtherAttempt (): boolean {
    return this.runningAttempts.size > 0 || this.isChoosingEndpoint
  }

  private get canRetry (): boolean {
    return this.canRunAgain && this.spec.body.isReplayable && (this.uncertainAttempts === 0 || (!this.isSuspect && this.spec.lane.idempotent))
  }

  /** Takes a retry from the budget, or returns false if none is allowed. */
  private takeRetry (): boolean {
    if (!this.canRetry) return false
    if (!this.hasReservedRetry) return this.deps.budgets.retries.take()
    this.hasReservedRetry = false
    return true
  }

  /** Ends the call with a fault, unless another attempt may still get a response. */
  private failUnlessOtherAttempt (why: string): void {
    if (this.hasOtherAttempt) return
    this.endWithFault(this.finalFault(why, false))
  }

  private get mayHaveRun (): boolean {
    return this.uncertainAttempts > 0 || this.hasDiscardedResponse
  }

  private finalFault (why: string, timedOut: boolean): errors.Fault {
    return callFault.finalFault(why, { mayHaveRun: this.mayHaveRun, timedOut, idempotent: this.spec.lane.idempotent, typicalMs: this.laneTypicalLatencyMs })
  }

  /** Ends the call with a fault, unless an attempt is still in flight. */
  private endWithFault (fault: errors.Fault): void {
    if (this.isSettled || this.runningAttempts.size > 0) return
    this.settleWithFault(this.mayHaveRun ? this.finalFault(fault.message, false) : fault)
  }

  /** Ends the call with a final fault, whatever its attempts do. */
  giveUp (why: string): void {
    runningAttempt.deliverHeld(this.runningAttempts)
    if (this.isSettled) return
    if (runningAttempt.isAnySent(this.runningAttempts)) this.uncertainAttempts++
    this.settleWithFault(this.finalFault(why, false))
  }

  private onDeadline (): void {
    runningAttempt.deliverHeld(this.runningAttempts)
    if (this.isSettled) return
    for (const attempt of this.runningAttempts) {
      const written = attempt.handle?.written !== false
      if (written) this.uncertainAttempts++
      this.recordFailure(attempt, written ? 'silent' : 'not-written')
      attempt.handle?.abandon()
    }
    this.settleWithFault(this.finalFault('the deadline passed', true))
  }

  private settleWithFault (fault: errors.Fault): void {
    this.settle()
    this.record({ event: 'refuse', choice: fault.kind, attempts: this.attempts, why: fault.message })
    this.listener.onFailed(fault)
  }

  /** Cancels timers, pending choices and all attempts that are still in flight. */
  private settle (responded?: runningAttempt.RunningAttempt): void {
    this.isSettled = true
    this.hedge.settle(responded, this.runningAttempts)
    this.cancelDeadline()
    this.cancelSlotRequest()
    this.selection?.cancel()
    for (const attempt of this.runningAttempts) {
      attempt.cancelTimeout()
      attempt.handle?.cancel()
      attempt.placement.release()
    }
    this.runningAttempts.clear()
  }

  /** Cancels a hedge whose slot time is used up. It is not held against its endpoint, which may be no slower than usual. */
  private stopHedge (attempt: runningAttempt.RunningAttempt): void {
    if (attempt.handle?.written !== false) this.uncertainAttempts++
    else this.unsentAttempts++
    attempt.handle?.cancel()
    this.removeAttempt(attempt)
    this.record({ event: 'failed', choice: attempt.placement.endpoint.endpoint, attempts: this.attempts, why: 'the slot time of hedges is used up; the first attempt goes on' })
    attempt.placement.release()
  }

  private record (decision: Omit<decisionLog.Decision, 'requestId' | 'lane'> & { readonly event: string, readonly why: string }): void {
    this.deps.decisions.record({ requestId: this.spec.requestId, lane: this.spec.laneName, ...decision })
  }
}
