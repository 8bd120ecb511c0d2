/** Links to the other control replicas, one per address. */
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

export type ReplicaClient = connect.Client<typeof inner.ControlReplica>
export type ReplicaLink = peerLink.PeerLink<typeof inner.ControlReplica>

/** Makes links when they are first asked for. */
export class ReplicaLinks implements lifecycle.IDisposable {
  private readonly links = new Map<string, ReplicaLink>()

  constructor (private readonly identity: innerListener.LinkIdentity) {}

  to (address: string): ReplicaLink {
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
