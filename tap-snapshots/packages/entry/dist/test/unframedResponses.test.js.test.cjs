/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/unframedResponses.test.js > TAP > responses without a length are logged at a bounded rate and all counted > first and last line 1`] = `
Array [
  Object {
    "bytes": 1000,
    "choice": "e",
    "connection": "reset",
    "end": "complete",
    "event": "unframed",
    "lane": "ledger",
    "requestId": "7",
    "status": 200,
    "why": "the response has no length and ends with its connection",
  },
  Object {
    "bytes": 1000,
    "choice": "e",
    "connection": "reset",
    "dropped": 30,
    "end": "complete",
    "event": "unframed",
    "lane": "ledger",
    "requestId": "7",
    "status": 200,
    "why": "the response has no length and ends with its connection",
  },
]
`

exports[`packages/entry/dist/test/unframedResponses.test.js > TAP > responses without a length are logged at a bounded rate and all counted > metrics 1`] = `
rosemaryrack_unframed_responses_total{lane="ledger",end="complete",connection="reset"} 51

`
