/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/dist/test/codecs.test.js > TAP > decodes a heartbeat and a configuration of the platform > must match snapshot 1`] = `
Object {
  "address": "10.128.0.9:8080",
  "connectionLimit": 100000,
  "endpoint": "i-7f3a91c2",
  "failureDomain": "midrand-a",
  "incarnation": 1778202084290,
  "leaseMs": 6000,
  "load": 0,
  "sequence": 4,
  "service": "huvo11a",
  "slots": 4,
  "state": "ready",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > decodes a heartbeat and a configuration of the platform > must match snapshot 2`] = `
Object {
  "document": Object {
    "callerLimits": Object {
      "headerTimeoutMs": 3000,
      "idleTimeoutMs": 15000,
      "maxBodyBytes": 67108864,
      "maxHeaderBytes": 16384,
    },
    "lanes": Object {
      "r-b9wu3fe": Object {
        "budgets": Object {
          "bulkShare": 0.7,
          "hedgeBelowShare": 0.8,
          "hedgeRatio": 0.05,
          "measuringPerSecond": 10,
          "retryRatio": 0.05,
        },
        "coldStartMs": 2000,
        "deadlineMs": 800,
        "hedgeAfterMs": 0,
        "idempotent": true,
        "match": Object {
          "host": "jepu9.example",
          "pathPrefix": "/lepu270/",
        },
        "maxAttempts": 2,
        "maxBodyBytes": 67108864,
        "maxWaitMs": 800,
        "priority": 2,
        "progressTimeoutMs": 10000,
        "public": undefined,
        "service": "huvo11a",
        "shedStatuses": Array [],
        "split": Array [
          Object {
            "service": "huvo11a",
            "weight": 90,
          },
          Object {
            "service": "kafi81c",
            "weight": 10,
          },
        ],
        "targetLatencyMs": 300,
        "weights": Object {
          "coldness": 4,
          "latency": 1,
          "recentFailures": 4,
          "remoteDomain": 1,
          "reportedLoad": 0,
        },
      },
      "r-xd9dnn2": Object {
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
        "idempotent": false,
        "match": Object {
          "host": "hulo84.example",
          "pathPrefix": "/xapu221/ny95/",
        },
        "maxAttempts": 2,
        "maxBodyBytes": 67108864,
        "maxWaitMs": 1000,
        "priority": 1,
        "progressTimeoutMs": 10000,
        "public": undefined,
        "service": "wuno96b",
        "shedStatuses": Array [],
        "split": undefined,
        "targetLatencyMs": 400,
        "weights": Object {
          "coldness": 4,
          "latency": 1,
          "recentFailures": 4,
          "remoteDomain": 1,
          "reportedLoad": 0,
        },
      },
    },
    "services": Object {
      "huvo11a": Object {
        "cold": undefined,
        "connectionLimit": 240,
        "healthPath": "/healthz",
      },
      "kafi81c": Object {
        "cold": undefined,
        "connectionLimit": 240,
        "healthPath": "/healthz",
      },
      "wuno96b": Object {
        "cold": undefined,
        "connectionLimit": 240,
        "healthPath": "/healthz",
      },
    },
    "workspaces": undefined,
  },
  "version": 7,
}
`

exports[`platform/dist/test/codecs.test.js > TAP > decodes tenants, public routes and limits of cold endpoints > must match snapshot 1`] = `
Object {
  "public": Array [
    true,
    undefined,
  ],
  "services": Object {
    "huvo11a": Object {
      "cold": Object {
        "durationMs": 3000,
        "perSecond": 5.8,
      },
      "connectionLimit": 240,
      "healthPath": "/healthz",
    },
    "kafi81c": Object {
      "cold": Object {
        "durationMs": 3000,
        "perSecond": 5.8,
      },
      "connectionLimit": 240,
      "healthPath": "/healthz",
    },
    "wuno96b": Object {
      "cold": Object {
        "durationMs": 3000,
        "perSecond": 5.8,
      },
      "connectionLimit": 240,
      "healthPath": "/healthz",
    },
  },
  "workspaces": Object {
    "unlimited": Object {
      "apiKeys": Array [],
      "burst": undefined,
      "priority": undefined,
      "ratePerSecond": undefined,
    },
    "yefi830": Object {
      "apiKeys": Array [
        "jy5rcpihhacruddedev3",
        "nax7u27gxprymh2rryta",
      ],
      "burst": 209,
      "priority": 0,
      "ratePerSecond": 209,
    },
  },
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid body: another media type > must match snapshot 1`] = `
Object {
  "kind": "bad-request",
  "message": "unsupported content type text/plain, expected application/json",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid body: duplicate key > must match snapshot 1`] = `
Object {
  "kind": "bad-request",
  "message": "the body contains an object with a duplicate key",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid body: duplicate key in a nested object > must match snapshot 1`] = `
Object {
  "kind": "bad-request",
  "message": "the body contains an object with a duplicate key",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid body: duplicate key, one of them escaped > must match snapshot 1`] = `
Object {
  "kind": "bad-request",
  "message": "the body contains an object with a duplicate key",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid body: no media type > must match snapshot 1`] = `
Object {
  "kind": "bad-request",
  "message": "unsupported content type (none), expected application/json",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid body: not text > must match snapshot 1`] = `
Object {
  "kind": "bad-request",
  "message": "the body is not JSON: unexpected character",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid body: truncated JSON > must match snapshot 1`] = `
Object {
  "kind": "bad-request",
  "message": "the body is not JSON: Unexpected end of JSON input",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: a version above the highest safe integer > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "Version: Too big: expected int to be <=9007199254740991",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: neither service nor split > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "lanes.r-b9wu3fe.service: Invalid input: expected string, received undefined",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: no attempts > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "Routes.0.Attempts: Too small: expected number to be >=1",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: no routes > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "Routes: Invalid input: expected array, received undefined",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: no timeout > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "Routes.0.TimeoutMs: Too small: expected number to be >=1",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: no version > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "Version: Invalid input: expected number, received undefined",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: no weight > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "lanes.r-b9wu3fe.service: Invalid input: expected string, received undefined; lanes.r-b9wu3fe.split: at least one weight must be above 0",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: not an object > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "(root): Invalid input: expected object, received number",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: same host and prefix > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "lanes.r-xd9dnn2.match: duplicates lanes.r-b9wu3fe.match (hulo84.example * /xapu221/ny95/)",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: same host in capitals and same prefix > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "lanes.r-xd9dnn2.match: duplicates lanes.r-b9wu3fe.match (hulo84.example * /xapu221/ny95/)",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: same name > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "duplicate name r-xd9dnn2",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: target latency a minute above the timeout > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "lanes.r-b9wu3fe.targetLatencyMs: 60800 exceeds the deadline by a minute or more",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: unknown kind > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "Routes.0.RouteKind: Invalid option: expected one of \\"safe\\"|\\"unsafe\\"|\\"download\\"",
}
`

exports[`platform/dist/test/codecs.test.js > TAP > invalid configuration: unknown service > must match snapshot 1`] = `
Object {
  "kind": "invalid-config",
  "message": "lanes.r-b9wu3fe: service nobody is not listed in services",
}
`
