/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/config/dist/test/settingsFile.test.js > TAP > fills in the defaults of valid settings > must match snapshot 1`] = `
Object {
  "cluster": "c",
  "control": Object {
    "announceEveryMs": 0,
    "bootstrap": false,
    "dataFolder": "data",
    "electionTimeoutMs": 1500,
    "heartbeatMs": 300,
    "replicas": Array [
      "127.0.0.1:1",
    ],
    "seeds": Array [],
    "snapshotEvery": 1000,
    "tolerateLostDisks": 0,
  },
  "failureDomain": "d",
  "inner": Object {
    "listen": "127.0.0.1:1",
    "token": "0123456789abcdef",
  },
  "instance": "i",
  "logs": Object {
    "decisions": true,
    "remembered": 20000,
  },
  "operator": Object {
    "listen": "127.0.0.1:2",
    "openMetrics": false,
    "token": "0123456789abcdef",
  },
}
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > host name in an address > must match snapshot 1`] = `
FOLDER/settings.toml: operator.listen: expected an IP address and port, such as "127.0.0.1:7000", found "localhost:2"
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > limits for hedges without a share > must match snapshot 1`] = `
FOLDER/settings.toml: entry.hedging.slotShare: expected number, found nothing
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > no role > must match snapshot 1`] = `
FOLDER/settings.toml: (root): expected at least one of the sections control and entry, found a table with the keys cluster, instance, failureDomain, inner, operator
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > no sections > must match snapshot 1`] = `
FOLDER/settings.toml: instance: expected string, found nothing
FOLDER/settings.toml: failureDomain: expected string, found nothing
FOLDER/settings.toml: inner: expected object, found nothing
FOLDER/settings.toml: operator: expected object, found nothing
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > not TOML > must match snapshot 1`] = `
FOLDER/settings.toml: not TOML: Invalid TOML document: invalid value
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > percentile that no recent latencies can show > must match snapshot 1`] = `
FOLDER/settings.toml: entry.hedging.percentile: expected at most 99, found 99.9
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > port out of range > must match snapshot 1`] = `
FOLDER/settings.toml: operator.listen: expected an IP address and port, such as "127.0.0.1:7000", found "127.0.0.1:70000"
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > short token > must match snapshot 1`] = `
FOLDER/settings.toml: inner.token: expected at least 16 characters, found a different value (not shown)
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > unknown key > must match snapshot 1`] = `
FOLDER/settings.toml: cluser: unknown key
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > unknown key in a section > must match snapshot 1`] = `
FOLDER/settings.toml: control.dataFolder: expected string, found nothing
FOLDER/settings.toml: control.dataFoldr: unknown key
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > value out of range > must match snapshot 1`] = `
FOLDER/settings.toml: control.heartbeatMs: expected at least 20, found 1
`

exports[`packages/config/dist/test/settingsFile.test.js > TAP > wrong type > must match snapshot 1`] = `
FOLDER/settings.toml: cluster: expected string, found 7
`
