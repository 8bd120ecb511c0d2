/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/testbed/dist/test/scenarioLanguage.test.js > TAP > an unterminated quote > must match snapshot 1`] = `
s:1:13: Expected "\\"" or [^"\\n] but end of input found.
`

exports[`packages/testbed/dist/test/scenarioLanguage.test.js > TAP > an option without a value > must match snapshot 1`] = `
Array [
  Object {
    "args": Array [
      "path=",
    ],
    "line": 1,
    "options": Object {},
    "verb": "call",
  },
]
`

exports[`packages/testbed/dist/test/scenarioLanguage.test.js > TAP > arguments and options > must match snapshot 1`] = `
Array [
  Object {
    "args": Array [
      "entry-1,entry-2",
    ],
    "line": 1,
    "options": Object {
      "count": "3",
      "path": "a b?x=1",
    },
    "verb": "call",
  },
  Object {
    "args": Array [
      "leader",
    ],
    "line": 3,
    "options": Object {},
    "verb": "kill",
  },
]
`

exports[`packages/testbed/dist/test/scenarioLanguage.test.js > TAP > comments and blank lines > must match snapshot 1`] = `
Array []
`

exports[`packages/testbed/dist/test/scenarioLanguage.test.js > TAP > empty > must match snapshot 1`] = `
Array []
`
