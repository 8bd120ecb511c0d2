/** Entry instances that requests can be forwarded to while this instance is partitioned from the targets. */

/** An entry instance that accepts requests from other entry instances. */
export interface ForwardingPeer {
  readonly instance: string
  /** Address at which it accepts forwarded requests. */
  readonly forwardAddress: string
  readonly failureDomain: string
}

/** Source of the instances that requests can be forwarded to. */
export interface IForwardingPeers {
  /** Peers that reach targets, those of the own failure domain first. */
  peers(): readonly ForwardingPeer[]
}
