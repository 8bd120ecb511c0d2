/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/stalledResponses.test.js > TAP > a response in chunks whose caller stopped reading makes room for a call that waits, and looks incomplete > must match snapshot 1`] = `
Object {
  "cut": "rosemaryrack_cut_responses_total{lane=\\"lane\\",reason=\\"stalled\\"} 1",
  "stalled": "incomplete",
  "waiting": "ok",
}
`

exports[`packages/entry/dist/test/stalledResponses.test.js > TAP > a response with a length whose caller stopped reading makes room for a call that waits, and looks incomplete > must match snapshot 1`] = `
Object {
  "cut": "rosemaryrack_cut_responses_total{lane=\\"lane\\",reason=\\"stalled\\"} 1",
  "stalled": "incomplete",
  "waiting": "ok",
}
`

exports[`packages/entry/dist/test/stalledResponses.test.js > TAP > a response without a length whose caller stopped reading makes room for a call that waits, and looks incomplete > must match snapshot 1`] = `
Object {
  "cut": "rosemaryrack_cut_responses_total{lane=\\"lane\\",reason=\\"stalled\\"} 1",
  "stalled": "incomplete",
  "waiting": "ok",
}
`
