/**
 * Mutation tests: disables one mechanism at a time in a temporary copy of the repository and checks that the scenario or the
 * test file that covers it fails. `node scripts/mutate.mjs [TEXT...]` runs only those whose names contain one of the texts.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as prepare from './prepare.mjs'

const timeoutMs = 180_000
const defaultSeed = 1
const maxJobs = 3

function copyRepository () {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-mutation-'))
  for (const name of ['packages', 'examples', 'package.json']) fs.cpSync(name, path.join(folder, name), { recursive: true, verbatimSymlinks: true })
  fs.cpSync('node_modules/@rosemaryrack', path.join(folder, 'node_modules/@rosemaryrack'), { recursive: true, verbatimSymlinks: true })
  for (const name of fs.readdirSync('node_modules')) {
    if (name !== '@rosemaryrack') fs.symlinkSync(path.resolve('node_modules', name), path.join(folder, 'node_modules', name))
  }
  return folder
}

function nameOf ({ scenario, test }) {
  return scenario ?? `${test}.test`
}

function replaceOnce (text, { from, to }, file) {
  if (!text.includes(from)) throw new Error(`${file} no longer contains: ${from}`)
  return text.replace(from, () => to)
}

/** Returns the arguments of Node.js that run the scenario or the test file of a mutation. */
function argsOf ({ scenario, test, seed = defaultSeed, seeds = 1 }) {
  if (test !== undefined) return [`packages/testbed/dist/test/${test}.test.js`]
  return ['packages/testbed/dist/node/prove.js', scenario, '--seed', String(seed), '--seeds', String(seeds), '--jobs', String(Math.min(seeds, maxJobs))]
}

/** Runs one scenario or test file with one mutation applied; returns true if it failed, as expected. */
function failsWithMutation (folder, mutation) {
  const originals = new Map()
  for (const change of mutation.changes) {
    const file = path.join(folder, 'packages', change.file)
    const text = fs.readFileSync(file, 'utf8')
    if (!originals.has(file)) originals.set(file, text)
    fs.writeFileSync(file, replaceOnce(text, change, change.file))
  }
  const run = childProcess.spawnSync(process.execPath, argsOf(mutation), { cwd: folder, encoding: 'utf8', timeout: timeoutMs, killSignal: 'SIGKILL' })
  for (const [file, text] of originals) fs.writeFileSync(file, text)
  const line = run.stdout.split('\n').find((text) => text.startsWith('FAILED') || text.startsWith('not ok')) ?? (run.status === 0 ? 'passed' : 'timed out')
  console.log(`${run.status === 0 ? 'STILL GREEN' : 'red'} ${nameOf(mutation)} without "${mutation.breaks}": ${line.slice(0, 300)}`)
  return run.status !== 0
}

prepare.prepare()
const nameFilters = process.argv.slice(2)
const mutations = JSON.parse(fs.readFileSync('packages/testbed/mutations.json', 'utf8'))
  .filter((mutation) => nameFilters.length === 0 || nameFilters.some((text) => nameOf(mutation).includes(text)))
const folder = copyRepository()
const detectedCount = mutations.filter((mutation) => failsWithMutation(folder, mutation)).length
fs.rmSync(folder, { recursive: true, force: true })
console.log(`${detectedCount} red, ${mutations.length - detectedCount} still green`)
process.exitCode = detectedCount === mutations.length ? 0 : 1
