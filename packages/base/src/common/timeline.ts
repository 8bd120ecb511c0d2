/** Time that includes suspensions of the process, in which its monotonic clock may stand still. */

/** Readings of the clocks of a machine at one time, in milliseconds. */
export interface TimeMark {
  /** Never jumps, but may not count the time in which the process was suspended. */
  readonly monotonicMs: number
  /** Counts suspensions, but jumps when the clock is set. */
  readonly timeOfDayMs: number
}

/** Source of time marks. */
export interface ITimeline {
  mark(): TimeMark
}

/** Difference of the clocks that adjustments of the time of day explain. */
const maxAdjustmentMs = 100

/**
 * Returns the time between two marks by the clock that counted more, so at least the true time. Infinite if the time of day was set back, since
 * that may hide a suspension. The uptime of the machine is not used: Node.js reads it from a file that may be that of another machine.
 */
export function elapsedMs (since: TimeMark, until: TimeMark): number {
  const monotonicMs = until.monotonicMs - since.monotonicMs
  const timeOfDayMs = until.timeOfDayMs - since.timeOfDayMs
  return timeOfDayMs < monotonicMs - maxAdjustmentMs ? Infinity : Math.max(0, monotonicMs, timeOfDayMs)
}
