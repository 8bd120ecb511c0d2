/** Entry instances of the cluster, as learnt from settings, from their own streams and from each other. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const silentAfterMs = 5000
const forgetAfterMs = 60_000

/** Another process of the fleet and when it was last heard of. */
export interface Member {
  readonly instance: string
  readonly address: string
  readonly failureDomain: string
  readonly incarnation: number
  /** A control replica that serves all entry instances, instead of one of them. */
  readonly hub: boolean
  readonly heardAt: number
}

/** How many entry instances a hub hears. */
interface EntryCount {
  readonly count: number
  readonly at: number
}

/** Members known to one process, itself left out. */
export class MemberTable implements lifecycle.IDisposable {
  private readonly members = new Map<string, Member>()
  private readonly entryCounts = new Map<string, EntryCount>()
  private readonly joinedEmitter = new event.Emitter<Member>()
  private readonly leftEmitter = new event.Emitter<Member>()
  readonly onJoined = this.joinedEmitter.event
  readonly onLeft = this.leftEmitter.event

  constructor (private readonly clock: clock.IClock, private readonly self: string, private readonly isHub = false) {}

  dispose (): void {
    this.joinedEmitter.dispose()
    this.leftEmitter.dispose()
  }

  /** Takes news of a member that was heard of `ageMs` ago. */
  hear (news: Omit<Member, 'heardAt'>, ageMs: number): void {
    if (news.instance === this.self || ageMs >= forgetAfterMs) return
    const known = this.members.get(news.instance)
    if (known !== undefined && known.incarnation > news.incarnation) return
    const heardAt = Math.max(this.clock.now() - ageMs, known?.heardAt ?? -Infinity)
    this.members.set(news.instance, { ...news, heardAt })
    if (known === undefined || known.address !== news.address) this.joinedEmitter.fire({ ...news, heardAt })
  }

  all (): readonly Member[] {
    return [...this.members.values()]
  }

  /** Takes how many entry instances a hub hears. */
  noteEntryCount (hub: string, count: number): void {
    this.entryCounts.set(hub, { count, at: this.clock.now() })
  }

  /** Members heard of lately, this process included. */
  get heardCount (): number {
    return 1 + this.heard.length
  }

  /** Live entry instances, this one included where it is one. */
  get liveCount (): number {
    return this.countOfHubs ?? this.heard.filter(({ hub }) => !hub).length + (this.isHub ? 0 : 1)
  }

  /** The highest of the hubs' counts; without a recent one the last that was told, since losing all hubs stops no entry. */
  private get countOfHubs (): number | undefined {
    if (this.isHub || this.entryCounts.size === 0) return undefined
    const told = [...this.entryCounts.values()]
    const newestAt = told.reduce((latest, { at }) => Math.max(latest, at), -Infinity)
    const recent = told.filter(({ at }) => newestAt - at < silentAfterMs)
    return recent.reduce((most, { count }) => Math.max(most, count), 1)
  }

  private get heard (): readonly Member[] {
    const now = this.clock.now()
    return this.all().filter((member) => now - member.heardAt < silentAfterMs)
  }

  /**
   * Forgets members that have been silent for long.
   * @param confirmedAgeMs age of the last confirmation of the configuration. Silence since then doesn't count: this
   * instance may be the one cut off, and readiness is judged by how many of the members it still hears.
   */
  sweep (confirmedAgeMs: number): void {
    const confirmedAt = this.clock.now() - confirmedAgeMs
    for (const member of this.all()) {
      if (confirmedAt - member.heardAt < forgetAfterMs) continue
      this.members.delete(member.instance)
      this.entryCounts.delete(member.instance)
      this.leftEmitter.fire(member)
    }
  }
}
