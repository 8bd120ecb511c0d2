/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/config/dist/test/configReview.test.js > TAP > a burst without a rate > must match snapshot 1`] = `
Array [
  Object {
    "kind": "contradiction",
    "message": "a burst has no effect without ratePerSecond",
    "path": "workspaces.w.burst",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a hedge at the deadline > must match snapshot 1`] = `
Array [
  Object {
    "kind": "contradiction",
    "message": "no hedge is sent after 1000 ms, since the deadline is 1000 ms",
    "path": "lanes.diary.hedgeAfterMs",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a hedge of a lane that is not idempotent > must match snapshot 1`] = `
Array [
  Object {
    "kind": "contradiction",
    "message": "no hedge is sent, since the lane is not idempotent",
    "path": "lanes.diary.hedgeAfterMs",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a lane after one that matches every method > must match snapshot 1`] = `
Array [
  Object {
    "kind": "never-matches",
    "message": "lanes.lane-0 has the same host and prefix, comes first and matches every method",
    "path": "lanes.lane-1.match",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a lane for every method after one for GET > must match snapshot 1`] = `
Array []
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a lane some of whose methods an earlier one takes > must match snapshot 1`] = `
Array [
  Object {
    "kind": "never-matches",
    "message": "no request with GET matches: lanes.lane-0 with the same host and prefix comes first",
    "path": "lanes.lane-1.match.methods",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a lane whose host is another one in another case > must match snapshot 1`] = `
Array [
  Object {
    "kind": "never-matches",
    "message": "no request matches: lanes.lane-0 with the same host and prefix comes first",
    "path": "lanes.lane-1.match",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a target latency above the deadline > must match snapshot 1`] = `
Array [
  Object {
    "kind": "contradiction",
    "message": "1001 ms is later than the deadline of 1000 ms",
    "path": "lanes.diary.targetLatencyMs",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > a wait above the deadline > must match snapshot 1`] = `
Array [
  Object {
    "kind": "contradiction",
    "message": "a call cannot wait 1001 ms, since its deadline is 1000 ms",
    "path": "lanes.diary.maxWaitMs",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > differences contain no API key > must match snapshot 1`] = `
Array [
  Object {
    "after": Object {
      "added": 1,
      "count": 2,
    },
    "before": Object {
      "count": 2,
      "removed": 1,
    },
    "change": "changed",
    "path": "workspaces.w.apiKeys",
  },
  Object {
    "change": "added",
    "path": "workspaces",
  },
  Object {
    "change": "added",
    "path": "workspaces.w",
  },
  Object {
    "change": "removed",
    "path": "workspaces.w",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > differences name what was added, removed and changed > must match snapshot 1`] = `
Array [
  Object {
    "after": Array [
      "GET",
      "HEAD",
    ],
    "before": Array [
      "GET",
    ],
    "change": "changed",
    "path": "lanes.diary.match.methods",
  },
  Object {
    "after": 200,
    "before": 100,
    "change": "changed",
    "path": "lanes.diary.maxWaitMs",
  },
  Object {
    "after": 50,
    "change": "added",
    "path": "lanes.diary.targetLatencyMs",
  },
  Object {
    "change": "removed",
    "path": "lanes.old",
  },
  Object {
    "change": "added",
    "path": "lanes.__proto__x",
  },
  Object {
    "change": "removed",
    "path": "callerLimits",
  },
]
`

exports[`packages/config/dist/test/configReview.test.js > TAP > lanes with other hosts and prefixes > must match snapshot 1`] = `
Array []
`

exports[`packages/config/dist/test/configReview.test.js > TAP > nothing to report > must match snapshot 1`] = `
Array []
`

exports[`packages/config/dist/test/configReview.test.js > TAP > services that no lane uses > must match snapshot 1`] = `
Array [
  Object {
    "kind": "unused-service",
    "message": "no lane sends requests to it",
    "path": "services.old",
  },
  Object {
    "kind": "unused-service",
    "message": "no lane sends requests to it",
    "path": "services.spare",
  },
]
`
