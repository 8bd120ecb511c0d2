/** Time that includes suspensions of the process, in which its monotonic clock may stand still. */

/** Readings of the clocks of a machine at one time, in milliseconds. */
export interface TimeMark {
  /** Never jumps, but may not count the time in which the process was suspended. */
  readonly monotonicMs: number
  /** Counts suspensions, but jumps when the clock is set. */
  readonly timeOfDayMs: number
  /** Time since the start of the machine. Counts suspensions of the machine; has a resolution of 10 ms on Linux. */
  readonly uptimeMs: number
}

/** Source of time marks. */
export interface ITimeline {
  mark(): TimeMark
}

/** Returns the time between two marks by the clock that counted most: at least the true time unless all clocks missed a part of it. */
export function elapsedMs (since: TimeMark, until: TimeMark): number {
  return Math.max(0, until.monotonicMs - since.monotonicMs, until.timeOfDayMs - since.timeOfDayMs, until.uptimeMs - since.uptimeMs)
}
