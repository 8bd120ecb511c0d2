/** Verbs that inject random faults, chosen by the seed, while background calls and patches run. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import * as verbs from './verbs.js'
import type * as world from './world.js'

const repairTimeoutMs = 40_000

/** Injects a fault for some time, then repairs it. */
type Fault = (w: world.World, ms: number) => Promise<void>

async function killFor (w: world.World, name: string, ms: number): Promise<void> {
  await w.fleet.process(name).kill()
  await async.sleep(ms)
  w.start(name)
}

async function freezeFor (w: world.World, name: string, ms: number): Promise<void> {
  w.fleet.process(name).sendSignal('freeze')
  await async.sleep(ms)
  w.fleet.process(name).sendSignal('thaw')
}

async function cutFor (w: world.World, name: string, ms: number): Promise<void> {
  w.fleet.relays!.cut(name, '*')
  await async.sleep(ms)
  w.fleet.relays!.heal(name, '*')
}

/**
 * Deletes the data folder of a control replica and waits until the replica is a voter again. Only one disk is lost at a
 * time: losing two of three loses the majority, from which the system must not recover automatically.
 */
async function loseDisk (w: world.World): Promise<void> {
  const name = w.pick(w.fleet.controls)
  await w.diskLossQueue.run(async () => {
    await w.fleet.process(name).kill()
    w.fleet.loseDisk(name)
    w.start(name)
    await w.waitForVoters(w.fleet.controls.length, repairTimeoutMs)
  })
}

const faults: Readonly<Record<string, Fault>> = {
  'control killed': async (w, ms) => await killFor(w, w.pick(w.fleet.controls), ms),
  'control frozen': async (w, ms) => await freezeFor(w, w.pick(w.fleet.controls), ms),
  'control cut off': async (w, ms) => await cutFor(w, w.pick(w.fleet.controls), ms),
  'control disk lost': loseDisk,
  'entry killed': async (w, ms) => await killFor(w, w.pick(w.fleet.entries), ms),
  'entry frozen': async (w, ms) => await freezeFor(w, w.pick(w.fleet.entries), ms),
  'entry cut off from its peers': async (w, ms) => await cutFor(w, w.pick(w.fleet.entries), ms),
  'target killed': async (w, ms) => await killFor(w, w.pick(w.fleet.targets), ms),
  'target frozen': async (w, ms) => await freezeFor(w, w.pick(w.fleet.targets), ms),
  'connections silent': async (w) => { w.fleet.relays!.silence('*') }
}

/** `troubles count=2 for=3s`: injects that many faults concurrently, chosen by the seed; ends when all are repaired. */
async function injectFaults (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const names = Object.keys(faults)
  const ms = verbs.durationOption(step, 'for', '3s')
  const chosen = Array.from({ length: scenarioLanguage.getNumberOption(step, 'count', 2) }, () => w.pick(names))
  w.addNote(`troubles: ${chosen.join(' and ')}`)
  await Promise.all(chosen.map(async (name) => {
    await async.sleep(w.randomInt(500))
    await faults[name]!(w, ms)
  }))
}

/** Reads and patches the configuration in the background for some time; failed reads and patches are ignored. */
function patchInBackground (w: world.World, step: scenarioLanguage.Step): void {
  const until = performance.now() + verbs.durationOption(step, 'for', '5s')
  w.backgroundCalls.set('patches', (async () => {
    for (let i = 0; performance.now() < until; i++) {
      await w.patches.checkRead(w.pick(w.fleet.controls))
      await w.patches.send({ id: `along-${i}`, amends: w.patches.acceptedVersion, mergePatch: { lanes: { diary: { deadlineMs: 1000 + i } } } }, 20_000, i)
      await async.sleep(100)
    }
    return []
  })())
}

export const faultVerbs: verbs.Verbs = {
  troubles: injectFaults,
  'patch-all-along': patchInBackground,
  'wait-for-calls': async (w, step) => { await w.backgroundCalls.get(scenarioLanguage.requireArgument(step, 0, 'a name')) }
}
