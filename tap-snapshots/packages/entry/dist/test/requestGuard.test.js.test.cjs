/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/requestGuard.test.js > TAP > request targets > must match snapshot 1`] = `
Object {
  "*": "the request target must be an absolute path",
  "/./a": "the path holds a dot segment",
  "/a\\u0000": "the request target holds a forbidden character",
  "/a b": "the request target holds a forbidden character",
  "/a/../b": "the path holds a dot segment",
  "/a//b": "the path holds an empty segment",
  "/a/%2e%2E/b": "the path holds a dot segment",
  "/a\\\\b": "the request target holds a forbidden character",
  "/a%00": "the path holds a forbidden encoding",
  "/a%20b": "/a%20b",
  "/a%2fb": "the path holds a forbidden encoding",
  "/a%zz": "the path holds a forbidden encoding",
  "/aaaaaaaaaaaaaaaaaaaaaaaaaaaaa": "the request target exceeds 8192 characters",
  "/hydrants?x=/../y": "/hydrants",
  "/hydrants/7": "/hydrants/7",
  "http://other/hydrants": "the request target must be an absolute path",
}
`
