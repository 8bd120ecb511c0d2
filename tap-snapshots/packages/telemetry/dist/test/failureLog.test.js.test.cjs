/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/telemetry/dist/test/failureLog.test.js > TAP > logs the first failure of each subject with its reason, and the recovery > must match snapshot 1`] = `
Array [
  Object {
    "choice": "failed",
    "event": "config-fetch",
    "subject": "a",
    "why": "timed out",
  },
  Object {
    "choice": "failed",
    "event": "config-fetch",
    "subject": "b",
    "why": "refused",
  },
  Object {
    "choice": "recovered",
    "event": "config-fetch",
    "failures": 5,
    "subject": "a",
    "why": "succeeded after failures",
  },
  Object {
    "choice": "failed",
    "event": "config-fetch",
    "subject": "a",
    "why": "timed out again",
  },
]
`
