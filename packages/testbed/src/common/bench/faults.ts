/** Faults of the bench's targets. */
import type * as fakeTarget from './fakeTarget.js'
import type * as workload from './workload.js'

export const faultNames = ['none', 'stragglers', 'shedding', 'late', 'cold', 'fast-failures', 'misleading', 'resets'] as const
export type FaultName = typeof faultNames[number]

const straggler = { factor: 10, everyMs: 1000, forMs: 300 }
const cold = { factor: 5, forMs: 2000, startsAt: 3000 }
const failsFrom = 2000
/** Time by which fast failures must have been noticed. */
export const failuresNoticedAt = failsFrom + 1000
const roomy = 10_000
const tight = 6
const resetEvery = 50

/** Time at which a target starts in a run; it is unknown before. */
export function startOf (fault: FaultName, index: number): number {
  return (fault === 'cold' || fault === 'late') && index === 0 ? cold.startsAt : 0
}

export function faultsOf (fault: FaultName, service: workload.ServiceModel, index: number): fakeTarget.TargetFaults {
  const queueLimit = fault === 'shedding' ? tight : roomy
  return {
    queueLimit,
    resetEvery: fault === 'resets' ? resetEvery : 0,
    slowness: (now) => slownessOf(fault, service, index, now),
    fails: (now) => fault === 'fast-failures' && index === 0 && now >= failsFrom
  }
}

function slownessOf (fault: FaultName, service: workload.ServiceModel, index: number, now: number): number {
  if (fault === 'stragglers') {
    // Another endpoint each second, without warning.
    const turn = Math.floor(now / straggler.everyMs)
    const slow = turn % service.endpoints === index && now % straggler.everyMs < straggler.forMs
    return slow ? straggler.factor : 1
  }
  if (fault === 'cold' && index === 0) return now - cold.startsAt < cold.forMs ? cold.factor : 1
  return 1
}
