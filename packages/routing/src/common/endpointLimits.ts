/** Keeps the limits that endpoints of one service name when calls are placed on them. */
import type * as errors from '@rosemaryrack/base/common/errors.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as balancingPolicy from './balancingPolicy.js'
import type * as slotAssignment from './slotAssignment.js'
import type * as servicePermits from './servicePermits.js'

const msPerSecond = 1000
/** Factor on the estimated wait of a new call, so that few calls wait and are refused later because the estimate was too low. */
const newCallMargin = 1.25

/** The candidate that gets a call. */
export interface Choice {
  readonly candidate: balancingPolicy.Candidate
  readonly endpoint: endpointTable.Endpoint
  /** True if the endpoint has a limit and this call may be sent under it. */
  readonly isPermitted: boolean
  /** Why the limit permits the call, as a suffix for the decision log; empty without a limit. */
  readonly note: string
}

/** Limits of the endpoints of one service. Without permits, no endpoint counts as limited. */
export class EndpointLimits {
  private readonly limitedIds = new Set<string>()

  constructor (private readonly permits: servicePermits.ServicePermits | undefined, private readonly policy: balancingPolicy.IBalancingPolicy) {}

  isLimited (endpoint: endpointTable.Endpoint): boolean {
    return this.permits !== undefined && endpointTable.isLimited(endpoint)
  }

  /**
   * Chooses the best candidate to which a call may be sent now, and requests permits for the better ones.
   * @param queueLength number of calls that wait.
   */
  choose (candidates: readonly balancingPolicy.Candidate[], context: balancingPolicy.ChoiceContext, endpoints: readonly endpointTable.Endpoint[], queueLength: number): Choice | undefined {
    const withoutPermit: endpointTable.Endpoint[] = []
    let choice: Choice | undefined
    for (let left = candidates; left.length > 0 && choice === undefined;) {
      const candidate = this.policy.choose(left, context)
      const endpoint = endpoints.find(({ endpoint }) => endpoint === candidate.id)!
      choice = this.tryChoose(candidate, endpoint)
      if (choice === undefined && endpoint.coldPerSecond !== undefined) {
        const { substitute, others } = this.replaceCold(candidate, left, context, endpoints)
        choice = substitute
        withoutPermit.push(...others)
        break
      }
      if (choice === undefined) withoutPermit.push(endpoint)
      left = left.filter((other) => other !== candidate)
    }
    if (withoutPermit.length > 0) this.permits?.want(withoutPermit, choice === undefined ? Math.max(1, queueLength) : 1)
    if (choice?.isPermitted === true && endpoints.every(endpointTable.isLimited)) this.permits?.wantForNextCall(endpoints)
    return choice
  }

  /**
   * Replaces a cold candidate without a permit by one for which a permit is held, else by one without a limit. A failure domain that
   * comes back has dozens of cold endpoints: a call must use a permit for any of them, and they are not tried one after the other.
   * @returns others: the limited endpoints without a permit.
   */
  private replaceCold (cold: balancingPolicy.Candidate, left: readonly balancingPolicy.Candidate[], context: balancingPolicy.ChoiceContext, endpoints: readonly endpointTable.Endpoint[]): { readonly substitute: Choice | undefined, readonly others: readonly endpointTable.Endpoint[] } {
    const endpointById = new Map(endpoints.map((endpoint) => [endpoint.endpoint, endpoint]))
    // Begins with the cold one, so that not all instances ask for the same ones.
    const start = left.indexOf(cold)
    const ordered = [...left.slice(start), ...left.slice(0, start)].map((candidate) => ({ candidate, endpoint: endpointById.get(candidate.id)! }))
    const limited = ordered.filter(({ endpoint }) => this.isLimited(endpoint))
    const permitted = limited.filter(({ endpoint }) => this.permits?.canTake(endpoint) === true)
    const eligible = (permitted.length > 0 ? permitted : ordered.filter(({ endpoint }) => !this.isLimited(endpoint))).map(({ candidate }) => candidate)
    const next = eligible.length === 0 ? undefined : this.policy.choose(eligible, context)
    return {
      substitute: next === undefined ? undefined : this.tryChoose(next, endpointById.get(next.id)!),
      others: limited.filter((each) => !permitted.includes(each)).map(({ endpoint }) => endpoint)
    }
  }

  /** Estimates how long a call waits for one of the endpoints, all of them limited, in milliseconds. */
  estimateWaitMs (limited: readonly endpointTable.Endpoint[], position: number): number {
    return this.permits?.estimateWaitMs(limited, position) ?? 0
  }

  /**
   * Returns the fault of a call that cannot be served in time, because each endpoint that is left has a limit. In time means within
   * the target latency, if the lane has one: since the limits leave calls unserved anyway, permits go to those that are not late.
   * @param limited those endpoints; empty if one without a limit is left.
   * @param queuedAt time since which the call waits; undefined for a new call.
   */
  findFault ({ lane, deadlineAt, targetAt = Infinity, typicalMs }: slotAssignment.SlotRequest, position: number, limited: readonly endpointTable.Endpoint[], now: number, queuedAt?: number): errors.Fault | undefined {
    const [first] = limited
    if (this.permits === undefined || first === undefined) return undefined
    const waitMs = this.permits.estimateWaitMs(limited, position)
    const servedAt = now + waitMs * (queuedAt === undefined ? newCallMargin : 1)
    if (servedAt <= (queuedAt ?? now) + lane.maxWaitMs && servedAt + typicalMs <= Math.min(deadlineAt, targetAt)) return undefined
    return {
      kind: 'not-run',
      message: `each of the ${limited.length} endpoints left takes no further request in time; ${first.endpoint}: ${this.permits.describe(first)}`,
      retryAfterS: waitMs / msPerSecond
    }
  }

  /** Reports what was sent to an endpoint before its limit was known. Returns whether the limit of the endpoint has just ended. */
  noteChange (endpoint: endpointTable.Endpoint): boolean {
    const id = endpoint.endpoint
    const hasLeft = endpoint.state === 'left'
    const wasLimited = this.limitedIds.has(id)
    if (hasLeft) this.permits?.forget(endpoint)
    if (!hasLeft && this.isLimited(endpoint)) {
      this.limitedIds.add(id)
      if (!wasLimited) this.permits?.want([endpoint], 0)
      return false
    }
    this.limitedIds.delete(id)
    return wasLimited && !hasLeft
  }

  private tryChoose (candidate: balancingPolicy.Candidate, endpoint: endpointTable.Endpoint): Choice | undefined {
    if (this.permits === undefined || !endpointTable.isLimited(endpoint)) return { candidate, endpoint, isPermitted: false, note: '' }
    const permit = this.permits.take(endpoint)
    return permit === undefined ? undefined : { candidate, endpoint, isPermitted: true, note: `; ${permit}` }
  }
}
