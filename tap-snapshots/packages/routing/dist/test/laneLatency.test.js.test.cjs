/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/routing/dist/test/laneLatency.test.js > TAP > typical latencies and hedge delays > must match snapshot 1`] = `
Object {
  "many responses, a far target": Object {
    "hedge": 484,
    "typical": 161,
  },
  "many responses, a near target": Object {
    "hedge": 224,
    "typical": 160,
  },
  "many responses, no target": Object {
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
  "one response, no target": Object {
    "hedge": 900,
    "typical": 300,
  },
  "one slow response, a target": Object {
    "hedge": 288,
    "typical": 240,
  },
  "responses beyond the target": Object {
    "hedge": 192,
    "typical": 160,
  },
}
`
