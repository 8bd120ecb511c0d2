/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/http10Callers.test.js > TAP > a response in chunks that has no end is refused after the deadline > must match snapshot 1`] = `
Object {
  "bytes": "{\\"error\\":{\\"kind\\":\\"unknown\\",\\"message\\":\\"the deadline passed before the target had sent the whole response\\",\\"timedOut\\":true}}",
  "framing": "length",
  "outcome": "unknown",
  "status": 504,
  "statuses": Array [
    "504",
  ],
}
`

exports[`packages/entry/dist/test/http10Callers.test.js > TAP > a response in chunks that is incomplete shortly before the grace period ends is refused > must match snapshot 1`] = `
Object {
  "bytes": "{\\"error\\":{\\"kind\\":\\"unknown\\",\\"message\\":\\"the process ends before the response is complete\\",\\"timedOut\\":false}}",
  "framing": "length",
  "outcome": "unknown",
  "status": 502,
  "statuses": Array [
    "502",
  ],
}
`

exports[`packages/entry/dist/test/http10Callers.test.js > TAP > a response in chunks that is too long to be held back is refused at once > must match snapshot 1`] = `
Object {
  "bytes": "{\\"error\\":{\\"kind\\":\\"unknown\\",\\"message\\":\\"the response has no length and is too long to be held back for an HTTP/1.0 caller\\",\\"timedOut\\":false}}",
  "framing": "length",
  "outcome": "unknown",
  "status": 502,
  "statuses": Array [
    "502",
  ],
}
`

exports[`packages/entry/dist/test/http10Callers.test.js > TAP > a response without a length that has no end is refused after the deadline > must match snapshot 1`] = `
Object {
  "bytes": "{\\"error\\":{\\"kind\\":\\"unknown\\",\\"message\\":\\"the deadline passed before the target had sent the whole response\\",\\"timedOut\\":true}}",
  "framing": "length",
  "outcome": "unknown",
  "status": 504,
  "statuses": Array [
    "504",
  ],
}
`

exports[`packages/entry/dist/test/http10Callers.test.js > TAP > a response without a length that is incomplete shortly before the grace period ends is refused > must match snapshot 1`] = `
Object {
  "bytes": "{\\"error\\":{\\"kind\\":\\"unknown\\",\\"message\\":\\"the process ends before the response is complete\\",\\"timedOut\\":false}}",
  "framing": "length",
  "outcome": "unknown",
  "status": 502,
  "statuses": Array [
    "502",
  ],
}
`

exports[`packages/entry/dist/test/http10Callers.test.js > TAP > a response without a length that is too long to be held back is refused at once > must match snapshot 1`] = `
Object {
  "bytes": "{\\"error\\":{\\"kind\\":\\"unknown\\",\\"message\\":\\"the response has no length and is too long to be held back for an HTTP/1.0 caller\\",\\"timedOut\\":false}}",
  "framing": "length",
  "outcome": "unknown",
  "status": 502,
  "statuses": Array [
    "502",
  ],
}
`

exports[`packages/entry/dist/test/http10Callers.test.js > TAP > nothing of a response in chunks is sent before it is whole > must match snapshot 1`] = `
Object {
  "bytes": 20000,
  "framing": "length",
  "outcome": undefined,
  "status": 200,
  "statuses": Array [
    "200",
  ],
}
`

exports[`packages/entry/dist/test/http10Callers.test.js > TAP > nothing of a response without a length is sent before it is whole > must match snapshot 1`] = `
Object {
  "bytes": 20000,
  "framing": "length",
  "outcome": undefined,
  "status": 200,
  "statuses": Array [
    "200",
  ],
}
`
