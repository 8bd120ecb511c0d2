/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/targetNotices.test.js > TAP > notices in responses > must match snapshot 1`] = `
Array [
  Array [
    200,
    Object {
      "x-leaving": "1",
    },
    Object {
      "leaving": true,
    },
  ],
  Array [
    200,
    Object {
      "x-leaving": "0",
    },
    Object {
      "leaving": false,
    },
  ],
  Array [
    503,
    Object {
      "retry-after": "1.5",
    },
    Object {
      "awayMs": 1500,
      "leaving": false,
    },
  ],
  Array [
    503,
    Object {
      "retry-after": "2",
      "x-leaving": "1",
    },
    Object {
      "awayMs": 2000,
      "leaving": true,
    },
  ],
  Array [
    503,
    Object {
      "retry-after": "Wed, 21 Oct 2026 07:28:00 GMT",
    },
    Object {
      "leaving": false,
    },
  ],
  Array [
    503,
    Object {
      "retry-after": "-1",
    },
    Object {
      "leaving": false,
    },
  ],
  Array [
    429,
    Object {
      "retry-after": "1",
    },
    Object {
      "leaving": false,
    },
  ],
  Array [
    421,
    Object {
      "x-leaving": "1",
    },
    Object {
      "leaving": false,
    },
  ],
  Array [
    500,
    Object {},
    Object {
      "leaving": false,
    },
  ],
]
`
