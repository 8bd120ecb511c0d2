/**
 * Runs the scenarios that are short enough for CI. A scenario whose first line begins with `# slow` runs only in
 * `npm run prove`; one that begins with `# alone` runs alone, because concurrent scenarios would slow it down so that it
 * misses its time limits.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'
import * as tap from 'tap'

const folder = url.fileURLToPath(new URL('../../scenarios/', import.meta.url))
const proveScript = url.fileURLToPath(new URL('../node/prove.js', import.meta.url))
const extension = '.scenario'
const slowMark = '# slow'
const aloneMark = '# alone'
const seed = 1
const concurrentJobCount = 3

interface Scenario {
  readonly name: string
  readonly text: string
}

function readScenarios (): readonly Scenario[] {
  const files = fs.readdirSync(folder).filter((file) => file.endsWith(extension)).sort()
  return files
    .map((file) => ({ name: path.basename(file, extension), text: fs.readFileSync(path.join(folder, file), 'utf8') }))
    .filter(({ text }) => !text.startsWith(slowMark))
}

function runsAlone ({ text }: Scenario): boolean {
  return text.startsWith(aloneMark)
}

/** Runs scenarios as `npm run prove` does; returns the printed result line of each by name. */
async function prove (scenarios: readonly Scenario[], jobs: number): Promise<ReadonlyMap<string, string>> {
  const names = scenarios.map(({ name }) => name)
  const args = [proveScript, ...names, '--exact', '--seed', String(seed), '--jobs', String(jobs)]
  // Without NODE_OPTIONS: the test runner's hooks are for test files, not for the programs under test.
  const { NODE_OPTIONS, ...env } = process.env
  const child = childProcess.spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'inherit'] })
  const results = new Map<string, string>()
  for await (const line of readline.createInterface({ input: child.stdout })) {
    const [, name] = /^(?:passed|FAILED) (\S+) /.exec(line) ?? []
    if (name !== undefined) results.set(name, line)
  }
  return results
}

const scenarios = readScenarios()
const concurrentResults = await prove(scenarios.filter((each) => !runsAlone(each)), concurrentJobCount)
const aloneResults = await prove(scenarios.filter(runsAlone), 1)

for (const { name } of scenarios) {
  tap.t.test(name, async (t) => {
    const line = concurrentResults.get(name) ?? aloneResults.get(name) ?? 'gave no result'
    t.match(line, /^passed /, line)
  })
}
