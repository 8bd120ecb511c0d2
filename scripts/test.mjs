/** `npm test`: installs, builds, runs all tests, and ends in the line `N passed, N failed`. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as prepare from './prepare.mjs'

const testFolders = /^packages\/[a-z]+\/dist\/test$/
const parallelFiles = 2

function testFiles () {
  return fs.readdirSync('packages')
    .map((name) => `packages/${name}/dist/test`)
    .filter((folder) => testFolders.test(folder) && fs.existsSync(folder))
    .flatMap((folder) => fs.readdirSync(folder).filter((file) => file.endsWith('.test.js')).map((file) => `${folder}/${file}`))
}

/** Names of the tests in KNOWN-RED.txt: lines `FILE > TEST | command and seed | seen | issue`. */
function knownRed () {
  const lines = fs.readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(lines.filter((line) => line.includes(' | ')).map((line) => line.split(' | ')[0].trim()))
}

/** Calls `report` with each failed check of the subtests below, however deep. */
function collectFailures (parser, report) {
  parser.on('child', (child) => {
    child.on('assert', ({ ok, name, diag }) => {
      if (!ok) report({ name, diff: diag?.diff, stack: diag?.stack })
    })
    collectFailures(child, report)
  })
}

/** Calls `report` for each test within each file, and for a file that failed as a whole. */
async function runTests (files, report) {
  const tapParser = await import('tap-parser')
  const args = ['tap', 'run', '--disable-coverage', '--allow-empty-coverage', '--reporter=tap', `--jobs=${parallelFiles}`, '--timeout=240', ...files]
  const runner = childProcess.spawn('npx', args, { stdio: ['ignore', 'pipe', 'inherit'] })
  const parser = new tapParser.Parser()
  const filesWithFailures = new Set()
  parser.on('child', (file) => {
    let failedTests = 0
    let failedChecks = []
    collectFailures(file, (check) => failedChecks.push(check))
    file.on('assert', (result) => {
      const name = `${file.name.replace('/dist/', '/src/').replace('.js', '.ts')} > ${result.name}`
      if (!result.ok) {
        failedTests++
        filesWithFailures.add(file.name)
      }
      report(name, result, failedChecks)
      failedChecks = []
    })
    file.on('complete', (results) => {
      if (!results.ok && failedTests === 0) report(`${file.name} > (whole file)`, { ok: false, diag: results.failures })
    })
  })
  parser.on('assert', (result) => {
    if (!result.ok && result.diag?.exitCode && !filesWithFailures.has(result.name)) report(`${result.name} > (exit)`, result)
  })
  runner.stdout.pipe(fs.createWriteStream('run/test-output.tap'))
  runner.stdout.pipe(parser)
  await new Promise((resolve) => parser.on('complete', resolve))
}

prepare.prepare()
fs.mkdirSync('run', { recursive: true })
const expectedRed = knownRed()
const outcome = { passed: 0, failed: 0 }
const started = process.argv.slice(2)
await runTests(started.length > 0 ? started : testFiles(), (name, { ok, diag, time }, failedChecks = []) => {
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
