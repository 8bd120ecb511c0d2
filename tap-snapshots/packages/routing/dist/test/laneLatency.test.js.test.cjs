/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/routing/dist/test/laneLatency.test.js > TAP > typical latencies and hedge delays > must match snapshot 1`] = `
Object {
  "many responses, a high target latency": Object {
    "hedge": 484,
    "typical": 161,
  },
  "many responses, a low target latency": Object {
    "hedge": 224,
    "typical": 160,
  },
  "many responses, no target latency": Object {
    "hedge": 900,
    "typical": 300,
  },
  "no responses, no target latency": Object {
    "hedge": 900,
    "typical": 300,
  },
  "no responses, with a target latency": Object {
    "hedge": 224,
    "typical": 160,
  },
  "one response, no target latency": Object {
    "hedge": 900,
    "typical": 300,
  },
  "one slow response, with a target latency": Object {
    "hedge": 288,
    "typical": 240,
  },
  "responses slower than the target latency": Object {
    "hedge": 192,
    "typical": 160,
  },
}
`
