/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/routing/dist/test/laneLatency.test.js > TAP > typical latencies and hedge delays > must match snapshot 1`] = `
Object {
  "answers beyond the target": Object {
    "hedge": 192,
    "typical": 160,
  },
  "many answers, a far target": Object {
    "hedge": 484,
    "typical": 161,
  },
  "many answers, a near target": Object {
    "hedge": 224,
    "typical": 160,
  },
  "many answers, no target": Object {
    "hedge": 900,
    "typical": 300,
  },
  "nothing seen, a target": Object {
    "hedge": 224,
    "typical": 160,
  },
  "nothing seen, no target": Object {
    "hedge": 900,
    "typical": 300,
  },
  "one answer, no target": Object {
    "hedge": 900,
    "typical": 300,
  },
  "one slow answer, a target": Object {
    "hedge": 288,
    "typical": 240,
  },
}
`
