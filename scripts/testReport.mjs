/** Reads the TAP output of a test run. A file that was killed or gave no result counts as failed. */
import * as tapParser from 'tap-parser'

function sourceFileOf (file) {
  return file.replace('/dist/', '/src/').replace(/\.js$/, '.ts')
}

/** Returns the file that a top-level result of the runner refers to: named in `externalID`, or in `expired` after the runner's timeout. */
function testFileOf ({ name, diag }) {
  return diag?.externalID ?? diag?.expired ?? name
}

/** Returns whether the file's process was killed, by the runner's timeout or otherwise, so that some of its tests may not have run. */
function wasKilled ({ diag }) {
  return Boolean(diag?.signal ?? diag?.expired)
}

/** Calls `report` with each failed assertion of the nested subtests, at any depth. */
function collectFailures (parser, report) {
  parser.on('child', (child) => {
    child.on('assert', ({ ok, name, diag }) => {
      if (!ok) report({ name, diff: diag?.diff, stack: diag?.stack })
    })
    collectFailures(child, report)
  })
}

/**
 * Calls `report(name, result, failedChecks)` for each test in each file, for each file that failed as a whole, and for each
 * of `files` without any result.
 */
export async function readResults (stream, files, report) {
  const parser = new tapParser.Parser()
  const reportedFiles = new Set()
  const failedFiles = new Set()
  const reportResult = (file, test, result, failedChecks) => {
    reportedFiles.add(file)
    if (!result.ok) failedFiles.add(file)
    report(`${sourceFileOf(file)} > ${test}`, result, failedChecks)
  }
  parser.on('child', (file) => {
    let failedChecks = []
    collectFailures(file, (check) => failedChecks.push(check))
    file.on('assert', (result) => {
      reportResult(file.name, result.name, result, failedChecks)
      failedChecks = []
    })
  })
  parser.on('assert', (result) => {
    const file = testFileOf(result)
    if (!result.ok && (wasKilled(result) || !failedFiles.has(file))) reportResult(file, '(whole file)', result, [])
  })
  const complete = new Promise((resolve) => parser.on('complete', resolve))
  stream.pipe(parser)
  await complete
  for (const file of files.filter((each) => !reportedFiles.has(each))) reportResult(file, '(no result)', { ok: false }, [])
}
