/** Runs scenario files against real processes and checks the invariants at the end. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import * as callVerbs from './callVerbs.js'
import * as configVerbs from './configVerbs.js'
import * as invariants from './invariants.js'
import * as processVerbs from './processVerbs.js'
import * as faultVerbs from './faultVerbs.js'
import type * as verbs from './verbs.js'
import * as world from './world.js'

const allVerbs: verbs.Verbs = { ...processVerbs.processVerbs, ...configVerbs.configVerbs, ...callVerbs.callVerbs, ...faultVerbs.faultVerbs }
const maxMessageLines = 8

/** Outcome of one scenario. */
export interface ScenarioResult {
  readonly name: string
  readonly passed: boolean
  readonly message: string
  readonly measurements: readonly string[]
  readonly ms: number
}

/** Runs one scenario; never rejects. With `keep`, the folder of a failed scenario is kept. */
export async function runScenario (name: string, text: string, seed: number, keep = false): Promise<ScenarioResult> {
  const start = performance.now()
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-proof-'))
  const w = new world.World(folder, seed)
  let message = ''
  try {
    for (const step of scenarioLanguage.parseScenario(name, text)) await runStep(w, name, step)
    const violations = invariants.findViolations(w)
    if (violations.length > 0) throw new Error(`${name}: ${violations.slice(0, 5).join('; ')}`)
  } catch (err) {
    message = [(err as Error).message, ...w.notes].join('; ')
    if (keep) message += `\n  logs in ${folder}`
  }
  await w.dispose()
  if (message === '' || !keep) fs.rmSync(folder, { recursive: true, force: true })
  return { name, passed: message === '', message, measurements: w.measurements, ms: performance.now() - start }
}

async function runStep (w: world.World, name: string, step: scenarioLanguage.Step): Promise<void> {
  const verb = allVerbs[step.verb]
  if (verb === undefined) throw new Error(`${name}:${step.line}: unknown verb ${step.verb}; the verbs are ${Object.keys(allVerbs).sort().join(', ')}`)
  try {
    await verb(w, step)
  } catch (err) {
    throw new Error(`${name}:${step.line}: ${step.verb} ${step.args.join(' ')}: ${(err as Error).message.split('\n').slice(0, maxMessageLines).join('\n')}`)
  }
}
