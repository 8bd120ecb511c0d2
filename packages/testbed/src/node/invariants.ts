/** Invariants that are checked at the end of every scenario. */
import type * as caller from './caller.js'
import type * as journal from './journal.js'
import type * as patchClient from './patchClient.js'
import type * as world from './world.js'

/** Returns a message for each violation of an invariant. */
export function findViolations (w: world.World): readonly string[] {
  const runs = w.readRuns()
  return [
    ...w.fleet.unexpectedExits.map((name) => `${name} exited unexpectedly`),
    ...w.versions.violations,
    ...w.patches.staleReads,
    ...findVersionViolations(w.patches.records),
    ...findRunsOfRefusedCalls(w.calls, runs),
    ...findRepeatedRuns(w, runs),
    ...findDamagedResponses(w.calls),
    ...findRefusalsWithoutRetryAfter(w.calls)
  ]
}

/** Each version belongs to one patch id, each patch id to one version, which is one higher than the amended one. */
function findVersionViolations (records: readonly patchClient.PatchRecord[]): readonly string[] {
  const idOf = new Map<number, string>()
  const versionOf = new Map<string, number>()
  const violations: string[] = []
  for (const { id, amends, result } of records) {
    if (result.kind !== 'accepted') continue
    const { version } = result
    if ((idOf.get(version) ?? id) !== id) violations.push(`version ${version} belongs to ${id} and to ${idOf.get(version) ?? ''}`)
    if ((versionOf.get(id) ?? version) !== version) violations.push(`patch ${id} got versions ${version} and ${versionOf.get(id) ?? ''}`)
    if (version !== amends + 1) violations.push(`patch ${id} amends ${amends} and became version ${version}`)
    idOf.set(version, id)
    versionOf.set(id, version)
  }
  return violations
}

/** A request that was refused as not run must not have run at any target. */
function findRunsOfRefusedCalls (calls: readonly caller.CallRecord[], runs: readonly journal.TargetRun[]): readonly string[] {
  const ran = new Set(runs.map(({ id }) => id))
  return calls
    .filter(({ outcome, requestId }) => (outcome === 'not-run' || outcome === 'quarantined') && ran.has(requestId))
    .map(({ requestId, path }) => `${path} (${requestId}) was refused as not run but ran`)
}

/** A non-idempotent request runs at most once, identified by its key or else by its id. */
function findRepeatedRuns (w: world.World, runs: readonly journal.TargetRun[]): readonly string[] {
  const idempotent = new Set(w.calls.filter(({ method }) => method === 'GET').map(({ requestId }) => requestId))
  const counts = new Map<string, number>()
  for (const { id, key } of runs) {
    if (idempotent.has(id)) continue
    const name = key === undefined ? `request ${id}` : `key ${key}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].filter(([, count]) => count > 1).map(([name, count]) => `${name} ran ${count} times`)
}

/** A response that ends without an error is complete and belongs to the caller's request. */
function findDamagedResponses (calls: readonly caller.CallRecord[]): readonly string[] {
  return calls
    .filter(({ outcome, status, intact }) => outcome === 'answered' && status === 200 && !intact)
    .map(({ path, bytes }) => `${path} got a response of ${bytes} bytes that is incomplete or differs from the one requested`)
}

/** Each refusal carries a `Retry-After` header. */
function findRefusalsWithoutRetryAfter (calls: readonly caller.CallRecord[]): readonly string[] {
  return calls
    .filter(({ outcome, retryAfter }) => (outcome === 'not-run' || outcome === 'quarantined') && retryAfter === undefined)
    .map(({ path, outcome }) => `${path} was refused as ${outcome} without Retry-After`)
}
