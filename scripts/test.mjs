/** `npm test`: installs, builds, runs all tests, and ends in the line `N passed, N failed`. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as prepare from './prepare.mjs'

const testFolders = ['platform', ...fs.readdirSync('packages').map((name) => `packages/${name}`)].map((folder) => `${folder}/dist/test`)
const parallelFiles = 2
/** Ends a file that hangs, in seconds: three times what the scenarios take. */
const fileLimitS = 600

function testFiles () {
  return testFolders
    .filter((folder) => fs.existsSync(folder))
    .flatMap((folder) => fs.readdirSync(folder).filter((file) => file.endsWith('.test.js')).map((file) => `${folder}/${file}`))
}

/** Names of the tests in KNOWN-RED.txt: lines `FILE > TEST | command and seed | seen | issue`. */
function knownRed () {
  const lines = fs.readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(lines.filter((line) => line.includes(' | ')).map((line) => line.split(' | ')[0].trim()))
}

/** Starts the runner on the files; its output also goes to a file. */
function startRunner (files) {
  const args = ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap', `--jobs=${parallelFiles}`, `--timeout=${fileLimitS}`, ...files]
  const runner = childProcess.spawn('npx', args, { stdio: ['ignore', 'pipe', 'inherit'] })
  runner.stdout.pipe(fs.createWriteStream('run/test-output.tap'))
  return runner.stdout
}

prepare.prepare()
fs.mkdirSync('run', { recursive: true })
const expectedRed = knownRed()
const outcome = { passed: 0, failed: 0 }
const named = process.argv.slice(2)
const files = named.length > 0 ? named : testFiles()
const testReport = await import('./testReport.mjs')
await testReport.readResults(startRunner(files), files, (name, { ok, diag, time }, failedChecks) => {
  const red = !ok && expectedRed.has(name)
  const mark = ok ? 'ok' : red ? 'KNOWN RED' : 'FAILED'
  console.log(`${mark} ${name}${time === undefined ? '' : ` (${Math.round(time)} ms)`}`)
  if (!ok && !red) {
    if (diag) console.log(JSON.stringify(diag, null, 2))
    for (const { name: check, diff, stack } of failedChecks) console.log(`  ${check}\n${diff ?? ''}\n${stack ?? ''}`)
  }
  if (ok) outcome.passed++
  else if (!red) outcome.failed++
})
console.log(`${outcome.passed} passed, ${outcome.failed} failed`)
process.exitCode = outcome.failed === 0 && outcome.passed > 0 ? 0 : 1
