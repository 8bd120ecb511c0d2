/** Reads the TAP of a test run. A file that was cut short or gave no result counts as failed. */
import * as tapParser from 'tap-parser'

function sourceOf (file) {
  return file.replace('/dist/', '/src/').replace(/\.js$/, '.ts')
}

/** The file that a result of the runner itself is about. */
function fileOf ({ name, diag }) {
  return diag?.externalID ?? diag?.expired ?? name
}

/** The file's process was killed, by the runner's time limit or otherwise: tests of it may not have run. */
function wasCutShort ({ diag }) {
  return Boolean(diag?.signal ?? diag?.expired)
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

/**
 * Calls `report(name, result, failedChecks)` for each test within each file, for each file that failed as a whole, and
 * for each of `files` without any result.
 */
export async function readResults (stream, files, report) {
  const parser = new tapParser.Parser()
  const seen = new Set()
  const failed = new Set()
  const tell = (file, test, result, failedChecks) => {
    seen.add(file)
    if (!result.ok) failed.add(file)
    report(`${sourceOf(file)} > ${test}`, result, failedChecks)
  }
  parser.on('child', (file) => {
    let failedChecks = []
    collectFailures(file, (check) => failedChecks.push(check))
    file.on('assert', (result) => {
      tell(file.name, result.name, result, failedChecks)
      failedChecks = []
    })
  })
  parser.on('assert', (result) => {
    const file = fileOf(result)
    if (!result.ok && (wasCutShort(result) || !failed.has(file))) tell(file, '(whole file)', result, [])
  })
  const complete = new Promise((resolve) => parser.on('complete', resolve))
  stream.pipe(parser)
  await complete
  for (const file of files.filter((each) => !seen.has(each))) tell(file, '(no result)', { ok: false }, [])
}
