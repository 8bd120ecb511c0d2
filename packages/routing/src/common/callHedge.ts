/** Decides on the hedge of one call, and follows it under the limits of `Hedging` where operators set them. */
import type * as callSpec from './callSpec.js'
import type * as hedging from './hedging.js'
import type * as loadProbing from './loadProbing.js'
import * as quarantine from './quarantine.js'
import type * as runningAttempt from './runningAttempt.js'
import type * as slotAssignment from './slotAssignment.js'
import type * as transport from './transport.js'

const minServerErrorStatus = 500
/** Shortest time after which a hedge is checked again while an attempt waits for the caller to send more of the body, in milliseconds. */
const minBodyRecheckMs = 20

/** State of a call that decides on its hedge. */
export interface HedgedState {
  /** True while the call has exactly one attempt and chooses no endpoint for another one. */
  readonly hasOneAttempt: boolean
  readonly canRunAgain: boolean
  readonly slotRequest: slotAssignment.SlotRequest
}

/** The call that a hedge belongs to. */
export interface IHedgedCall {
  state(): HedgedState
  /** Sends the hedge, possibly after its endpoint was probed. */
  start(placement: slotAssignment.Placement): void
  /** Cancels an attempt for which no slot time is left. */
  stop(attempt: runningAttempt.RunningAttempt): void
}

/** Schedules the hedge of one call. */
export class CallHedge {
  private first: runningAttempt.RunningAttempt | undefined
  private hedge: runningAttempt.RunningAttempt | undefined
  private hasHedgeEnded = false
  private slot: hedging.ISecondSlot | undefined
  private cancelTimer = (): void => {}
  private cancelExtension = (): void => {}

  constructor (private readonly spec: callSpec.CallSpec, private readonly deps: callSpec.CallDeps, private readonly call: IHedgedCall) {}

  /** Schedules the hedge if the call is idempotent. */
  schedule (minMs = 0): void {
    const { latency, dispatcher, clock } = this.deps
    const { lane } = this.spec
    if (!lane.idempotent) return
    const usualMs = latency.hedgeDelayMs(lane, dispatcher.typicalLatencyMs)
    const delayMs = Math.max(minMs, this.lane?.delayMs(lane.hedgeAfterMs, usualMs) ?? usualMs)
    this.cancelTimer = clock.after(delayMs, () => this.start())
  }

  cancelSchedule (): void {
    this.cancelTimer()
  }

  private start (): void {
    const { dispatcher, budgets } = this.deps
    const state = this.call.state()
    if (!state.hasOneAttempt || this.isRuledOut(state)) return
    // The target has not got the whole request.
    if (this.spec.body.awaitsCaller) return this.schedule(minBodyRecheckMs)
    const { typicalMs } = state.slotRequest
    const overLimit = this.lane?.limits.findDenial(typicalMs)
    if (overLimit !== undefined) return this.deny(overLimit)
    const placement = dispatcher.acquireForHedge(state.slotRequest)
    if (placement === undefined) return this.deny(dispatcher.waiting > 0 ? 'waiting-calls' : 'no-free-slot')
    if (!budgets.hedges.take()) {
      placement.release()
      return this.deny('repeat-budget')
    }
    this.slot = this.lane?.limits.grant(typicalMs)
    this.call.start(placement)
  }

  private isRuledOut ({ canRunAgain, slotRequest: { typicalMs } }: HedgedState): boolean {
    const reason = this.findObstacle(canRunAgain, typicalMs)
    if (reason !== undefined) this.deny(reason)
    return reason !== undefined
  }

  private findObstacle (canRunAgain: boolean, typicalMs: number): hedging.DenialReason | undefined {
    const { spec: { body, deadlineAt, workspace }, lane } = this
    if (!canRunAgain) return 'attempts'
    if (!body.isReplayable) return 'body'
    if (this.isSuspect) return 'suspect'
    if (lane === undefined) return undefined
    if (this.deps.clock.now() + typicalMs > deadlineAt) return 'too-late'
    const mayCauseExtraWork = workspace === undefined || lane.limits.options.isAllowed?.(workspace.name) !== false
    return mayCauseExtraWork ? undefined : 'workspace'
  }

