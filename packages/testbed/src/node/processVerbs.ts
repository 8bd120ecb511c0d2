/** Verbs on processes, disks and connections. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as async from '@rosemaryrack/base/common/async.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as managedProcess from './managedProcess.js'
import * as verbs from './verbs.js'
import type * as world from './world.js'

const defaultSlots = 6
const defaultConnections = 260

async function startFleet (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const targets = (step.options['targets'] ?? '').split(',').filter((text) => text !== '').map((text) => {
    const [service = '', count = '1'] = text.split(':')
    return { service, count: Number(count), slots: scenarioLanguage.numberOption(step, 'slots', defaultSlots), connectionLimit: defaultConnections }
  })
  await w.startFleet({
    cluster: 'proof',
    failureDomains: ['a', 'b', 'c'],
    controls: scenarioLanguage.numberOption(step, 'controls', 3),
    entries: scenarioLanguage.numberOption(step, 'entries', 2),
    targets
  }, {
    snapshotEvery: scenarioLanguage.numberOption(step, 'snapshotEvery', 1000),
    targetRelays: step.options['targetRelays'] === 'yes',
    drainNoticeMs: scenarioLanguage.numberOption(step, 'drainNoticeMs', 500)
  })
}

function act (action: managedProcess.ProcessAction): verbs.Verb {
  return async (w, step) => {
    for (const name of await w.resolve(scenarioLanguage.argument(step, 0, 'a process'))) {
      const child = w.fleet.process(name)
      child.act(action)
      if (action === 'kill') await child.exited
    }
  }
}

/**
 * Starts processes and waits until each listens or has ended. Steps that follow measure the system's own promises;
 * how soon a busy machine loads a program is none of them. A process that crashes may outlive its connections by a
 * while, so a scenario waits for its exit before it starts it again.
 */
async function start (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const names = await w.resolve(scenarioLanguage.argument(step, 0, 'a process'))
  const running = names.filter((name) => w.fleet.process(name).isRunning)
  verbs.check(running.length === 0, `${running.join(', ')} still running: wait for the exit first`)
  w.mark('start')
  const limit = step.options['maxFileBytes']
  for (const name of names) w.start(name, limit === undefined ? undefined : Number(limit))
  for (const name of names) await w.fleet.waitFor(`${name} to listen`, async () => await w.fleet.isUp(name))
}

async function waitExit (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const within = verbs.durationOption(step, 'within', '30s')
  for (const name of await w.resolve(scenarioLanguage.argument(step, 0, 'a process'))) {
    const child = w.fleet.process(name)
    child.expectEnd()
    const code = await async.within(child.exited, within, () => new Error(`${name} still runs after ${within} ms`))
    verbs.check(String(code) === (step.options['code'] ?? '0'), `${name} ended with ${String(code)}`)
  }
}

async function loseDisk (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  for (const name of await w.resolve(scenarioLanguage.argument(step, 0, 'a control replica'))) w.fleet.loseDisk(name)
}

/** Cuts the last bytes off the log file, as a write torn by a crash would leave it. */
async function tearLog (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.argument(step, 0, 'a control replica'))
  const file = path.join(w.fleet.dataFolder(name), 'log')
  const bytes = scenarioLanguage.numberOption(step, 'bytes', 3)
  fs.truncateSync(file, Math.max(0, fs.statSync(file).size - bytes))
}

/** Flips a byte of the log file. */
async function damageLog (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.argument(step, 0, 'a control replica'))
  const file = path.join(w.fleet.dataFolder(name), 'log')
  const data = fs.readFileSync(file)
  data[scenarioLanguage.numberOption(step, 'at', 13)]! ^= 0xff
  fs.writeFileSync(file, data)
}

function onPair (action: 'cut' | 'heal'): verbs.Verb {
  return async (w, step) => {
    const from = await w.resolve(scenarioLanguage.argument(step, 0, 'a process'))
    const to = step.args[1] === undefined ? ['*'] : await w.resolve(step.args[1])
    for (const a of from) for (const b of to) w.fleet.relays![action](a, b)
  }
}

async function silence (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const least = scenarioLanguage.numberOption(step, 'least', 1)
  let count = 0
  for (const name of await w.resolve(scenarioLanguage.argument(step, 0, 'a process'))) count += w.fleet.relays!.silence(name)
  verbs.check(count >= least, `only ${count} connections were open to go silent`)
}

async function bind (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  w.bind(scenarioLanguage.argument(step, 0, 'a name'), await w.resolveOne(scenarioLanguage.argument(step, 1, 'a process')))
}

async function expectStopped (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.argument(step, 0, 'a process'))
  const text = scenarioLanguage.argument(step, 1, 'a text of its output')
  w.fleet.process(name).expectEnd()
  verbs.check(!w.fleet.process(name).isRunning, `${name} still runs`)
  verbs.check(w.fleet.process(name).output().includes(text), `${name} did not print "${text}"`)
}

export const processVerbs: verbs.Verbs = {
  fleet: startFleet,
  start,
  stop: act('stop'),
  kill: act('kill'),
  freeze: act('freeze'),
  thaw: act('thaw'),
  'wait-exit': waitExit,
  'lose-disk': loseDisk,
  'tear-log': tearLog,
  'damage-log': damageLog,
  cut: onPair('cut'),
  heal: onPair('heal'),
  silence,
  bind,
  'expect-stopped': expectStopped,
  mark: (w, step) => w.mark(scenarioLanguage.argument(step, 0, 'a name')),
  wait: async (_w, step) => await async.sleep(verbs.duration(scenarioLanguage.argument(step, 0, 'a duration')))
}
