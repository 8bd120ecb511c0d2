/** `npm run prove`: runs scenarios, prints one line for each run and at the end `N passed, N failed`. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as cac from 'cac'
import * as scenarioRunner from './scenarioRunner.js'

const scenarioFolder = url.fileURLToPath(new URL('../../scenarios/', import.meta.url))
const extension = '.scenario'
const defaultSeed = 1

interface Options {
  readonly seed: number
  readonly seeds: number
  readonly jobs: number
  readonly keep: boolean
  readonly exact: boolean
}

function scenarioNames (filter: readonly string[], exact: boolean): readonly string[] {
  const names = fs.readdirSync(scenarioFolder).filter((file) => file.endsWith(extension)).map((file) => path.basename(file, extension)).sort()
  return filter.length === 0 ? names : names.filter((name) => filter.some((part) => exact ? name === part : name.includes(part)))
}

async function runScenarios (names: readonly string[], options: Options): Promise<number> {
  const queue = names.flatMap((name) => Array.from({ length: options.seeds }, (_value, i) => ({ name, seed: options.seed + i })))
  const total = queue.length
  let failed = 0
  const worker = async (): Promise<void> => {
    for (let run = queue.shift(); run !== undefined; run = queue.shift()) {
      const { name, seed } = run
      const text = fs.readFileSync(path.join(scenarioFolder, name + extension), 'utf8')
      const result = await scenarioRunner.runScenario(name, text, seed, options.keep)
      if (!result.passed) failed++
      process.stdout.write(`${result.passed ? 'passed' : 'FAILED'} ${name} seed=${seed} (${(result.ms / 1000).toFixed(1)} s)${formatOutcome(result)}\n`)
    }
  }
  await Promise.all(Array.from({ length: options.jobs }, worker))
  process.stdout.write(`${total - failed} passed, ${failed} failed\n`)
  return failed
}

/** Returns the error of a failed scenario, or the measurements of a passed one. */
function formatOutcome ({ passed, message, measurements }: scenarioRunner.ScenarioResult): string {
  const shown = passed ? measurements.join('; ') : message
  return shown === '' ? '' : `: ${shown}`
}

const cli = cac.cac('npm run prove --')
cli.command('[...names]', 'Runs the scenarios whose names contain one of the given texts, or all')
  .option('--seed <seed>', 'Seed of the random choices in scenarios', { default: defaultSeed })
  .option('--seeds <count>', 'Number of seeds to run each scenario with, counted up from --seed', { default: 1 })
  .option('--jobs <count>', 'Number of scenarios to run concurrently', { default: 1 })
  .option('--exact', 'Match the whole name of a scenario', { default: false })
  .option('--keep', 'Keep the logs of failed scenarios', { default: false })
  .action(async (names: readonly string[], options: Options) => {
    const chosen = scenarioNames(names, options.exact)
    // Calls and timers that are left over from scenarios would keep the process alive.
    process.exit(chosen.length > 0 && await runScenarios(chosen, options) === 0 ? 0 : 1)
  })
cli.help()
cli.parse()
