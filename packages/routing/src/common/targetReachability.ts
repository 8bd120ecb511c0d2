/** Whether this entry instance itself is partitioned from the targets. */
import type * as event from '@rosemaryrack/base/common/event.js'

/** Reachability of targets as a whole, as seen by this instance. */
export interface ITargetReachability {
  /** True while this instance reaches none of the targets, although they may be running. */
  readonly isCutOff: boolean
  /** Fires with the new value whenever `isCutOff` changes. */
  readonly onChanged: event.Event<boolean>
}
