/** Time marks of this machine. */
import * as os from 'node:os'
import type * as timeline from '../common/timeline.js'

const msPerSecond = 1000

/** Reads the clocks of this machine. */
export class SystemTimeline implements timeline.ITimeline {
  mark (): timeline.TimeMark {
    return { monotonicMs: performance.now(), timeOfDayMs: Date.now(), uptimeMs: os.uptime() * msPerSecond }
  }
}
