/** Requests for slots of endpoints, and their outcomes. */
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as endpointStats from './endpointStats.js'

/** Describes a call that needs a slot. */
export interface SlotRequest {
  readonly lane: configDocument.Lane
  readonly priority: configDocument.LanePriority
  /** Calls of the same flow share its part of the slots when calls wait; undefined for a call that is a flow of its own. */
  readonly flow?: string | undefined
  readonly deadlineAt: number
  /** Time on the clock until which a response is within the target latency of the lane; undefined if the lane has none. */
  readonly targetAt?: number | undefined
  /** Typical time to the head of a response on the lane, in milliseconds. */
  readonly typicalMs: number
  /** Factor on the cost of endpoints in other failure domains, multiplied by the lane's weight. */
  readonly remoteFactor: number
  /** If set, the balancing policy uses this factor instead of `remoteFactor`; it is larger where endpoints are probed before one is chosen. */
  readonly remoteCandidateFactor?: number
  /** True for suspect calls, which do not share an endpoint, so that each crash has one possible cause. */
  readonly isSuspect: boolean
  /** Ids of endpoints that were tried already or must not be used. */
  readonly excludedEndpoints: ReadonlySet<string>
  /** The body of the request, which may still be arriving; undefined for a request without one. */
  readonly body?: { readonly isReceived: boolean } | undefined
}

/** Holds a slot assigned to a call, and the reasons for the choice. */
export interface Placement {
  readonly endpoint: endpointTable.Endpoint
  readonly stats: endpointStats.EndpointStats
  /** Number of candidates. */
  readonly considered: number
  /** The best candidates with their scores, as text. */
  readonly candidates: string
  readonly why: string
  readonly waitedMs: number
  /** True if the endpoint names a limit and this request may be sent under it. */
  readonly isPermitted: boolean
  /** Releases the slot; further calls do nothing. */
  release(): void
}

/** Outcome of a slot request: a placement, or the fault with which the call is rejected. */
export type SlotOutcome =
  | { readonly placed: true, readonly placement: Placement }
  | { readonly placed: false, readonly fault: errors.Fault }
