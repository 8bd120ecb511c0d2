/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/headerRules.test.js > TAP > failure of another request > must match snapshot 1`] = `
it names request 8
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > failure without any mark > must match snapshot 1`] = `
taken
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > own failure > must match snapshot 1`] = `
taken
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > own success > must match snapshot 1`] = `
taken
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success of another request > must match snapshot 1`] = `
it names request 8
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success that names no request > must match snapshot 1`] = `
it names no request
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success with an encoded body > must match snapshot 1`] = `
its body is encoded, which was not asked for
`

exports[`packages/entry/dist/test/headerRules.test.js > TAP > success without a stamp > must match snapshot 1`] = `
no header x-stamp
`
