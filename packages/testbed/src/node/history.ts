/** What must hold at the end of every scenario, whatever it did. */
import type * as caller from './caller.js'
import type * as journal from './journal.js'
import type * as patchClient from './patchClient.js'
import type * as world from './world.js'

/** Violations of the promises that every scenario is held to. */
export function violations (w: world.World): readonly string[] {
  const runs = w.runs()
  return [
    ...w.fleet.endedByThemselves.map((name) => `${name} ended by itself`),
    ...w.versions.violations,
    ...w.patches.staleReads,
    ...versionsAcceptedTwice(w.patches.records),
    ...runsOfNotRun(w.calls, runs),
    ...repeatedRuns(w, runs),
    ...notIntact(w.calls),
    ...refusalsWithoutRetryAfter(w.calls)
  ]
}

/** Each version has one patch, and a patch id one version. */
function versionsAcceptedTwice (records: readonly patchClient.PatchRecord[]): readonly string[] {
  const idOf = new Map<number, string>()
  const versionOf = new Map<string, number>()
  const found: string[] = []
  for (const { id, amends, answer } of records) {
    if (answer.kind !== 'accepted') continue
    const { version } = answer
    if ((idOf.get(version) ?? id) !== id) found.push(`version ${version} belongs to ${id} and to ${idOf.get(version) ?? ''}`)
    if ((versionOf.get(id) ?? version) !== version) found.push(`patch ${id} got versions ${version} and ${versionOf.get(id) ?? ''}`)
    if (version !== amends + 1) found.push(`patch ${id} amends ${amends} and became version ${version}`)
    idOf.set(version, id)
    versionOf.set(id, version)
  }
  return found
}

/** What was refused as not run was in fact not run. */
function runsOfNotRun (calls: readonly caller.CallRecord[], runs: readonly journal.Run[]): readonly string[] {
  const ran = new Set(runs.map(({ id }) => id))
  return calls
    .filter(({ outcome, requestId }) => (outcome === 'not-run' || outcome === 'quarantined') && ran.has(requestId))
    .map(({ requestId, path }) => `${path} (${requestId}) was refused as not run and ran`)
}

/** Non-idempotent requests run at most once, by their id and by their key. */
function repeatedRuns (w: world.World, runs: readonly journal.Run[]): readonly string[] {
  const idempotent = new Set(w.calls.filter(({ method }) => method === 'GET').map(({ requestId }) => requestId))
  const counts = new Map<string, number>()
  for (const { id, key } of runs) {
    if (idempotent.has(id)) continue
    const name = key === undefined ? `request ${id}` : `key ${key}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].filter(([, count]) => count > 1).map(([name, count]) => `${name} ran ${count} times`)
}

/** An answer that ends as complete is the whole one, and the caller's own. */
function notIntact (calls: readonly caller.CallRecord[]): readonly string[] {
  return calls
    .filter(({ outcome, status, intact }) => outcome === 'answered' && status === 200 && !intact)
    .map(({ path, bytes }) => `${path} got ${bytes} bytes that are not its whole answer`)
}

function refusalsWithoutRetryAfter (calls: readonly caller.CallRecord[]): readonly string[] {
  return calls
    .filter(({ outcome, retryAfter }) => (outcome === 'not-run' || outcome === 'quarantined') && retryAfter === undefined)
    .map(({ path, outcome }) => `${path} was refused as ${outcome} without Retry-After`)
}
