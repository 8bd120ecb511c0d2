/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "-1,0,8" > must match snapshot 1`] = `
none
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report ",," > must match snapshot 1`] = `
none
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "" > must match snapshot 1`] = `
none
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "0,0,4,0" > must match snapshot 1`] = `
Object {
  "running": 0,
  "slots": 4,
  "slowdown": 0.01,
  "waiting": 0,
}
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "3, 1, 8, 500" > must match snapshot 1`] = `
Object {
  "running": 3,
  "slots": 8,
  "slowdown": 5,
  "waiting": 1,
}
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "3,0,0" > must match snapshot 1`] = `
none
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "3,0,8," > must match snapshot 1`] = `
none
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "3,0,8" > must match snapshot 1`] = `
Object {
  "running": 3,
  "slots": 8,
  "slowdown": 1,
  "waiting": 0,
}
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "3,0" > must match snapshot 1`] = `
none
`

exports[`packages/entry/dist/test/slotLoad.test.js > TAP > report "3,x,8" > must match snapshot 1`] = `
none
`
