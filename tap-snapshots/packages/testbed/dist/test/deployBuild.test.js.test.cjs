/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/testbed/dist/test/deployBuild.test.js > TAP > control starts with its code cache under the deploy file's flags > must match snapshot 1`] = `
Object {
  "isVersion": true,
  "status": 0,
  "stderr": "",
}
`

exports[`packages/testbed/dist/test/deployBuild.test.js > TAP > control starts without its code cache under other flags, and logs that the cache was not used > must match snapshot 1`] = `
Object {
  "isVersion": true,
  "status": 0,
  "stderr": "{\\"message\\":\\"control.cache does not match this version of Node.js or its flags; starting without the code cache\\"}\\n",
}
`

exports[`packages/testbed/dist/test/deployBuild.test.js > TAP > entry starts with its code cache under the deploy file's flags > must match snapshot 1`] = `
Object {
  "isVersion": true,
  "status": 0,
  "stderr": "",
}
`

exports[`packages/testbed/dist/test/deployBuild.test.js > TAP > entry starts without its code cache under other flags, and logs that the cache was not used > must match snapshot 1`] = `
Object {
  "isVersion": true,
  "status": 0,
  "stderr": "{\\"message\\":\\"entry.cache does not match this version of Node.js or its flags; starting without the code cache\\"}\\n",
}
`
