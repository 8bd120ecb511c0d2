/** Requests that were in flight when endpoints died, by fingerprint; two deaths quarantine a fingerprint. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const quarantineDeathCount = 2
const retentionMs = 600_000
const maxSuspectCount = 10_000

/** A request fingerprint and the endpoint deaths that happened while such a request was in flight. */
export interface Suspect {
  readonly fingerprint: string
  /** Identifiers of deaths; several instances may report the same one. */
  readonly deaths: readonly string[]
  /** Deaths that the request did not cause: a later request of this fingerprint succeeded, or the endpoint turned out to be alive. */
  readonly clearedDeaths: readonly string[]
  readonly since: number
}

/** Whether requests of a fingerprint are suspected of crashing endpoints. */
export type Standing = 'clear' | 'suspect' | 'quarantined'

/** Standing of request fingerprints, and the reports that change it. */
export interface ISuspects {
  /** Number of fingerprints in the table. */
  readonly size: number
  standing(fingerprint: string): Standing
  reportDeath(fingerprint: string, death: string): void
  /** Clears a death after the endpoint turned out to be alive. */
  withdrawDeath(fingerprint: string, death: string): void
  /** Clears all deaths after a success on another endpoint: the request was only in flight together with the one that crashed the endpoint. */
  reportSuccess(fingerprint: string): void
}

/** Suspects known to one process; the tables of its peers are merged into it. */
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
    const deaths = suspect === undefined ? 0 : countUnclearedDeaths(suspect)
    if (deaths === 0) return 'clear'
    return deaths >= quarantineDeathCount ? 'quarantined' : 'suspect'
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
    if (known === undefined || countUnclearedDeaths(known) === 0) return
    this.setAndNotify({ ...known, clearedDeaths: known.deaths })
  }

  /** Merges a suspect from a peer. */
  merge (incoming: Suspect): void {
    const known = this.suspects.get(incoming.fingerprint)
    const merged = known === undefined ? incoming : mergeSuspects(known, incoming)
    if (known !== undefined && isSame(known, merged)) return
    this.setAndNotify(merged)
  }

  get (fingerprint: string): Suspect | undefined {
    return this.suspects.get(fingerprint)
  }

  all (): readonly Suspect[] {
    return [...this.suspects.values()]
  }

  sweep (): void {
    const cutoff = this.clock.now() - retentionMs
    for (const suspect of this.all()) {
      if (suspect.since < cutoff) this.suspects.delete(suspect.fingerprint)
    }
  }

  /** Stores a suspect as the newest one, removes the oldest beyond the limit and fires `onChanged`. */
  private setAndNotify (suspect: Suspect): void {
    this.suspects.delete(suspect.fingerprint)
    this.suspects.set(suspect.fingerprint, suspect)
    this.dropOldest()
    this.changedEmitter.fire(suspect)
  }

  private dropOldest (): void {
    if (this.suspects.size <= maxSuspectCount) return
    const oldest = this.suspects.keys().next()
    if (oldest.done !== true) this.suspects.delete(oldest.value)
  }
}

/** Merges two states of a suspect. Both lists only grow, so that instances converge in whatever order updates arrive. */
function mergeSuspects (known: Suspect, incoming: Suspect): Suspect {
  return {
    fingerprint: known.fingerprint,
    deaths: union(known.deaths, incoming.deaths),
    clearedDeaths: union(known.clearedDeaths, incoming.clearedDeaths),
    since: Math.max(known.since, incoming.since)
  }
}

function union (a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])].sort()
}

function isSame (a: Suspect, b: Suspect): boolean {
  return a.deaths.length === b.deaths.length && a.clearedDeaths.length === b.clearedDeaths.length
}

function countUnclearedDeaths (suspect: Suspect): number {
  return suspect.deaths.filter((death) => !suspect.clearedDeaths.includes(death)).length
}
