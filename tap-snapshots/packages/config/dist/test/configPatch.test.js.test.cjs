/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/config/dist/test/configPatch.test.js > TAP > adds a lane > must match snapshot 1`] = `
Object {
  "lanes": Object {
    "diary": Object {
      "budgets": Object {
        "bulkShare": 0.7,
        "hedgeBelowShare": 0.8,
        "hedgeRatio": 0.05,
        "measuringPerSecond": 10,
        "retryRatio": 0.05,
      },
      "coldStartMs": 2000,
      "deadlineMs": 1000,
      "hedgeAfterMs": 0,
      "idempotent": true,
      "match": Object {
        "methods": Array [
          "GET",
        ],
        "pathPrefix": "/diary",
      },
      "maxAttempts": 3,
      "maxBodyBytes": 16777216,
      "maxWaitMs": 100,
      "priority": "normal",
      "progressTimeoutMs": 10000,
      "service": "diary",
      "shedStatuses": Array [],
      "weights": Object {
        "coldness": 4,
        "latency": 1,
        "recentFailures": 4,
        "remoteDomain": 1,
        "reportedLoad": 0,
      },
    },
  },
}
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > changes one budget and keeps the rest > must match snapshot 1`] = `
Object {
  "lanes": Object {
    "diary": Object {
      "budgets": Object {
        "bulkShare": 0.7,
        "hedgeBelowShare": 0.8,
        "hedgeRatio": 0.05,
        "measuringPerSecond": 10,
        "retryRatio": 0.2,
      },
      "coldStartMs": 2000,
      "deadlineMs": 1000,
      "hedgeAfterMs": 0,
      "idempotent": true,
      "match": Object {
        "methods": Array [
          "GET",
        ],
        "pathPrefix": "/diary",
      },
      "maxAttempts": 3,
      "maxBodyBytes": 16777216,
      "maxWaitMs": 100,
      "priority": "normal",
      "progressTimeoutMs": 10000,
      "service": "diary",
      "shedStatuses": Array [],
      "weights": Object {
        "coldness": 4,
        "latency": 1,
        "recentFailures": 4,
        "remoteDomain": 1,
        "reportedLoad": 0,
      },
    },
  },
}
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects a lane named __proto__ > must match snapshot 1`] = `
patch contains the key __proto__
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects a list > must match snapshot 1`] = `
patch is not a JSON object
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects a name with capitals > must match snapshot 1`] = `
lanes.Diary: Invalid key in record
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects a service with dots > must match snapshot 1`] = `
lanes.diary: service diary.v2: 1 to 63 lower-case letters, digits and dashes, beginning with a letter or digit
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects a wrong type > must match snapshot 1`] = `
lanes.diary.deadlineMs: Invalid input: expected number, received string
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects an unknown key > must match snapshot 1`] = `
lanes.diary: Unrecognized key: "deadline"
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects malformed JSON > must match snapshot 1`] = `
patch is not JSON: Unexpected end of JSON input
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects two lanes that match the same requests > must match snapshot 1`] = `
lanes.other.match: duplicates lanes.diary.match (* GET /diary)
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > rejects values above the limits of patches > must match snapshot 1`] = `
lanes.diary.deadlineMs: Too big: expected number to be <=3600000; lanes.diary.maxAttempts: Too big: expected number to be <=1000; lanes.diary.priority: Too big: expected number to be <=1000; callerLimits.idleTimeoutMs: Too big: expected number to be <=3600000
`

exports[`packages/config/dist/test/configPatch.test.js > TAP > removes a lane > must match snapshot 1`] = `
Object {
  "lanes": Object {},
}
`
