/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/rackctl/dist/test/configCheck.test.js > TAP > config check reports findings and differences, and exits as documented > must match snapshot 1`] = `
Object {
  "broken.json": Object {
    "exitCode": 2,
    "output": "rackctl: bad-request: broken.json: not JSON, at position 48\\n",
  },
  "broken.json as JSON": Object {
    "exitCode": 2,
    "output": "{\\"error\\":{\\"kind\\":\\"bad-request\\",\\"message\\":\\"broken.json: not JSON, at position 48\\"}}\\n",
  },
  "changed.json": Object {
    "exitCode": 0,
    "output": String(
      differences from version 7: 2
        lanes.diary.deadlineMs: 1000 -> 2000
        workspaces.w.apiKeys: {"count":1,"removed":1} -> {"count":1,"added":1}
      changed.json: findings: 0
      
    ),
  },
  "findings.json": Object {
    "exitCode": 1,
    "output": String(
      contradiction: lanes.diary.maxWaitMs: a call cannot wait 2000 ms, since its deadline is 1000 ms
      unused-service: services.spare: no lane sends requests to it
      differences from version 7: 3
        lanes.diary.maxWaitMs: 100 -> 2000
        workspaces: removed
        services: added
      findings.json: findings: 2
      
    ),
  },
  "findings.json as JSON": Object {
    "exitCode": 1,
    "output": "{\\"file\\":\\"findings.json\\",\\"findings\\":[{\\"kind\\":\\"contradiction\\",\\"path\\":\\"lanes.diary.maxWaitMs\\",\\"message\\":\\"a call cannot wait 2000 ms, since its deadline is 1000 ms\\"},{\\"kind\\":\\"unused-service\\",\\"path\\":\\"services.spare\\",\\"message\\":\\"no lane sends requests to it\\"}],\\"comparison\\":{\\"kind\\":\\"compared\\",\\"version\\":7,\\"differences\\":[{\\"path\\":\\"lanes.diary.maxWaitMs\\",\\"change\\":\\"changed\\",\\"before\\":100,\\"after\\":2000},{\\"path\\":\\"workspaces\\",\\"change\\":\\"removed\\"},{\\"path\\":\\"services\\",\\"change\\":\\"added\\"}]}}\\n",
  },
  "findings.json without a quorum": Object {
    "exitCode": 2,
    "output": String(
      contradiction: lanes.diary.maxWaitMs: a call cannot wait 2000 ms, since its deadline is 1000 ms
      unused-service: services.spare: no lane sends requests to it
      the version in force could not be read: no-quorum: no quorum
      findings.json: findings: 2
      
    ),
  },
  "invalid.json": Object {
    "exitCode": 1,
    "output": String(
      invalid: lanes.diary: Unrecognized key: "deadline"
      not compared with the version in force: the document is invalid
      invalid.json: findings: 1
      
    ),
  },
  "missing.json": Object {
    "exitCode": 2,
    "output": "rackctl: bad-request: missing.json: ENOENT: no such file or directory, open 'missing.json'\\n",
  },
  "sound.json": Object {
    "exitCode": 0,
    "output": String(
      no difference from version 7
      sound.json: findings: 0
      
    ),
  },
  "sound.json while no replica can be reached": Object {
    "exitCode": 2,
    "output": "{\\"file\\":\\"sound.json\\",\\"findings\\":[],\\"comparison\\":{\\"kind\\":\\"failed\\",\\"fault\\":{\\"kind\\":\\"unreachable\\",\\"message\\":\\"REPLICA: connect ECONNREFUSED REPLICA\\"}}}\\n",
  },
  "sound.json without a replica": Object {
    "exitCode": 0,
    "output": String(
      not compared with the version in force: no control replica was given
      sound.json: findings: 0
      
    ),
  },
  "unlisted.json": Object {
    "exitCode": 1,
    "output": String(
      invalid: lanes.diary: service diary is not listed in services
      not compared with the version in force: the document is invalid
      unlisted.json: findings: 1
      
    ),
  },
}
`
