/** Faults that the bench can give its targets. */
import type * as fakeTarget from './fakeTarget.js'
import type * as workload from './workload.js'

/** Names of the faults. `late` is a target that starts late at full speed, `cold` one that is slow at first; `misleading` targets report random loads. */
export const faultNames = ['none', 'stragglers', 'shedding', 'late', 'cold', 'fast-failures', 'misleading', 'resets'] as const
export type FaultName = typeof faultNames[number]

const straggler = { slowdownFactor: 10, intervalMs: 1000, durationMs: 300 }
const cold = { slowdownFactor: 5, durationMs: 2000, startMs: 3000 }
const failuresStartMs = 2000
/** Time by which policies must have detected fast failures. */
export const failuresDetectedByMs = failuresStartMs + 1000
const largeQueueLength = 10_000
const smallQueueLength = 6
const requestsPerReset = 50

/** Returns the time at which a target starts; it is not announced before. */
export function startTimeMs (fault: FaultName, index: number): number {
  return (fault === 'cold' || fault === 'late') && index === 0 ? cold.startMs : 0
}

/** Returns the faults of the target with this index in its service. */
export function createTargetFaults (fault: FaultName, service: workload.ServiceModel, index: number): fakeTarget.TargetFaults {
  const maxQueueLength = fault === 'shedding' ? smallQueueLength : largeQueueLength
  return {
    maxQueueLength,
    resetEveryNth: fault === 'resets' ? requestsPerReset : 0,
    slowdownFactor: (now) => slowdownFactorAt(fault, service, index, now),
    isFailing: (now) => fault === 'fast-failures' && index === 0 && now >= failuresStartMs
  }
}

function slowdownFactorAt (fault: FaultName, service: workload.ServiceModel, index: number, now: number): number {
  if (fault === 'stragglers') {
    // Each second another endpoint becomes slow, without prior notice.
    const period = Math.floor(now / straggler.intervalMs)
    const isSlow = period % service.endpointCount === index && now % straggler.intervalMs < straggler.durationMs
    return isSlow ? straggler.slowdownFactor : 1
  }
  if (fault === 'cold' && index === 0) return now - cold.startMs < cold.durationMs ? cold.slowdownFactor : 1
  return 1
}
