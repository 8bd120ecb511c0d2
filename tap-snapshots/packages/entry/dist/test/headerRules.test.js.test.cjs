/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/headerRules.test.js > TAP > failure of another request > must match snapshot 1`] = `
it has the id of request 8
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > failure without a request id and a stamp > must match snapshot 1`] = `
accepted
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > own failure > must match snapshot 1`] = `
accepted
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > own success > must match snapshot 1`] = `
accepted
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success of another request > must match snapshot 1`] = `
it has the id of request 8
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success without a request id > must match snapshot 1`] = `
it has no request id
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success with an encoded body > must match snapshot 1`] = `
its body has an encoding that was not requested
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success without a stamp > must match snapshot 1`] = `
it has no header x-stamp
`
