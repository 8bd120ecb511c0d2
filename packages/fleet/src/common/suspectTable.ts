/** Requests that were in flight when endpoints crashed, by fingerprint; two crashes quarantine a fingerprint. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const quarantineCrashCount = 2
const retentionMs = 600_000
const maxSuspectCount = 10_000

/** A request fingerprint and the endpoint crashes that happened while such a request was in flight. */
export interface Suspect {
  readonly fingerprint: string
  /** Identifiers of crashes; several instances may report the same one. */
  readonly deaths: readonly string[]
  /** Crashes that the request did not cause: a later request of this fingerprint succeeded, or the endpoint turned out to be alive. */
  readonly clearedDeaths: readonly string[]
  /** Time of the newest crash report. */
  readonly lastReportedAt: number
}

/** Whether requests of a fingerprint are suspected of crashing endpoints. */
export type SuspectStatus = 'clear' | 'suspect' | 'quarantined'

/** Status of request fingerprints, and the reports that change it. */
export interface ISuspects {
  /** Number of fingerprints in the table. */
  readonly size: number
  getStatus(fingerprint: string): SuspectStatus
  reportCrash(fingerprint: string, crash: string): void
  /** Clears a crash after the endpoint turned out to be alive. */
  withdrawCrash(fingerprint: string, crash: string): void
  /** Clears all crashes after a success on another endpoint: the request was only in flight together with the one that crashed the endpoint. */
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

  getStatus (fingerprint: string): SuspectStatus {
    const suspect = this.suspects.get(fingerprint)
    const crashCount = suspect === undefined ? 0 : countUnclearedCrashes(suspect)
    if (crashCount === 0) return 'clear'
    return crashCount >= quarantineCrashCount ? 'quarantined' : 'suspect'
  }

  reportCrash (fingerprint: string, crash: string): void {
    this.merge({ fingerprint, deaths: [crash], clearedDeaths: [], lastReportedAt: this.clock.now() })
  }

  withdrawCrash (fingerprint: string, crash: string): void {
    const known = this.suspects.get(fingerprint)
    if (known?.deaths.includes(crash) === true) this.merge({ ...known, clearedDeaths: [crash] })
  }

  reportSuccess (fingerprint: string): void {
    const known = this.suspects.get(fingerprint)
    if (known === undefined || countUnclearedCrashes(known) === 0) return
    this.setAndNotify({ ...known, clearedDeaths: known.deaths })
  }

  /** Merges a suspect reported by this process or received from a peer. */
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

  /** Removes suspects that were not reported for the retention time. */
  sweep (): void {
    const cutoff = this.clock.now() - retentionMs
    for (const suspect of this.all()) {
      if (suspect.lastReportedAt < cutoff) this.suspects.delete(suspect.fingerprint)
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
    lastReportedAt: Math.max(known.lastReportedAt, incoming.lastReportedAt)
  }
}

function union (a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])].sort()
}

function isSame (a: Suspect, b: Suspect): boolean {
  // Both lists only grow, so equal lengths mean equal content.
  return a.deaths.length === b.deaths.length && a.clearedDeaths.length === b.clearedDeaths.length
}

function countUnclearedCrashes (suspect: Suspect): number {
  return suspect.deaths.filter((crash) => !suspect.clearedDeaths.includes(crash)).length
}
