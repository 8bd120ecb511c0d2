/** What the attempts of a call have done so far. */
import type * as runningAttempt from './runningAttempt.js'

/** Progress of a call. */
export interface CallProgress {
  /** True if an endpoint may have run the call. */
  readonly mayHaveRun: boolean
  /** True while an attempt that was sent waits for its response. */
  readonly awaitsResponse: boolean
  /** Number of attempts that may have reached an endpoint. */
  readonly sentAttempts: number
  /** Time on the clock at which the first attempt was started; infinite without one. */
  readonly firstStartedAt: number
}

/**
 * Computes the progress of a call.
 * @param hasUncertainEnd true if an attempt that has ended may have run.
 * @param attempts started attempts without those that certainly did not reach an endpoint.
 */
export function computeProgress (hasUncertainEnd: boolean, attempts: number, firstStartedAt: number, running: Iterable<runningAttempt.RunningAttempt>): CallProgress {
  const handles = [...running].map(({ handle }) => handle)
  const unwritten = handles.filter((handle) => handle?.written === false).length
  const awaitsResponse = handles.length > unwritten
  return { mayHaveRun: hasUncertainEnd || awaitsResponse, awaitsResponse, sentAttempts: attempts - unwritten, firstStartedAt }
}