  /** Returns whether a hedge whose endpoint was probed is not sent, and releases its slot. Without limits only the probes decide. */
  mustGiveWay (choice: loadProbing.EndpointChoice): boolean {
    if (choice.kind !== 'placed') {
      this.deny('probes')
      return true
    }
    const isBehindCalls = this.deps.dispatcher.waiting > 0
    if (this.lane === undefined || (!isBehindCalls && !this.isSuspect)) return false
    this.deny(isBehindCalls ? 'waiting-calls' : 'suspect')
    choice.placement.release()
    return true
  }

  private get lane (): hedging.LaneHedging | undefined {
    return this.deps.hedging
  }

  private get isSuspect (): boolean {
    return quarantine.getSuspectStatus(this.deps.suspects, this.spec.identity) !== 'clear'
  }

  /** Counts a hedge that is not sent. */
  private deny (reason: hedging.DenialReason): void {
    this.endSlot()
    this.lane?.limits.recordDenial(reason)
  }

  /** Counts the slot of an attempt until the returned placement is released. */
  trackSlot (placement: slotAssignment.Placement): slotAssignment.Placement {
    return this.lane?.limits.trackSlot(placement) ?? placement
  }

  /** @param isBesideOther whether another attempt of the call is in flight. */
  recordStart (event: 'route' | 'retry' | 'hedge', attempt: runningAttempt.RunningAttempt, isBesideOther: boolean): void {
    if (event === 'route') this.first = attempt
    if (event !== 'hedge' || this.lane === undefined) return
    this.hedge = attempt
    this.lane.limits.recordSent()
    if (!isBesideOther) return this.endSlot()
    this.slot?.begin()
    this.scheduleExtension()
  }

  /**
   * Records that an attempt has a response, has failed or was replaced.
   * @param head the response, if there is one.
   */
  recordEnd (attempt: runningAttempt.RunningAttempt, head?: transport.ResponseHead): void {
    this.endSlot()
    if (attempt === this.hedge) this.hasHedgeEnded = true
    if (head !== undefined && !head.notRun && head.status < minServerErrorStatus) this.recordFirstAttempt(attempt)
  }

  /** Records a first attempt that had no response yet when it was given up. */
  recordFirstAttempt (attempt: runningAttempt.RunningAttempt): void {
    if (attempt !== this.first) return
    this.first = undefined
    this.lane?.recordFirstAttempt((attempt.respondedAt ?? this.deps.clock.now()) - attempt.startedAt)
  }

  /**
   * Records the end of the call.
   * @param responded the attempt whose response is delivered.
   * @param running attempts that are still in flight.
   */
  settle (responded: runningAttempt.RunningAttempt | undefined, running: Iterable<runningAttempt.RunningAttempt>): void {
    this.cancelTimer()
    this.endSlot()
    // Without the attempts that a hedge has overtaken, the percentile would sink with each hedge.
    if (responded !== undefined) for (const attempt of running) this.recordFirstAttempt(attempt)
    if (this.hedge === undefined) return
    if (responded === this.hedge) this.recordOutcome('won')
    else this.recordOutcome(this.hasHedgeEnded ? 'failed' : 'lost')
  }

  private scheduleExtension (): void {
    const { slot } = this
    if (slot === undefined) return
    this.cancelExtension = this.deps.clock.after(slot.reservationMs, () => this.extend())
  }

  private extend (): void {
    if (this.slot?.extend() === true) return this.scheduleExtension()
    const { hedge } = this
    this.recordOutcome('stopped')
    this.call.stop(hedge!)
  }

  private recordOutcome (outcome: hedging.HedgeOutcome): void {
    this.hedge = undefined
    this.lane?.limits.recordOutcome(outcome)
  }

  private endSlot (): void {
    this.cancelExtension()
    this.slot?.end()
    this.slot = undefined
  }
}
