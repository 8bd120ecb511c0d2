/** Verbs that patch the configuration and check the control replicas. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as patchClient from './patchClient.js'
import * as verbs from './verbs.js'
import type * as world from './world.js'

function createPatch (w: world.World, step: scenarioLanguage.Step): patchClient.Patch {
  const deadlineMs = scenarioLanguage.getNumberOption(step, 'deadlineMs', 1000 + w.randomInt(1000))
  const amends = scenarioLanguage.getNumberOption(step, 'amends', w.patches.acceptedVersion)
  return { id: step.options['id'] ?? `patch-${w.randomInt(1_000_000_000)}`, amends, mergePatch: { lanes: { [step.options['lane'] ?? 'diary']: { deadlineMs } } } }
}

function formatResult (result: patchClient.PatchResult): string {
  return JSON.stringify(result)
}

/** Sends patches, each until its result is final; with `once=CONTROL`, each once to that replica. */
async function patch (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const expected = step.options['expect'] ?? 'accepted'
  const timeoutMs = verbs.durationOption(step, 'within', '30s')
  for (let i = 0; i < scenarioLanguage.getNumberOption(step, 'count', 1); i++) {
    const newPatch = createPatch(w, step)
    const onceVia = step.options['once']
    const result = onceVia === undefined
      ? await w.patches.send(newPatch, timeoutMs)
      : await w.patches.sendOnce(newPatch, await w.resolveOne(onceVia), timeoutMs)
    verbs.check(expected === 'any' || result.kind === expected, `patch ${newPatch.id} amending ${newPatch.amends}: expected ${expected}, got ${formatResult(result)}`)
  }
}

/** Sends a patch and ignores the response, which simulates an operator whose connection is lost. */
async function patchAndForget (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const controls = await w.resolve(step.options['via'] ?? 'leader')
  w.patches.sendOnce(createPatch(w, step), controls[0]!, verbs.durationOption(step, 'after', '8s')).catch(() => {})
  await async.sleep(scenarioLanguage.getNumberOption(step, 'waitMs', 0))
}

/** Sends an earlier patch again with the same id and checks that the result is the same. */
async function resend (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const id = scenarioLanguage.requireArgument(step, 0, 'a patch id')
  const first = w.patches.records.find((record) => record.id === id)
  if (first === undefined) throw new Error(`patch ${id} has no final result yet`)
  for (const control of await w.resolve(step.options['via'] ?? 'controls')) {
    if (!w.fleet.process(control).isRunning) continue
    let resent: patchClient.PatchResult = { kind: 'unknown', message: 'not sent' }
    for (let attempt = 0; attempt < 40 && resent.kind === 'unknown'; attempt++) {
      resent = await w.patches.sendOnce(first, control)
      if (resent.kind === 'unknown') await async.sleep(250)
    }
    verbs.check(formatResult(resent) === formatResult(first.result), `${id} through ${control}: first ${formatResult(first.result)}, then ${formatResult(resent)}`)
  }
}

/** Sends concurrent patches that amend the same version and checks that exactly one is accepted. */
async function race (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const amends = w.patches.acceptedVersion
  const count = scenarioLanguage.getNumberOption(step, 'count', 10)
  const results = await Promise.all(Array.from({ length: count }, async (_value, i) => await w.patches.send({
    id: `race-${amends}-${i}`,
    amends,
    mergePatch: { lanes: { diary: { deadlineMs: 1000 + i } } }
  }, 30_000, i)))
  const accepted = results.filter(({ kind }) => kind === 'accepted')
  verbs.check(accepted.length === 1, `${accepted.length} of ${count} concurrent patches were accepted`)
  for (const result of results) {
    verbs.check(result.kind === 'accepted' || (result.kind === 'conflict' && result.currentVersion > amends), `expected a conflict with a newer version, got ${formatResult(result)}`)
  }
}

/** Waits until every running entry serves the newest accepted version, or at least the given one. */
async function expectVersion (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const minVersion = step.args[0] === undefined ? w.patches.acceptedVersion : Number(step.args[0])
  const entries = (await w.resolve(step.options['at'] ?? 'entries')).filter((name) => w.fleet.process(name).isRunning)
  await w.fleet.waitFor(`version ${minVersion} at ${entries.join(', ')}`, async () => {
    const versions = await Promise.all(entries.map(async (entry) => await w.versions.fetchVersion(entry)))
    return versions.every((version) => version !== undefined && version >= minVersion)
  }, verbs.durationOption(step, 'within', '5s'))
  if (step.options['time'] !== undefined) w.measurements.push(`${step.options['time']} ${Date.now() - w.getMark('start')} ms after the start`)
}

/** Waits until all control replicas, or `count` of them, are voters and hold the accepted version. */
async function expectVoters (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  await w.waitForVoters(scenarioLanguage.getNumberOption(step, 'count', w.fleet.controls.length), verbs.durationOption(step, 'within', '20s'))
}

/** Checks for some time that the given condition (`founded`, `leader` or `voter`) holds for none of the given replicas. */
async function expectNever (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const condition = scenarioLanguage.requireArgument(step, 0, 'founded, leader or voter')
  const names = await w.resolve(scenarioLanguage.requireArgument(step, 1, 'a control replica'))
  const until = performance.now() + verbs.durationOption(step, 'for', '3s')
  while (performance.now() < until) {
    for (const name of names) {
      const view = await w.fleet.fetchOperatorRoute(name, '/control') as (world.ControlView & { readonly founded: boolean }) | undefined
      const conditionHolds = { founded: view?.founded === true, leader: view?.role === 'leader', voter: view?.voter === true }[condition]
      verbs.check(conditionHolds === false, `${name} is ${condition}`)
    }
    await async.sleep(100)
  }
}

async function noteReplicaId (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'a control replica'))
  const view = await w.fleet.fetchOperatorRoute(name, '/control') as world.ControlView | undefined
  w.bind(`id of ${name}`, view?.replica ?? 'none')
}

async function expectNewReplicaId (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'a control replica'))
  const previousId = await w.resolveOne(`id of ${name}`)
  const view = await w.fleet.fetchOperatorRoute(name, '/control') as world.ControlView | undefined
  verbs.check(view !== undefined && view.replica !== previousId, `${name} still has the replica id ${previousId}`)
  verbs.check(view!.members.every(({ id }) => id !== previousId), `replica ${previousId} is still a member`)
}

export const configVerbs: verbs.Verbs = {
  patch,
  'patch-and-forget': patchAndForget,
  resend,
  race,
  'expect-version': expectVersion,
  'expect-voters': expectVoters,
  'expect-never': expectNever,
  'note-replica-id': noteReplicaId,
  'expect-new-replica-id': expectNewReplicaId
}
