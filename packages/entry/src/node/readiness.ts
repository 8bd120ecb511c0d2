/** Whether the platform's balancer should send callers to this instance. */
import type * as memberTable from '@rosemaryrack/fleet/common/memberTable.js'

/** What readiness is judged by. */
export interface ReadinessView {
  readonly confirmedAgeMs: number
  readonly confirmWithinMs: number
  readonly members: memberTable.MemberTable
  readonly isStopping: boolean
}

/** The judgement with its reason. */
export interface Readiness {
  readonly ready: boolean
  readonly why: string
}

/**
 * Without a confirmation in time, an instance that hears most of its peers is not the one cut off:
 * the control group is, so no change can have been accepted that it missed.
 */
export function judge (view: ReadinessView): Readiness {
  if (view.isStopping) return { ready: false, why: 'stopping' }
  if (!Number.isFinite(view.confirmedAgeMs)) return { ready: false, why: 'no configuration has been confirmed yet' }
  if (view.confirmedAgeMs <= view.confirmWithinMs) return { ready: true, why: 'configuration confirmed' }
  const known = 1 + view.members.all().length
  const hearsMost = known > 1 && view.members.heardCount * 2 > known
  if (hearsMost) return { ready: true, why: 'no control quorum for any instance in reach; configuration unchanged' }
  return { ready: false, why: `configuration not confirmed for ${Math.round(view.confirmedAgeMs)} ms` }
}
