/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/testbed/dist/test/testReport.test.js > TAP > a file with one failed test counts once > must match snapshot 1`] = `
Array [
  "FAILED packages/a/src/test/a.test.ts > wrong",
]
`

exports[`packages/testbed/dist/test/testReport.test.js > TAP > a file that passed > must match snapshot 1`] = `
Array [
  "ok packages/a/src/test/a.test.ts > fine",
]
`

exports[`packages/testbed/dist/test/testReport.test.js > TAP > a file that exceeded the time limit after its last test > must match snapshot 1`] = `
Array [
  "ok packages/a/src/test/a.test.ts > fine",
  "FAILED packages/a/src/test/a.test.ts > (whole file)",
]
`

exports[`packages/testbed/dist/test/testReport.test.js > TAP > a file that was killed after a test had failed > must match snapshot 1`] = `
Array [
  "FAILED packages/a/src/test/a.test.ts > known",
  "FAILED packages/a/src/test/a.test.ts > (whole file)",
]
`

exports[`packages/testbed/dist/test/testReport.test.js > TAP > a file that was killed after its first test > must match snapshot 1`] = `
Array [
  "ok packages/a/src/test/a.test.ts > fine",
  "FAILED packages/a/src/test/a.test.ts > (whole file)",
]
`

exports[`packages/testbed/dist/test/testReport.test.js > TAP > a file that was never started > must match snapshot 1`] = `
Array [
  "ok packages/a/src/test/a.test.ts > fine",
  "FAILED packages/b/src/test/b.test.ts > (no result)",
]
`
