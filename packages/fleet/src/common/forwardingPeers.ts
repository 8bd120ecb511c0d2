/** Peers to which requests can be forwarded while this instance cannot reach targets. */

/** An entry instance that takes forwarded requests. */
export interface ForwardingPeer {
  readonly instance: string
  readonly forwardAddress: string
  readonly failureDomain: string
}

/** Source of the peers that reach targets. */
export interface IForwardingPeers {
  /** Peers that reach targets, those of the own failure domain first. */
  peers(): readonly ForwardingPeer[]
}
