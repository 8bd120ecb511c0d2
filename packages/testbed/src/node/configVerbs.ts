/** Verbs on configuration and the control group. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as patchClient from './patchClient.js'
import * as verbs from './verbs.js'
import type * as world from './world.js'

function newPatch (w: world.World, step: scenarioLanguage.Step): patchClient.Patch {
  const deadlineMs = scenarioLanguage.numberOption(step, 'deadlineMs', 1000 + w.randomInt(1000))
  const amends = scenarioLanguage.numberOption(step, 'amends', w.patches.acceptedVersion)
  return { id: step.options['id'] ?? `patch-${w.randomInt(1_000_000_000)}`, amends, mergePatch: { lanes: { [step.options['lane'] ?? 'diary']: { deadlineMs } } } }
}

function describe (answer: patchClient.PatchAnswer): string {
  return JSON.stringify(answer)
}

/** `patch`: until the answer is final; `once=CONTROL`: one try at one replica. */
async function patch (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const expected = step.options['expect'] ?? 'accepted'
  const within = verbs.durationOption(step, 'within', '30s')
  for (let i = 0; i < scenarioLanguage.numberOption(step, 'count', 1); i++) {
    const next = newPatch(w, step)
    const once = step.options['once']
    const answer = once === undefined
      ? await w.patches.send(next, within)
      : await w.patches.sendOnce(next, await w.resolveOne(once), within)
    verbs.check(expected === 'any' || answer.kind === expected, `patch ${next.id} amending ${next.amends}: expected ${expected}, got ${describe(answer)}`)
  }
}

/** Sends a patch and drops the answer, as an operator who lost the connection would. */
async function patchAndForget (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const controls = await w.resolve(step.options['via'] ?? 'leader')
  w.patches.sendOnce(newPatch(w, step), controls[0]!, verbs.durationOption(step, 'after', '8s')).catch(() => {})
  await async.sleep(scenarioLanguage.numberOption(step, 'waitMs', 0))
}

/** Sends a patch of earlier again, with its id; the answer must be the first one. */
async function resend (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const id = scenarioLanguage.argument(step, 0, 'a patch id')
  const first = w.patches.records.find((record) => record.id === id)
  if (first === undefined) throw new Error(`no patch ${id} was answered`)
  for (const control of await w.resolve(step.options['via'] ?? 'controls')) {
    if (!w.fleet.process(control).isRunning) continue
    let again: patchClient.PatchAnswer = { kind: 'unknown', message: 'not sent' }
    for (let turn = 0; turn < 40 && again.kind === 'unknown'; turn++) {
      again = await w.patches.sendOnce(first, control)
      if (again.kind === 'unknown') await async.sleep(250)
    }
    verbs.check(describe(again) === describe(first.answer), `${id} through ${control}: first ${describe(first.answer)}, then ${describe(again)}`)
  }
}

/** Operators race with patches on one version: exactly one wins. */
async function race (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const amends = w.patches.acceptedVersion
  const count = scenarioLanguage.numberOption(step, 'count', 10)
  const answers = await Promise.all(Array.from({ length: count }, async (_value, i) => await w.patches.send({
    id: `race-${amends}-${i}`,
    amends,
    mergePatch: { lanes: { diary: { deadlineMs: 1000 + i } } }
  }, 30_000, i)))
  const accepted = answers.filter(({ kind }) => kind === 'accepted')
  verbs.check(accepted.length === 1, `${accepted.length} of ${count} racing patches were accepted`)
  for (const answer of answers) {
    verbs.check(answer.kind === 'accepted' || (answer.kind === 'conflict' && answer.currentVersion > amends), `a loser got ${describe(answer)}`)
  }
}

/** Every entry that runs serves the newest accepted version, or the one named. */
async function expectVersion (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const wanted = step.args[0] === undefined ? w.patches.acceptedVersion : Number(step.args[0])
  const entries = (await w.resolve(step.options['at'] ?? 'entries')).filter((name) => w.fleet.process(name).isRunning)
  await w.fleet.waitFor(`version ${wanted} at ${entries.join(', ')}`, async () => {
    const versions = await Promise.all(entries.map(async (entry) => await w.versions.versionAt(entry)))
    return versions.every((version) => version !== undefined && version >= wanted)
  }, verbs.durationOption(step, 'within', '5s'))
  if (step.options['time'] !== undefined) w.figures.push(`${step.options['time']} ${Date.now() - w.markedAt('start')} ms after the start`)
}

/** All control replicas that should be there vote and agree on the accepted version. */
async function expectVoters (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  await w.waitForVoters(scenarioLanguage.numberOption(step, 'count', w.fleet.controls.length), verbs.durationOption(step, 'within', '20s'))
}

/** A replica must not become a voter, nor must there be a leader, for a while. */
async function expectNever (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const what = scenarioLanguage.argument(step, 0, 'founded, leader or voter')
  const names = await w.resolve(scenarioLanguage.argument(step, 1, 'a control replica'))
  const until = performance.now() + verbs.durationOption(step, 'for', '3s')
  while (performance.now() < until) {
    for (const name of names) {
      const view = await w.fleet.operatorGet(name, '/control') as (world.ControlView & { readonly founded: boolean }) | undefined
      const seen = { founded: view?.founded === true, leader: view?.role === 'leader', voter: view?.voter === true }[what]
      verbs.check(seen === false, `${name} is ${what}`)
    }
    await async.sleep(100)
  }
}

async function noteReplicaId (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.argument(step, 0, 'a control replica'))
  const view = await w.fleet.operatorGet(name, '/control') as world.ControlView | undefined
  w.bind(`id of ${name}`, view?.replica ?? 'none')
}

async function expectNewReplicaId (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.argument(step, 0, 'a control replica'))
  const former = await w.resolveOne(`id of ${name}`)
  const view = await w.fleet.operatorGet(name, '/control') as world.ControlView | undefined
  verbs.check(view !== undefined && view.replica !== former, `${name} still is replica ${former}`)
  verbs.check(view!.members.every(({ id }) => id !== former), `replica ${former} is still a member`)
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
