/** Verbs that start and stop processes and make processes, disks and connections fail. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as async from '@rosemaryrack/base/common/async.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as managedProcess from './managedProcess.js'
import * as verbs from './verbs.js'
import type * as world from './world.js'

const defaultSlots = 6
const defaultConnectionLimit = 260

async function startFleet (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const targets = (step.options['targets'] ?? '').split(',').filter((text) => text !== '').map((text) => {
    const [service = '', count = '1'] = text.split(':')
    return { service, count: Number(count), slots: scenarioLanguage.getNumberOption(step, 'slots', defaultSlots), connectionLimit: defaultConnectionLimit }
  })
  await w.startFleet({
    cluster: 'proof',
    failureDomains: ['a', 'b', 'c'],
    controls: scenarioLanguage.getNumberOption(step, 'controls', 3),
    entries: scenarioLanguage.getNumberOption(step, 'entries', 2),
    targets
  }, {
    snapshotEvery: scenarioLanguage.getNumberOption(step, 'snapshotEvery', 1000),
    targetRelays: step.options['targetRelays'] === 'yes',
    drainNoticeMs: scenarioLanguage.getNumberOption(step, 'drainNoticeMs', 500)
  })
}

function createSignalVerb (action: managedProcess.ProcessAction): verbs.Verb {
  return async (w, step) => {
    for (const name of await w.resolve(scenarioLanguage.requireArgument(step, 0, 'a process'))) {
      const child = w.fleet.process(name)
      child.sendSignal(action)
      if (action === 'kill') await child.exited
    }
  }
}

/**
 * Starts processes and waits until each listens or has exited, so that the time limits of the next steps do not include
 * the time that a busy machine takes to load a program. A crashed process may exit a while after its connections are
 * closed, so a scenario must wait for the exit before it starts the process again.
 */
async function start (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const names = await w.resolve(scenarioLanguage.requireArgument(step, 0, 'a process'))
  const running = names.filter((name) => w.fleet.process(name).isRunning)
  verbs.check(running.length === 0, `${running.join(', ')} still running: wait for the exit before starting again`)
  // Stores the time of the start, relative to which the option `time` of the verb `expect-version` reports its result.
  w.mark('start')
  const maxFileBytes = step.options['maxFileBytes']
  for (const name of names) w.start(name, maxFileBytes === undefined ? undefined : Number(maxFileBytes))
  for (const name of names) await w.fleet.waitFor(`${name} to listen`, async () => await w.fleet.isListeningOrExited(name))
}

async function waitExit (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const timeoutMs = verbs.durationOption(step, 'within', '30s')
  for (const name of await w.resolve(scenarioLanguage.requireArgument(step, 0, 'a process'))) {
    const child = w.fleet.process(name)
    child.expectExit()
    const code = await async.withTimeout(child.exited, timeoutMs, () => new Error(`${name} is still running after ${timeoutMs} ms`))
    verbs.check(String(code) === (step.options['code'] ?? '0'), `${name} exited with code ${String(code)}`)
  }
}

async function loseDisk (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  for (const name of await w.resolve(scenarioLanguage.requireArgument(step, 0, 'a control replica'))) w.fleet.loseDisk(name)
}

/** Truncates the last bytes of the log file, which simulates a write that a crash interrupted. */
async function tearLog (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'a control replica'))
  const file = path.join(w.fleet.dataFolder(name), 'log')
  const bytes = scenarioLanguage.getNumberOption(step, 'bytes', 3)
  fs.truncateSync(file, Math.max(0, fs.statSync(file).size - bytes))
}

/** Inverts the bits of one byte of the log file. */
async function damageLog (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'a control replica'))
  const file = path.join(w.fleet.dataFolder(name), 'log')
  const data = fs.readFileSync(file)
  data[scenarioLanguage.getNumberOption(step, 'at', 13)]! ^= 0xff
  fs.writeFileSync(file, data)
}

function createPairVerb (action: 'cut' | 'heal'): verbs.Verb {
  return async (w, step) => {
    const from = await w.resolve(scenarioLanguage.requireArgument(step, 0, 'a process'))
    const to = step.args[1] === undefined ? ['*'] : await w.resolve(step.args[1])
    for (const a of from) for (const b of to) w.fleet.relays![action](a, b)
  }
}

async function silence (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const least = scenarioLanguage.getNumberOption(step, 'least', 1)
  let count = 0
  for (const name of await w.resolve(scenarioLanguage.requireArgument(step, 0, 'a process'))) count += w.fleet.relays!.silence(name)
  verbs.check(count >= least, `silenced only ${count} open connections`)
}

async function bind (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  w.bind(scenarioLanguage.requireArgument(step, 0, 'a name'), await w.resolveOne(scenarioLanguage.requireArgument(step, 1, 'a process')))
}

async function expectStopped (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'a process'))
  const text = scenarioLanguage.requireArgument(step, 1, 'a text in its output')
  w.fleet.process(name).expectExit()
  verbs.check(!w.fleet.process(name).isRunning, `${name} is still running`)
  verbs.check(w.fleet.process(name).readOutput().includes(text), `${name} did not print "${text}"`)
}

export const processVerbs: verbs.Verbs = {
  fleet: startFleet,
  start,
  stop: createSignalVerb('stop'),
  kill: createSignalVerb('kill'),
  freeze: createSignalVerb('freeze'),
  thaw: createSignalVerb('thaw'),
  'wait-exit': waitExit,
  'lose-disk': loseDisk,
  'tear-log': tearLog,
  'damage-log': damageLog,
  cut: createPairVerb('cut'),
  heal: createPairVerb('heal'),
  silence,
  bind,
  'expect-stopped': expectStopped,
  // Stores the current time under a name, relative to which `expect-not-chosen` selects the later decisions.
  mark: (w, step) => w.mark(scenarioLanguage.requireArgument(step, 0, 'a name')),
  wait: async (_w, step) => await async.sleep(verbs.parseDuration(scenarioLanguage.requireArgument(step, 0, 'a duration')))
}
