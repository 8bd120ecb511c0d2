/** Readiness: whether the platform's load balancer should send callers to this instance. */
import type * as memberTable from '@rosemaryrack/fleet/common/memberTable.js'

/** State from which readiness is determined. */
export interface ReadinessInput {
  readonly confirmedAgeMs: number
  readonly confirmWithinMs: number
  readonly members: memberTable.MemberTable
  readonly isStopping: boolean
  /** A newer version that others have and this instance doesn't; undefined if it knows of none. */
  readonly missingVersion: number | undefined
}

/** Whether the instance is ready, with the reason. */
export interface Readiness {
  readonly ready: boolean
  readonly why: string
}

/**
 * Determines whether an instance is ready. It stays ready without a recent confirmation while most of its peers still send
 * updates: in that case the control group is partitioned off, not this instance. Without a quorum, the group cannot have
 * accepted a change that this instance missed.
 */
export function evaluateReadiness (input: ReadinessInput): Readiness {
  if (input.isStopping) return { ready: false, why: 'stopping' }
  if (!Number.isFinite(input.confirmedAgeMs)) return { ready: false, why: 'no configuration has been confirmed yet' }
  if (input.confirmedAgeMs <= input.confirmWithinMs) return { ready: true, why: 'configuration confirmed' }
  if (input.missingVersion !== undefined) return { ready: false, why: `version ${input.missingVersion} is not in force here` }
  const memberCount = 1 + input.members.all().length
  const reachesMajority = memberCount > 1 && input.members.liveMemberCount * 2 > memberCount
  if (reachesMajority) return { ready: true, why: 'no reachable instance has a control quorum; configuration unchanged' }
  return { ready: false, why: `configuration not confirmed for ${Math.round(input.confirmedAgeMs)} ms` }
}
