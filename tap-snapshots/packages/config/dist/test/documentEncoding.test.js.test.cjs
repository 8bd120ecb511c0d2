/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/config/dist/test/documentEncoding.test.js > TAP > the part for every build has only keys that earlier builds know > must match snapshot 1`] = `
{
  "workspaces": {
    "blue": {
      "apiKeys": [
        "key-of-blue"
      ],
      "priority": 0,
      "ratePerSecond": 20,
      "burst": 20
    }
  },
  "lanes": {
    "status": {
      "public": true
    }
  },
  "services": {
    "logs": {
      "cold": {
        "perSecond": 5.8,
        "durationMs": 3000
      }
    }
  }
}
`
