/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/hedging.test.js > TAP > the endpoint of the loser learns at once that its request was cancelled > must match snapshot 1`] = `
Array [
  "rosemaryrack_hedge_share_limit{of=\\"requests\\"} 1",
  "rosemaryrack_hedge_share{of=\\"requests\\"} 1",
  "rosemaryrack_hedges_sent_total 1",
  "rosemaryrack_hedges_total{outcome=\\"won\\"} 1",
]
`
