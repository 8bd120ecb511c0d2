/** Time marks of this machine. */
import type * as timeline from '../common/timeline.js'

/** Reads the clocks of this machine. */
export class SystemTimeline implements timeline.ITimeline {
  mark (): timeline.TimeMark {
    return { monotonicMs: performance.now(), timeOfDayMs: Date.now() }
  }
}
