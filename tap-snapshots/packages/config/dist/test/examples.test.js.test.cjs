/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/config/dist/test/examples.test.js > TAP > control settings of brandpost > must match snapshot 1`] = `
Object {
  "cluster": "brandpost",
  "control": Object {
    "announceEveryMs": 0,
    "bootstrap": false,
    "dataFolder": "/var/lib/rosemaryrack",
    "electionTimeoutMs": 1500,
    "heartbeatMs": 300,
    "replicas": Array [
      "10.20.1.10:7100",
      "10.20.2.10:7100",
      "10.20.3.10:7100",
    ],
    "seeds": Array [],
    "snapshotEvery": 1000,
    "tolerateLostDisks": 0,
  },
  "failureDomain": "lulea",
  "inner": Object {
    "listen": "10.20.1.10:7100",
    "token": "replace-this-inner-token",
  },
  "instance": "control-lulea",
  "logs": Object {
    "decisions": true,
    "remembered": 20000,
  },
  "operator": Object {
    "listen": "10.20.1.10:7200",
    "openMetrics": false,
    "token": "replace-this-operator-token",
  },
}
`

exports[`packages/config/dist/test/examples.test.js > TAP > control settings of kwezi > must match snapshot 1`] = `
Object {
  "cluster": "kwezi",
  "control": Object {
    "announceEveryMs": 0,
    "bootstrap": false,
    "dataFolder": "/var/lib/rosemaryrack",
    "electionTimeoutMs": 1500,
    "heartbeatMs": 300,
    "replicas": Array [
      "10.40.1.10:7100",
      "10.40.2.10:7100",
      "10.40.3.10:7100",
    ],
    "seeds": Array [],
    "snapshotEvery": 1000,
    "tolerateLostDisks": 0,
  },
  "failureDomain": "midrand-a",
  "inner": Object {
    "listen": "10.40.1.10:7100",
    "token": "replace-this-inner-token",
  },
  "instance": "control-midrand-a",
  "logs": Object {
    "decisions": true,
    "remembered": 20000,
  },
  "operator": Object {
    "listen": "10.40.1.10:7200",
    "openMetrics": false,
    "token": "replace-this-operator-token",
  },
}
`

exports[`packages/config/dist/test/examples.test.js > TAP > entry settings of brandpost > must match snapshot 1`] = `
Object {
  "cluster": "brandpost",
  "entry": Object {
    "announcements": Object {
      "listen": "10.20.1.21:7300",
      "token": "replace-this-announcement-token",
    },
    "callers": Object {
      "claims": 128,
      "connections": 1900,
      "heldInputBytes": 16777216,
      "listen": "10.20.1.21:8080",
      "logLinesPerSecond": 2000,
      "requests": 1024,
      "requestsPerConnection": 16,
      "reservedShare": 0.25,
      "stalledResponseMs": 2000,
      "targetConnections": 1600,
      "targetConnects": 800,
      "unsentBytes": 33554432,
      "unsentBytesPerConnection": 4194304,
    },
    "confirmWithinMs": 5000,
    "control": Array [
      Object {
        "address": "10.20.1.10:7100",
        "failureDomain": "lulea",
      },
      Object {
        "address": "10.20.2.10:7100",
        "failureDomain": "boden",
      },
      Object {
        "address": "10.20.3.10:7100",
        "failureDomain": "pitea",
      },
    ],
    "drainNoticeMs": 3000,
    "fractionalRetryAfter": false,
    "graceS": 60,
    "headers": Object {
      "deadline": "rack-deadline-ms",
      "notRun": Object {
        "name": "rack-outcome",
        "value": "not-run",
      },
      "requestId": "x-request-id",
    },
    "peers": Array [
      "10.20.2.21:7100",
      "10.20.3.21:7100",
    ],
    "seeds": Array [],
  },
  "failureDomain": "lulea",
  "inner": Object {
    "listen": "10.20.1.21:7100",
    "token": "replace-this-inner-token",
  },
  "instance": "entry-lulea-1",
  "logs": Object {
    "decisions": true,
    "remembered": 20000,
  },
  "operator": Object {
    "listen": "10.20.1.21:7200",
    "openMetrics": false,
    "token": "replace-this-operator-token",
  },
}
`

exports[`packages/config/dist/test/examples.test.js > TAP > entry settings of kwezi > must match snapshot 1`] = `
Object {
  "cluster": "kwezi",
  "entry": Object {
    "announcements": Object {
      "listen": "10.40.1.21:7300",
      "token": "replace-this-announcement-token",
    },
    "callers": Object {
      "claims": 128,
      "connections": 1900,
      "heldInputBytes": 16777216,
      "listen": "10.40.1.21:8080",
      "logLinesPerSecond": 2000,
      "requests": 1024,
      "requestsPerConnection": 16,
      "reservedShare": 0.25,
      "stalledResponseMs": 2000,
      "targetConnections": 1600,
      "targetConnects": 800,
      "unsentBytes": 33554432,
      "unsentBytesPerConnection": 4194304,
    },
    "confirmWithinMs": 5000,
    "control": Array [
      Object {
        "address": "10.40.1.10:7100",
        "failureDomain": "midrand-a",
      },
      Object {
        "address": "10.40.2.10:7100",
        "failureDomain": "midrand-b",
      },
      Object {
        "address": "10.40.3.10:7100",
        "failureDomain": "isando",
      },
    ],
    "drainNoticeMs": 3000,
    "fractionalRetryAfter": false,
    "graceS": 60,
    "headers": Object {
      "deadline": "rack-deadline-ms",
      "notRun": Object {
        "name": "rack-outcome",
        "value": "not-run",
      },
      "requestId": "x-request-id",
    },
    "peers": Array [
      "10.40.2.21:7100",
      "10.40.3.21:7100",
    ],
    "seeds": Array [],
  },
  "failureDomain": "midrand-a",
  "inner": Object {
    "listen": "10.40.1.21:7100",
    "token": "replace-this-inner-token",
  },
  "instance": "entry-midrand-a-1",
  "logs": Object {
    "decisions": true,
    "remembered": 20000,
  },
  "operator": Object {
    "listen": "10.40.1.21:7200",
    "openMetrics": false,
    "token": "replace-this-operator-token",
  },
}
`

exports[`packages/config/dist/test/examples.test.js > TAP > lanes of brandpost > must match snapshot 1`] = `
Object {
  "document": Object {
    "lanes": Object {
      "hydrant-lookup": Object {
        "budgets": Object {
          "bulkShare": 0.7,
          "hedgeBelowShare": 0.8,
          "hedgeRatio": 0.05,
          "measuringPerSecond": 10,
          "retryRatio": 0.05,
        },
        "coldStartMs": 2000,
        "deadlineMs": 1500,
        "hedgeAfterMs": 0,
        "idempotent": true,
        "match": Object {
          "methods": Array [
            "GET",
            "HEAD",
          ],
          "pathPrefix": "/hydrants",
        },
        "maxAttempts": 3,
        "maxBodyBytes": 16777216,
        "maxWaitMs": 300,
        "priority": "urgent",
        "progressTimeoutMs": 10000,
        "service": "hydrant-lookup",
        "shedStatuses": Array [],
        "weights": Object {
          "coldness": 4,
          "latency": 1,
          "recentFailures": 4,
          "remoteDomain": 1,
          "reportedLoad": 0,
        },
      },
      "inspection": Object {
        "budgets": Object {
          "bulkShare": 0.7,
          "hedgeBelowShare": 0.8,
          "hedgeRatio": 0.05,
          "measuringPerSecond": 10,
          "retryRatio": 0.05,
        },
        "coldStartMs": 2000,
        "deadlineMs": 5000,
        "hedgeAfterMs": 0,
        "idempotent": false,
        "match": Object {
          "methods": Array [
            "POST",
            "PUT",
          ],
          "pathPrefix": "/inspections",
        },
        "maxAttempts": 3,
        "maxBodyBytes": 1048576,
        "maxWaitMs": 2000,
        "priority": "normal",
        "progressTimeoutMs": 10000,
        "service": "inspection",
        "shedStatuses": Array [],
        "weights": Object {
          "coldness": 4,
          "latency": 1,
          "recentFailures": 4,
          "remoteDomain": 1,
          "reportedLoad": 0,
        },
      },
      "map-bundle": Object {
        "budgets": Object {
          "bulkShare": 0.7,
          "hedgeBelowShare": 0.8,
          "hedgeRatio": 0,
          "measuringPerSecond": 10,
          "retryRatio": 0.05,
        },
        "coldStartMs": 2000,
        "deadlineMs": 10000,
        "hedgeAfterMs": 0,
        "idempotent": true,
        "match": Object {
          "methods": Array [
            "GET",
            "HEAD",
          ],
          "pathPrefix": "/bundles",
        },
        "maxAttempts": 3,
        "maxBodyBytes": 16777216,
        "maxWaitMs": 5000,
        "priority": "bulk",
        "progressTimeoutMs": 5000,
        "service": "map-bundle",
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
  "ok": true,
}
`

exports[`packages/config/dist/test/examples.test.js > TAP > lanes of kwezi > must match snapshot 1`] = `
Object {
  "document": Object {
    "lanes": Object {
      "diary": Object {
        "budgets": Object {
          "bulkShare": 0.7,
          "hedgeBelowShare": 0.8,
          "hedgeRatio": 0.02,
          "measuringPerSecond": 2,
          "retryRatio": 0.05,
        },
        "coldStartMs": 2000,
        "deadlineMs": 2000,
        "hedgeAfterMs": 0,
        "idempotent": true,
        "match": Object {
          "methods": Array [
            "GET",
            "HEAD",
          ],
          "pathPrefix": "/diary",
        },
        "maxAttempts": 3,
        "maxBodyBytes": 16777216,
        "maxWaitMs": 500,
        "priority": "urgent",
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
      "files": Object {
        "budgets": Object {
          "bulkShare": 0.7,
          "hedgeBelowShare": 0.8,
          "hedgeRatio": 0,
          "measuringPerSecond": 1,
          "retryRatio": 0.05,
        },
        "coldStartMs": 2000,
        "deadlineMs": 15000,
        "hedgeAfterMs": 0,
        "idempotent": true,
        "match": Object {
          "methods": Array [
            "GET",
            "HEAD",
          ],
          "pathPrefix": "/files",
        },
        "maxAttempts": 3,
        "maxBodyBytes": 16777216,
        "maxWaitMs": 8000,
        "priority": "bulk",
        "progressTimeoutMs": 8000,
        "service": "files",
        "shedStatuses": Array [],
        "weights": Object {
          "coldness": 4,
          "latency": 1,
          "recentFailures": 4,
          "remoteDomain": 1,
          "reportedLoad": 0,
        },
      },
      "payments": Object {
        "budgets": Object {
          "bulkShare": 0.7,
          "hedgeBelowShare": 0.8,
          "hedgeRatio": 0.05,
          "measuringPerSecond": 1,
          "retryRatio": 0.05,
        },
        "coldStartMs": 2000,
        "deadlineMs": 8000,
        "hedgeAfterMs": 0,
        "idempotent": false,
        "match": Object {
          "methods": Array [
            "POST",
          ],
          "pathPrefix": "/payments",
        },
        "maxAttempts": 3,
        "maxBodyBytes": 262144,
        "maxWaitMs": 3000,
        "priority": "normal",
        "progressTimeoutMs": 10000,
        "service": "payments",
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
  "ok": true,
}
`
