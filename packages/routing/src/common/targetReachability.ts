/** Whether this instance can reach targets at all. */
import type * as event from '@rosemaryrack/base/common/event.js'

/** Reports whether this instance is partitioned from all targets while its peers reach them. */
export interface ITargetReachability {
  readonly isCutOff: boolean
  readonly onChanged: event.Event<boolean>
}
