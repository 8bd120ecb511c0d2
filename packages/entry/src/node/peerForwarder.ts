/** Forwards requests to peers while this instance cannot reach targets. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as forwardingPeers from '@rosemaryrack/fleet/common/forwardingPeers.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import type * as balancingPolicy from '@rosemaryrack/routing/common/balancingPolicy.js'
import * as targetContacts from '@rosemaryrack/routing/common/targetContacts.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as forwardHeaders from '../common/forwardHeaders.js'
import * as peerCall from './peerCall.js'
import * as targetConnections from './targetConnections.js'

/** Shorter than for targets, since another peer can take the request. */
const connectTimeoutMs = 250
/** Requests of this instance that a peer of the own failure domain takes at a time before other domains are used too. */
const maxInFlightPerLocalPeer = 8

/** Dependencies of a forwarder. */
export interface ForwarderDeps {
  readonly instance: string
  readonly failureDomain: string
  readonly identity: innerListener.LinkIdentity
  readonly peers: forwardingPeers.IForwardingPeers
  readonly configVersion: () => number
  readonly decisions: decisionLog.IDecisionLog
  readonly metrics: metrics.Metrics
  readonly clock: clock.IClock
  readonly random: balancingPolicy.IRandom
}

interface PeerState {
  inFlight: number
  avoidedUntil: number
}

/** Chooses peers, and holds the connections to them. */
export class PeerForwarder implements lifecycle.IDisposable, peerCall.IPeerSource {
  readonly connections: targetConnections.TargetConnections
  private readonly states = new Map<string, PeerState>()

  constructor (private readonly deps: ForwarderDeps) {
    this.connections = new targetConnections.TargetConnections(new targetContacts.NullTargetContacts(), { timeoutMs: connectTimeoutMs, sourceHost: deps.identity.sourceHost })
  }

  dispose (): void {
    this.connections.dispose()
  }

  /** Starts to forward a request; the listener gets exactly one outcome, unless the call is cancelled. */
  start (spec: peerCall.PeerCallSpec, listener: peerCall.IPeerCallListener): peerCall.PeerCall {
    const { clock, decisions, metrics } = this.deps
    const peerRun = new peerCall.PeerCall(spec, { peers: this, clock, decisions, metrics }, listener)
    peerRun.start()
    return peerRun
  }

  choose (excluded: ReadonlySet<string>): forwardingPeers.ForwardingPeer | undefined {
    const candidates = this.deps.peers.peers().filter(({ instance }) => !excluded.has(instance))
    const now = this.deps.clock.now()
    const usable = candidates.filter(({ instance }) => (this.states.get(instance)?.avoidedUntil ?? -Infinity) <= now)
    const preferred = usable.length > 0 ? usable : candidates
    const local = preferred.filter((peer) => peer.failureDomain === this.deps.failureDomain && this.inFlight(peer) < maxInFlightPerLocalPeer)
    const choices = local.length > 0 ? local : preferred
    const [first, second] = [this.pick(choices), this.pick(choices)]
    return first !== undefined && second !== undefined && this.inFlight(second) < this.inFlight(first) ? second : first
  }

  hold ({ instance }: forwardingPeers.ForwardingPeer): () => void {
    const state = this.stateOf(instance)
    state.inFlight++
    let isHeld = true
    return () => {
      if (isHeld) state.inFlight--
      isHeld = false
    }
  }

  avoid ({ instance }: forwardingPeers.ForwardingPeer, ms: number): void {
    this.stateOf(instance).avoidedUntil = this.deps.clock.now() + ms
  }

  headersFor (info: Omit<forwardHeaders.ForwardInfo, 'sender' | 'configVersion'>): readonly string[] {
    const { instance, identity, configVersion } = this.deps
    return [
      forwardHeaders.tokenHeader, secret.authorizationHeader(identity.token),
      forwardHeaders.clusterHeader, identity.cluster,
      ...forwardHeaders.formatInfo({ ...info, sender: instance, configVersion: configVersion() })
    ]
  }

  private pick (peers: readonly forwardingPeers.ForwardingPeer[]): forwardingPeers.ForwardingPeer | undefined {
    return peers[Math.floor(this.deps.random.next() * peers.length)]
  }

  private inFlight ({ instance }: forwardingPeers.ForwardingPeer): number {
    return this.states.get(instance)?.inFlight ?? 0
  }

  private stateOf (instance: string): PeerState {
    let state = this.states.get(instance)
    if (state === undefined) {
      state = { inFlight: 0, avoidedUntil: -Infinity }
      this.states.set(instance, state)
    }
    return state
  }
}
