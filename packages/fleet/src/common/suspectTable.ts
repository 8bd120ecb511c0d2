/** Requests in flight when endpoints died, by fingerprint; two deaths put a fingerprint into quarantine. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const quarantineDeaths = 2
const rememberMs = 600_000
const maxSuspects = 10_000

/** A fingerprint and the deaths that happened while it was in flight. */
export interface Suspect {
  readonly fingerprint: string
  /** Names of deaths; the same one may be told by several instances. */
  readonly deaths: readonly string[]
  /** Those before a later success of the same request, or of endpoints that turned out to be alive: not its doing. */
  readonly clearedDeaths: readonly string[]
  readonly since: number
}

export type Standing = 'clear' | 'suspect' | 'quarantined'

/** Where a fingerprint stands, and what makes it change. */
export interface ISuspects {
  /** Fingerprints that are remembered. */
  readonly size: number
  standing(fingerprint: string): Standing
  reportDeath(fingerprint: string, death: string): void
  /** The endpoint turned out to be alive. */
  withdrawDeath(fingerprint: string, death: string): void
  /** A success elsewhere shows that the request was an innocent one in flight beside the culprit. */
  reportSuccess(fingerprint: string): void
}

/** Table of one entry instance; peers' tables merge into it. */
export class SuspectTable implements ISuspects, lifecycle.IDisposable {
  private readonly suspects = new Map<string, Suspect>()
  private readonly changedEmitter = new event.Emitter<Suspect>()
  readonly onChanged = this.changedEmitter.event

  constructor (private readonly clock: clock.IClock) {}

  dispose (): void {
    this.changedEmitter.dispose()
  }

  get size (): number {
    return this.suspects.size
  }

  standing (fingerprint: string): Standing {
    const suspect = this.suspects.get(fingerprint)
    const deaths = suspect === undefined ? 0 : openDeaths(suspect)
    if (deaths === 0) return 'clear'
    return deaths >= quarantineDeaths ? 'quarantined' : 'suspect'
  }

  reportDeath (fingerprint: string, death: string): void {
    this.merge({ fingerprint, deaths: [death], clearedDeaths: [], since: this.clock.now() })
  }

  withdrawDeath (fingerprint: string, death: string): void {
    const known = this.suspects.get(fingerprint)
    if (known?.deaths.includes(death) === true) this.merge({ ...known, clearedDeaths: [death] })
  }

  reportSuccess (fingerprint: string): void {
    const known = this.suspects.get(fingerprint)
    if (known === undefined || openDeaths(known) === 0) return
    this.set({ ...known, clearedDeaths: known.deaths })
  }

  /** Takes over what a peer knows. */
  merge (news: Suspect): void {
    const known = this.suspects.get(news.fingerprint)
    const merged = known === undefined ? news : mergeSuspects(known, news)
    if (known !== undefined && isSame(known, merged)) return
    this.set(merged)
  }

  get (fingerprint: string): Suspect | undefined {
    return this.suspects.get(fingerprint)
  }

  all (): readonly Suspect[] {
    return [...this.suspects.values()]
  }

  sweep (): void {
    const oldest = this.clock.now() - rememberMs
    for (const suspect of this.all()) {
      if (suspect.since < oldest) this.suspects.delete(suspect.fingerprint)
    }
  }

  private set (suspect: Suspect): void {
    this.suspects.delete(suspect.fingerprint)
    this.suspects.set(suspect.fingerprint, suspect)
    this.dropOldest()
    this.changedEmitter.fire(suspect)
  }

  private dropOldest (): void {
    if (this.suspects.size <= maxSuspects) return
    const oldest = this.suspects.keys().next()
    if (oldest.done !== true) this.suspects.delete(oldest.value)
  }
}

/** Both lists only grow, so that instances agree in whatever order the news arrives. */
function mergeSuspects (known: Suspect, news: Suspect): Suspect {
  return {
    fingerprint: known.fingerprint,
    deaths: union(known.deaths, news.deaths),
    clearedDeaths: union(known.clearedDeaths, news.clearedDeaths),
    since: Math.max(known.since, news.since)
  }
}

function union (a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])].sort()
}

function isSame (a: Suspect, b: Suspect): boolean {
  return a.deaths.length === b.deaths.length && a.clearedDeaths.length === b.clearedDeaths.length
}

function openDeaths (suspect: Suspect): number {
  return suspect.deaths.filter((death) => !suspect.clearedDeaths.includes(death)).length
}
