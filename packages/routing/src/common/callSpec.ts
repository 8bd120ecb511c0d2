/** Input, dependencies and outcome of a call. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as namedWorkspace from '@rosemaryrack/config/common/namedWorkspace.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as balancingPolicy from './balancingPolicy.js'
import type * as budget from './budget.js'
import type * as crashDetection from './crashDetection.js'
import type * as dispatcher from './dispatcher.js'
import type * as domainPreference from './domainPreference.js'
import type * as hedging from './hedging.js'
import type * as laneLatency from './laneLatency.js'
import type * as loadProbing from './loadProbing.js'
import type * as requestIdentity from './requestIdentity.js'
import type * as transport from './transport.js'

/** State of a request body that decides on further attempts. */
export interface IRequestBody {
  /** True while it can be sent from its first byte. */
  readonly isReplayable: boolean
  /** True once the whole body has been received. */
  readonly isReceived: boolean
  /** True while each attempt that is sending it waits for the caller to send more. */
  readonly awaitsCaller: boolean
  /** Error that the caller has caused while its body was received. */
  readonly fault: errors.Fault | undefined
}

/** Describes a request for the choice of endpoints and retries. */
export interface CallSpec {
  readonly requestId: string
  readonly laneName: string
  readonly lane: configDocument.Lane
  /** Undefined where the configuration has no workspaces, and for requests without a known key on public lanes. */
  readonly workspace?: namedWorkspace.NamedWorkspace | undefined
  /** The caller's connection, where the configuration has no workspaces; the calls of a connection share its part of the slots. */
  readonly connection?: string | undefined
  /** Time on the clock at which the caller's request arrived. */
  readonly arrivedAt: number
  readonly deadlineAt: number
  readonly identity: requestIdentity.IRequestIdentity
  readonly body: IRequestBody
  /** Ids of endpoints that must not be used. */
  readonly excludedEndpoints?: readonly string[]
  /** Called for each attempt that starts though an earlier one may have run, for the quota of the workspace. */
  readonly onRepeat?: () => void
}

/** Services and per-lane state that a call uses. */
export interface CallDeps {
  /** Probes the load of endpoints before an attempt is sent; undefined where endpoints do not report their load. */
  readonly probing?: { readonly deps: loadProbing.ProbingDeps, readonly options: loadProbing.ProbingOptions } | undefined
  readonly dispatcher: dispatcher.Dispatcher
  readonly transport: transport.ITransport
  readonly suspects: suspectTable.ISuspects
  readonly crashDetector: crashDetection.ICrashDetector
  readonly budgets: budget.LaneBudgets
  readonly latency: laneLatency.LaneLatency
  /** Limits on hedges that operators set; without them hedges have the budgets of the lane only. */
  readonly hedging?: hedging.LaneHedging | undefined
  readonly domainPreference: domainPreference.DomainPreference
  readonly decisions: decisionLog.IDecisionLog
  readonly clock: clock.IClock
  readonly random: balancingPolicy.IRandom
}

/** Holds the attempt whose response is passed on to the caller. */
export interface CallResponse {
  readonly attempt: transport.IAttempt
  readonly endpoint: endpointTable.Endpoint
  readonly head: transport.ResponseHead
}

/** Receives the outcome of a call, a response or a fault: exactly one of the two methods is called, once. */
export interface ICallListener {
  onResponse(response: CallResponse): void
  onFailed(fault: errors.Fault): void
}
