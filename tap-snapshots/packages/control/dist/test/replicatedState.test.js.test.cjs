/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/test/replicatedState.test.js > TAP > a claim belongs to its first owner until that owner releases it > must match snapshot 1`] = `
Array [
  Object {
    "granted": Array [
      true,
    ],
    "kind": "claims",
  },
  Object {
    "granted": Array [
      false,
    ],
    "kind": "claims",
  },
  Object {
    "granted": Array [
      true,
    ],
    "kind": "claims",
  },
  Object {
    "kind": "none",
  },
  Object {
    "granted": Array [
      false,
    ],
    "kind": "claims",
  },
  Object {
    "kind": "none",
  },
  Object {
    "granted": Array [
      true,
    ],
    "kind": "claims",
  },
]
`

exports[`packages/control/dist/test/replicatedState.test.js > TAP > a patch applies once, and only to the version that it amends > must match snapshot 1`] = `
Array [
  Object {
    "kind": "patch",
    "outcome": Object {
      "kind": "accepted",
      "version": 1,
    },
  },
  Object {
    "kind": "patch",
    "outcome": Object {
      "currentVersion": 1,
      "kind": "conflict",
    },
  },
  Object {
    "kind": "patch",
    "outcome": Object {
      "kind": "accepted",
      "version": 1,
    },
  },
  Object {
    "kind": "patch",
    "outcome": Object {
      "kind": "accepted",
      "version": 2,
    },
  },
  Object {
    "kind": "patch",
    "outcome": Object {
      "kind": "accepted",
      "version": 1,
    },
  },
]
`

exports[`packages/control/dist/test/replicatedState.test.js > TAP > a patch applies once, and only to the version that it amends > must match snapshot 2`] = `
Object {
  "config": Object {
    "document": Object {
      "lanes": Object {
        "lane": Object {
          "budgets": Object {
            "bulkShare": 0.7,
            "hedgeBelowShare": 0.8,
            "hedgeRatio": 0.05,
            "measuringPerSecond": 10,
            "retryRatio": 0.05,
          },
          "coldStartMs": 2000,
          "deadlineMs": 20,
          "hedgeAfterMs": 0,
          "idempotent": true,
          "match": Object {
            "methods": Array [
              "GET",
            ],
            "pathPrefix": "/",
          },
          "maxAttempts": 3,
          "maxBodyBytes": 16777216,
          "maxWaitMs": 1,
          "priority": "normal",
          "progressTimeoutMs": 10000,
          "service": "s",
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
    },
    "version": 2,
  },
  "history": Array [
    Object {
      "mergePatch": Object {
        "lanes": Object {
          "lane": Object {
            "deadlineMs": 10,
            "idempotent": true,
            "match": Object {
              "methods": Array [
                "GET",
              ],
              "pathPrefix": "/",
            },
            "maxWaitMs": 1,
            "service": "s",
          },
        },
      },
      "operator": "op",
      "patchId": "a",
      "version": 1,
    },
    Object {
      "mergePatch": Object {
        "lanes": Object {
          "lane": Object {
            "deadlineMs": 20,
            "idempotent": true,
            "match": Object {
              "methods": Array [
                "GET",
              ],
              "pathPrefix": "/",
            },
            "maxWaitMs": 1,
            "service": "s",
          },
        },
      },
      "operator": "op",
      "patchId": "b",
      "version": 2,
    },
  ],
}
`
