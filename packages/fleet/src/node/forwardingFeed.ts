/** Names forwarding peers to one subscriber of a hub while that subscriber is cut off from the targets. */
import * as protobuf from '@bufbuild/protobuf'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as fleetCodec from '../common/fleetCodec.js'
import * as forwardingPeers from '../common/forwardingPeers.js'
import type * as memberTable from '../common/memberTable.js'
import type * as peerOutbox from './peerOutbox.js'

const resendIntervalMs = 1000

/** Schedules an update when the list may have changed, and provides the list for it. */
export class ForwardingFeed implements lifecycle.IDisposable {
  private readonly selection: forwardingPeers.PeerSelection
  private readonly subscription: lifecycle.IDisposable
  private hasChanged = true
  private sentAt = -Infinity

  constructor (
    private readonly subscriber: Pick<inner.Member, 'instance' | 'failureDomain'>,
    private readonly members: memberTable.MemberTable,
    private readonly outbox: Pick<peerOutbox.PeerOutbox, 'scheduleImmediately' | 'scheduleSoon'>,
    random: forwardingPeers.IRandom
  ) {
    this.selection = new forwardingPeers.PeerSelection(subscriber.failureDomain, random)
    this.subscription = members.onForwardingChanged((member) => this.onChanged(member))
  }

  dispose (): void {
    this.subscription.dispose()
  }

  /** Returns the list if the subscriber needs it in an update now. */
  takeList (now: number): inner.ForwardingPeers | undefined {
    if (!this.isSubscriberCutOff || (!this.hasChanged && now - this.sentAt < resendIntervalMs)) return undefined
    this.hasChanged = false
    this.sentAt = now
    const peers = this.selection.select(this.members.forwardingMembers())
    return protobuf.create(inner.ForwardingPeersSchema, { peers: peers.map((member) => fleetCodec.encodeMember(member, now)) })
  }

  private get isSubscriberCutOff (): boolean {
    return this.members.get(this.subscriber.instance)?.cutOff === true
  }

  private onChanged (member: memberTable.Member): void {
    if (!this.isSubscriberCutOff) return
    this.hasChanged = true
    if (member.instance === this.subscriber.instance) this.outbox.scheduleImmediately()
    // Many instances may be cut off at once.
    else this.outbox.scheduleSoon()
  }
}
