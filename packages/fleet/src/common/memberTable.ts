/** Members of the cluster, as learnt from the addresses in the settings, from their own streams and from other members. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const livenessTimeoutMs = 5000
const removeAfterMs = 60_000
/** Age difference from which information on another incarnation is the newer one, longer than a message between members takes. */
const distinctAgeMs = 1000
/** Time after which an instance that sent nothing is no longer a forwarding peer; longer than the interval of heartbeats. */
const forwardingSilenceMs = 3000

/** Another process of the cluster and when it was last seen. */
export interface Member {
  readonly instance: string
  readonly address: string
  readonly failureDomain: string
  readonly incarnation: number
  /** True for a control replica, which serves all entry instances; false for an entry instance. */
  readonly hub: boolean
  /** Address at which an entry instance accepts requests from others; undefined if it accepts none or is stopping. */
  readonly forwardAddress?: string | undefined
  /** True for an entry instance that reaches no targets. */
  readonly cutOff?: boolean
  readonly lastSeenAt: number
}

/** Number of live entry instances that a hub reported, and when. */
interface EntryCount {
  readonly count: number
  readonly at: number
}

/** Members known to one process, without itself. */
export class MemberTable implements lifecycle.IDisposable {
  private readonly members = new Map<string, Member>()
  private readonly entryCounts = new Map<string, EntryCount>()
  private readonly joinedEmitter = new event.Emitter<Member>()
  private readonly leftEmitter = new event.Emitter<Member>()
  private readonly forwardingEmitter = new event.Emitter<Member>()
  /** Fires when a member is added and when its address changes. */
  readonly onJoined = this.joinedEmitter.event
  readonly onLeft = this.leftEmitter.event
  /** Fires when a member starts or stops to reach targets or to accept requests from others. */
  readonly onForwardingChanged = this.forwardingEmitter.event

  constructor (private readonly clock: clock.IClock, private readonly self: string, private readonly isHub = false) {}

  dispose (): void {
    this.joinedEmitter.dispose()
    this.leftEmitter.dispose()
    this.forwardingEmitter.dispose()
  }

  /** Applies information on a member that was last seen `ageMs` ago. */
  apply (update: Omit<Member, 'lastSeenAt'>, ageMs: number): void {
    if (update.instance === this.self || ageMs >= removeAfterMs) return
    const known = this.members.get(update.instance)
    const seenAt = this.clock.now() - ageMs
    if (known !== undefined && isOutdated(update, seenAt, known)) return
    // What other members relay may be older than the member's own last update.
    const newest = known !== undefined && known.incarnation === update.incarnation && seenAt < known.lastSeenAt ? known : update
    const { forwardAddress, cutOff } = newest
    const member = { ...update, forwardAddress, cutOff: cutOff === true, lastSeenAt: Math.max(seenAt, known?.lastSeenAt ?? -Infinity) }
    this.members.set(update.instance, member)
    if (known === undefined || known.address !== update.address) this.joinedEmitter.fire(member)
    if (known?.forwardAddress !== forwardAddress || (known?.cutOff === true) !== member.cutOff) this.forwardingEmitter.fire(member)
  }

  get (instance: string): Member | undefined {
    return this.members.get(instance)
  }

  /** Returns the entry instances that reach targets and accept requests from others. */
  forwardingMembers (): readonly Member[] {
    const now = this.clock.now()
    return this.all().filter(({ forwardAddress, cutOff, lastSeenAt }) => forwardAddress !== undefined && cutOff !== true && now - lastSeenAt < forwardingSilenceMs)
  }

  all (): readonly Member[] {
    return [...this.members.values()]
  }

  /** Stores the number of live entry instances that a hub reports. */
  setEntryCount (hub: string, count: number): void {
    this.entryCounts.set(hub, { count, at: this.clock.now() })
  }

  /** Number of members seen recently, including this process. */
  get liveMemberCount (): number {
    return 1 + this.liveMembers.length
  }

  /** Number of live entry instances, including this process if it is one. */
  get liveEntryCount (): number {
    return this.entryCountFromHubs ?? this.liveMembers.filter(({ hub }) => !hub).length + (this.isHub ? 0 : 1)
  }

  /**
   * Highest of the counts that hubs reported around the time of the newest report. An old report stays valid when no newer
   * one follows, since entry instances keep running when all hubs are lost.
   */
  private get entryCountFromHubs (): number | undefined {
    if (this.isHub || this.entryCounts.size === 0) return undefined
    const counts = [...this.entryCounts.values()]
    const newestAt = counts.reduce((latest, { at }) => Math.max(latest, at), -Infinity)
    const recent = counts.filter(({ at }) => newestAt - at < livenessTimeoutMs)
    return recent.reduce((most, { count }) => Math.max(most, count), 1)
  }

  private get liveMembers (): readonly Member[] {
    const now = this.clock.now()
    return this.all().filter((member) => now - member.lastSeenAt < livenessTimeoutMs)
  }

  /**
   * Removes members that have not been seen for long.
   * @param confirmedAgeMs age of the last confirmation of the configuration. Only the time before that confirmation counts
   * as absence. Otherwise a partitioned process would remove the members that it can't reach, and then see a majority among
   * the rest.
   */
  sweep (confirmedAgeMs: number): void {
    const confirmedAt = this.clock.now() - confirmedAgeMs
    for (const member of this.all()) {
      if (confirmedAt - member.lastSeenAt < removeAfterMs) continue
      this.members.delete(member.instance)
      this.entryCounts.delete(member.instance)
      this.leftEmitter.fire(member)
    }
  }
}

/**
 * Returns whether information is of an earlier incarnation than the known one. An incarnation is a time of day, which may have been
 * set back before the member was started again, so it only decides between what was seen at about the same time.
 */
function isOutdated ({ incarnation }: Omit<Member, 'lastSeenAt'>, seenAt: number, known: Member): boolean {
  if (incarnation === known.incarnation) return false
  const isSeenLater = Math.abs(seenAt - known.lastSeenAt) < distinctAgeMs ? incarnation > known.incarnation : seenAt > known.lastSeenAt
  return !isSeenLater
}
