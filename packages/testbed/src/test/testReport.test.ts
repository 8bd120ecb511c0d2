/** Results that `npm test` counts when a test file is interrupted: a run with missing tests must not count as passed. */
import * as stream from 'node:stream'
import * as tap from 'tap'

interface Result {
  readonly ok: boolean
}

/** Functions of `scripts/testReport.mjs`, which has no type declarations. */
interface TestReport {
  readResults(stream: stream.Readable, files: readonly string[], report: (name: string, result: Result) => void): Promise<void>
}

const script = new URL('../../../../scripts/testReport.mjs', import.meta.url).href
const file = 'packages/a/dist/test/a.test.js'
const passedFile = `# Subtest: ${file}
    # Subtest: fine
        ok 1 - should be equal
        1..1
    ok 1 - fine
    1..1
ok 1 - ${file}
`

/** Returns the results that are counted for this output of the test runner. */
async function readReport (output: string, files: readonly string[]): Promise<readonly string[]> {
  const { readResults } = await import(script) as TestReport
  const counted: string[] = []
  await readResults(stream.Readable.from([`TAP version 14\n${output}`]), files, (name, { ok }) => {
    counted.push(`${ok ? 'ok' : 'FAILED'} ${name}`)
  })
  return counted
}

tap.t.test('a file that passed', async (t) => {
  t.matchSnapshot(await readReport(`${passedFile}1..1\n`, [file]))
})

tap.t.test('a file that was never started', async (t) => {
  t.matchSnapshot(await readReport(`${passedFile}1..1\n`, [file, 'packages/b/dist/test/b.test.js']))
})

tap.t.test('a file that was killed after its first test', async (t) => {
  const killed = `# Subtest: ${file}
    # Subtest: fine
        ok 1 - should be equal
        1..1
    ok 1 - fine
    # test count(1) != plan(null)
not ok 1 - ${file}
  ---
  externalID: ${file}
  exitCode: null
  signal: SIGKILL
  ...
1..1
`
  t.matchSnapshot(await readReport(killed, [file]))
})

tap.t.test('a file that exceeded the time limit after its last test', async (t) => {
  const expired = `${passedFile}not ok 2 - timeout!
  ---
  expired: ${file}
  ...
1..2
`
  t.matchSnapshot(await readReport(expired, [file]))
})

tap.t.test('a file that was killed after a test had failed', async (t) => {
  const failed = `# Subtest: ${file}
    not ok 1 - known
    1..1
not ok 1 - ${file}
  ---
  externalID: ${file}
  signal: SIGKILL
  ...
1..1
`
  t.matchSnapshot(await readReport(failed, [file]))
})

tap.t.test('a file with one failed test counts once', async (t) => {
  const failed = `# Subtest: ${file}
    not ok 1 - wrong
    1..1
not ok 1 - ${file}
  ---
  externalID: ${file}
  exitCode: 1
  signal: null
  ...
1..1
`
  t.matchSnapshot(await readReport(failed, [file]))
})
