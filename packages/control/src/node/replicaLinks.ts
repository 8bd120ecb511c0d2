/** Client connections to the other control replicas, one per address and purpose. */
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

/** Client of another replica's control calls. */
export type ReplicaClient = connect.Client<typeof inner.ControlReplica>
/** Connection to another replica. */
export type ReplicaLink = peerLink.PeerLink<typeof inner.ControlReplica>

/** What a connection is used for; heartbeats have one of their own, so that they don't wait behind large messages. */
export type LinkPurpose = 'calls' | 'heartbeats'

/** Creates each link on first use. */
export class ReplicaLinks implements lifecycle.IDisposable {
  private readonly links = new Map<string, ReplicaLink>()

  /** @param replicationPort port at which replicas accept each other's connections; undefined if they have no listener for them alone. */
  constructor (private readonly identity: innerListener.LinkIdentity, private readonly replicationPort?: number) {}

  /** Returns the link to an address. */
  linkTo (address: string, purpose: LinkPurpose = 'calls'): ReplicaLink {
    const key = `${purpose} ${address}`
    let link = this.links.get(key)
    if (link === undefined) {
      link = new peerLink.PeerLink(inner.ControlReplica, address, this.identity, { preferredPort: this.replicationPort })
      this.links.set(key, link)
    }
    return link
  }

  dispose (): void {
    for (const link of this.links.values()) link.dispose()
  }
}
