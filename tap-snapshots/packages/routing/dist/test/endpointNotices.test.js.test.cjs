/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/routing/dist/test/endpointNotices.test.js > TAP > while all endpoints are away a call is rejected at once, with the time until the first accepts requests again > must match snapshot 1`] = `
Array [
  Object {
    "kind": "not-run",
    "message": "every ready endpoint was tried or asked to get no requests for a while",
    "retryAfterS": 0.7,
  },
]
`
