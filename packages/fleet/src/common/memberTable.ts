/** Entry instances of the cluster, as learnt from settings, from their own streams and from each other. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const silentAfterMs = 5000
const forgetAfterMs = 60_000

/** An entry instance and when it was last heard of. */
export interface Member {
  readonly instance: string
  readonly address: string
  readonly failureDomain: string
  readonly incarnation: number
  readonly heardAt: number
}

/** Members known to one entry instance, itself left out. */
export class MemberTable implements lifecycle.IDisposable {
  private readonly members = new Map<string, Member>()
  private readonly joinedEmitter = new event.Emitter<Member>()
  private readonly leftEmitter = new event.Emitter<Member>()
  readonly onJoined = this.joinedEmitter.event
  readonly onLeft = this.leftEmitter.event

  constructor (private readonly clock: clock.IClock, private readonly self: string) {}

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

  /** Live entry instances, this one included. */
  get liveCount (): number {
    const now = this.clock.now()
    return 1 + this.all().filter((member) => now - member.heardAt < silentAfterMs).length
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
      this.leftEmitter.fire(member)
    }
  }
}
