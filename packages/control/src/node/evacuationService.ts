/** Orders to evacuate failure domains, committed to the replicated log before they are acknowledged. */
import * as protobuf from '@bufbuild/protobuf'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as pauseDetector from '@rosemaryrack/base/common/pauseDetector.js'
import * as timeline from '@rosemaryrack/base/common/timeline.js'
import * as systemTimeline from '@rosemaryrack/base/node/systemTimeline.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as controlService from './controlService.js'

/**
 * Time after the receipt of an order in which another attempt follows a failed one. Longer than most elections take, and short enough
 * that an operator who asked a replica without contact to the group can ask another one.
 */
const retryWithinMs = 700
const retryDelayMs = 50
/** Longest wait for one attempt. Slow disks delay commits by seconds, so it is long; a change of the leader ends it earlier. */
const attemptTimeoutMs = 3000
/**
 * Age from which an order is not proposed again. The operator may have sent it to another replica by then, and have withdrawn it after the
 * acknowledgement; a late copy would undo that.
 */
const maxAgeMs = 4000
const staleRetryAfterS = 1
const maxNameLength = 1024

/** An order of an operator. */
export interface EvacuationOrder {
  readonly failureDomain: string
  /** False withdraws the evacuation. */
  readonly active: boolean
  /** Name of the field that holds the failure domain, for error messages. */
  readonly field: string
}

/** Evacuations in force. */
export interface EvacuationList {
  readonly revision: number
  readonly failureDomains: readonly string[]
}

/** Accepts orders at any replica. */
export class EvacuationService {
  /** @param failureDomains names that are accepted; undefined accepts any. */
  constructor (
    private readonly service: Pick<controlService.ControlService, 'depart' | 'waitForRead' | 'replica'>,
    private readonly failureDomains: readonly string[] | undefined,
    private readonly decisions: decisionLog.IDecisionLog,
    private readonly pauses: Pick<pauseDetector.PauseDetector, 'mayInputBeStale'>,
    private readonly time: timeline.ITimeline = new systemTimeline.SystemTimeline()
  ) {}

  /** Commits an order; throws `bad-request` for an unknown failure domain, `no-quorum` or `unknown` if it may not have been committed. */
  async order (order: EvacuationOrder): Promise<void> {
    this.requireKnown(order)
    if (this.pauses.mayInputBeStale()) throw new errors.RackError({ kind: 'not-run', message: 'this replica has just resumed from a process pause; send the order again', retryAfterS: staleRetryAfterS })
    const { failureDomain, active } = order
    const orders = protobuf.create(inner.DeparturesSchema, { evacuations: [{ failureDomain, active }] })
    const startedAt = performance.now()
    await this.commit(orders, startedAt)
    this.decisions.record({
      event: 'evacuation',
      choice: failureDomain,
      active,
      revision: this.service.replica.state.evacuations.revision,
      elapsedMs: Math.round(performance.now() - startedAt),
      why: active ? 'an operator ordered it; endpoints of the failure domain get no requests' : 'an operator withdrew it'
    })
  }

  /** Returns the evacuations in force, confirmed by a quorum. */
  async list (): Promise<EvacuationList> {
    await this.service.waitForRead()
    const { revision, failureDomains } = this.service.replica.state.evacuations.toMessage()
    return { revision: Number(revision), failureDomains }
  }

  /** A failure domain that is evacuated is accepted also after a change of the settings, so that its evacuation can be withdrawn. */
  private requireKnown ({ failureDomain, field }: EvacuationOrder): void {
    const isKnown = this.failureDomains?.includes(failureDomain) ?? (failureDomain.length > 0 && failureDomain.length <= maxNameLength)
    if (isKnown || this.service.replica.state.evacuations.has(failureDomain)) return
    const expected = this.failureDomains === undefined ? `a name of 1 to ${maxNameLength} characters` : `one of ${this.failureDomains.map((name) => JSON.stringify(name)).join(', ')}`
    throw new errors.RackError({ kind: 'bad-request', message: `${field}: expected ${expected}, found ${JSON.stringify(failureDomain.slice(0, maxNameLength))}` })
  }

  /** Proposes the order until it is committed. It has the effect of a single one however often it is proposed. */
  private async commit (orders: inner.Departures, startedAt: number): Promise<void> {
    const receivedAt = this.time.mark()
    // The last attempt decides where leaders follow each other for long.
    for (let isLast = false; ;) {
      isLast = performance.now() - startedAt > attemptTimeoutMs
      if (timeline.elapsedMs(receivedAt, this.time.mark()) > maxAgeMs) throw new errors.RackError({ kind: 'unknown', timedOut: true, message: 'the order has become too old to be proposed again; send it again' })
      const leader = this.service.replica.leaderId
      const stopWaiting = new AbortController()
      try {
        const attempt = this.service.depart(orders, attemptTimeoutMs).then(() => true)
        if (await (isLast ? attempt : Promise.race([attempt, this.waitForOtherLeader(leader, stopWaiting.signal)]))) return
      } catch (err) {
        const isLate = performance.now() - startedAt > retryWithinMs
        if (isLate || !isTransient(err)) throw err
        await async.sleep(retryDelayMs)
      } finally {
        stopWaiting.abort()
      }
    }
  }

  /** Resolves to false once another leader is known; never if the wait is aborted before. */
  private async waitForOtherLeader (leader: string, stopped: AbortSignal): Promise<false> {
    while (!stopped.aborted) {
      await async.sleep(retryDelayMs, stopped)
      const { leaderId } = this.service.replica
      if (!stopped.aborted && leaderId !== '' && leaderId !== leader) return false
    }
    return await new Promise(() => {})
  }
}

function isTransient (err: unknown): boolean {
  const { kind } = errors.faultOf(err)
  return kind === 'no-quorum' || kind === 'not-leader' || kind === 'unknown' || kind === 'unreachable'
}
