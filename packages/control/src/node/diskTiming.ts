/** Measures the writes of a replica's storage with their syncs, and logs those that take long. */
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as recentMaximum from './recentMaximum.js'

/** Time without slow writes after which the disk no longer counts as slow. */
const normalAfterMs = 10_000

/** Kinds of writes: at the start, term and vote, entries, the log as a whole, the snapshot. */
export const writeKinds = ['load', 'meta', 'append', 'rewrite', 'snapshot'] as const
/** Kind of a write. */
export type WriteKind = typeof writeKinds[number]

/** Durations of one kind of write. */
export interface WriteTimes {
  readonly count: number
  readonly lastMs: number
  /** Longest of the last minute, including a write in progress. */
  readonly longestMs: number
  /** Time since the oldest write in progress began; 0 when there is none. */
  readonly inProgressMs: number
}

interface KindState {
  count: number
  lastMs: number
  readonly longest: recentMaximum.RecentMaximum
  /** Start times of the writes in progress, oldest first. */
  readonly startTimes: Set<{ readonly at: number }>
}

/** Slow writes, from the first one until the disk is normal again. */
interface SlowPeriod {
  readonly since: number
  lastAt: number
  count: number
  longestMs: number
  isCompletionLogged: boolean
}

/** Measures writes by kind. */
export class DiskTiming {
  private readonly kinds = new Map(writeKinds.map((kind): [WriteKind, KindState] =>
    [kind, { count: 0, lastMs: 0, longest: new recentMaximum.RecentMaximum(), startTimes: new Set() }]))

  private slow: SlowPeriod | undefined

  /** @param slowMs duration from which a write is logged as slow. */
  constructor (private readonly decisions: decisionLog.IDecisionLog, private readonly slowMs: number) {}

  /** Runs a write and records how long it took; one that fails counts too. */
  async measure<T> (kind: WriteKind, write: () => Promise<T>): Promise<T> {
    const state = this.kinds.get(kind)!
    const start = { at: performance.now() }
    state.startTimes.add(start)
    try {
      return await write()
    } finally {
      state.startTimes.delete(start)
      this.recordCompleted(kind, state, start.at, performance.now())
    }
  }

  /** Returns the durations of one kind of write. */
  timesOf (kind: WriteKind, now = performance.now()): WriteTimes {
    const { count, lastMs, longest, startTimes } = this.kinds.get(kind)!
    const inProgressMs = inProgressMsOf(startTimes, now)
    return { count, lastMs, longestMs: Math.max(longest.read(now), inProgressMs), inProgressMs }
  }

  /** Duration of the longest write of the last minute, of any kind. */
  longestMs (now = performance.now()): number {
    return Math.max(...writeKinds.map((kind) => this.timesOf(kind, now).longestMs))
  }

  /** Time since the oldest write in progress began; 0 when there is none. */
  inProgressMs (now = performance.now()): number {
    return Math.max(...writeKinds.map((kind) => this.timesOf(kind, now).inProgressMs))
  }

  /** Logs a write that has been in progress for long, and the end of a slow period; call about once a second. */
  check (now = performance.now()): void {
    for (const [kind, { startTimes }] of this.kinds) {
      const ms = inProgressMsOf(startTimes, now)
      if (ms < this.slowMs) continue
      if (this.slow === undefined) {
        this.slow = this.startSlow(now - ms)
        this.log('in progress', { kind, ms: Math.round(ms), why: 'a write is not synced yet' })
      }
      this.slow.lastAt = now
    }
    if (this.slow !== undefined && now - this.slow.lastAt >= normalAfterMs) this.endSlow(this.slow)
  }

  private recordCompleted (kind: WriteKind, state: KindState, startedAt: number, now: number): void {
    const ms = now - startedAt
    state.count++
    state.lastMs = ms
    state.longest.add(ms, now)
    if (ms < this.slowMs) return
    const slow = this.slow ??= this.startSlow(startedAt)
    slow.lastAt = now
    slow.count++
    slow.longestMs = Math.max(slow.longestMs, ms)
    if (slow.isCompletionLogged) return
    slow.isCompletionLogged = true
    this.log('slow', { kind, ms: Math.round(ms), why: `a write and its sync took longer than ${this.slowMs} ms` })
  }

  private startSlow (since: number): SlowPeriod {
    return { since, lastAt: since, count: 0, longestMs: 0, isCompletionLogged: false }
  }

  private endSlow ({ since, lastAt, count, longestMs }: SlowPeriod): void {
    this.slow = undefined
    this.log('normal', { writes: count, longestMs: Math.round(longestMs), ms: Math.round(lastAt - since), why: `no write took longer than ${this.slowMs} ms for ${normalAfterMs} ms` })
  }

  private log (choice: string, details: { readonly why: string, readonly [detail: string]: string | number }): void {
    this.decisions.record({ event: 'disk-slow', choice, ...details })
  }
}

function inProgressMsOf (startTimes: KindState['startTimes'], now: number): number {
  const [oldest] = startTimes
  return oldest === undefined ? 0 : now - oldest.at
}
