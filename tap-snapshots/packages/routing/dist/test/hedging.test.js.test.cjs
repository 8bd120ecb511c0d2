/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/routing/dist/test/hedging.test.js > TAP > in overload no hedge is sent while calls wait, and as many callers are served in time > must match snapshot 1`] = `
Object {
  "hedged": Object {
    "inTime": 0.5659,
    "p50": 366,
    "p99": 733,
    "p999": 805,
  },
  "without": Object {
    "inTime": 0.5678,
    "p50": 367,
    "p99": 737,
    "p999": 800,
  },
}
`

exports[`packages/routing/dist/test/hedging.test.js > TAP > while endpoints are slow for a while, hedges make late responses rarer and others no slower > must match snapshot 1`] = `
Object {
  "hedged": Object {
    "inTime": 1,
    "p50": 65,
    "p99": 243,
    "p999": 441,
  },
  "without": Object {
    "inTime": 1,
    "p50": 66,
    "p99": 415,
    "p999": 545,
  },
}
`
