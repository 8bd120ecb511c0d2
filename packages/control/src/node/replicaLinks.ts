/** Client connections to the other control replicas, one per address. */
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

/** Client of another replica's control calls. */
export type ReplicaClient = connect.Client<typeof inner.ControlReplica>
/** Connection to another replica. */
export type ReplicaLink = peerLink.PeerLink<typeof inner.ControlReplica>

/** Creates each link on first use. */
export class ReplicaLinks implements lifecycle.IDisposable {
  private readonly links = new Map<string, ReplicaLink>()

  constructor (private readonly identity: innerListener.LinkIdentity) {}

  /** Returns the link to an address. */
  linkTo (address: string): ReplicaLink {
    let link = this.links.get(address)
    if (link === undefined) {
      link = new peerLink.PeerLink(inner.ControlReplica, address, this.identity)
      this.links.set(address, link)
    }
    return link
  }

  dispose (): void {
    for (const link of this.links.values()) link.dispose()
  }
}
