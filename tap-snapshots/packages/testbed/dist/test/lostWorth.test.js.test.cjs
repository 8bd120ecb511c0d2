/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/testbed/dist/test/lostWorth.test.js > TAP > a day with a final fault that stops all processes > must match snapshot 1`] = `
Array [
  "day: worth 0.7",
  "  lost in parts: whole day 0.014, worst windows 0.16",
  "  lost to prices: machine-seconds 0.05",
  "  all processes down from 32.5 to 33.5 s",
  "  window from 32 s: worth 0.3 of at most 0.6; 200 asked, 60 in the target, 10 late, 1 refused, 2 failed; concurrent faults: closing (kill_all)",
  "  window from 28 s: worth 0.9 of at most 1; 200 asked, 180 in the target, 10 late, 1 refused, 2 failed; concurrent faults: srv_slow",
  "  unserved requests by outcome of the last attempt: no connection 50",
]
`

exports[`packages/testbed/dist/test/lostWorth.test.js > TAP > a day without a final fault > must match snapshot 1`] = `
Array [
  "day: worth 0.7",
  "  lost in parts: whole day 0.014, worst windows 0.16",
  "  lost to prices: machine-seconds 0.05",
  "  window from 32 s: worth 0.3 of at most 1; 200 asked, 60 in the target, 10 late, 1 refused, 2 failed; concurrent faults: none",
  "  window from 28 s: worth 0.9 of at most 1; 200 asked, 180 in the target, 10 late, 1 refused, 2 failed; concurrent faults: none",
  "  unserved requests by outcome of the last attempt: no connection 50",
]
`
