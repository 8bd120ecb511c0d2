/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/testbed/dist/test/killedEntry.test.js > TAP > no part of a response looks complete when the entry ends by SIGABRT while it passes the response on > must match snapshot 1`] = `
Object {
  "HTTP/1.0, chunked-slow, long": "502 length",
  "HTTP/1.0, chunked-slow, short": "cut",
  "HTTP/1.0, framed-slow, long": "cut",
  "HTTP/1.0, framed-slow, short": "cut",
  "HTTP/1.0, unframed-slow, long": "502 length",
  "HTTP/1.0, unframed-slow, short": "cut",
  "HTTP/1.1, chunked-slow, long": "cut",
  "HTTP/1.1, chunked-slow, short": "cut",
  "HTTP/1.1, framed-slow, long": "cut",
  "HTTP/1.1, framed-slow, short": "cut",
  "HTTP/1.1, unframed-slow, long": "cut",
  "HTTP/1.1, unframed-slow, short": "cut",
}
`

exports[`packages/testbed/dist/test/killedEntry.test.js > TAP > no part of a response looks complete when the entry ends by SIGKILL while it passes the response on > must match snapshot 1`] = `
Object {
  "HTTP/1.0, chunked-slow, long": "502 length",
  "HTTP/1.0, chunked-slow, short": "cut",
  "HTTP/1.0, framed-slow, long": "cut",
  "HTTP/1.0, framed-slow, short": "cut",
  "HTTP/1.0, unframed-slow, long": "502 length",
  "HTTP/1.0, unframed-slow, short": "cut",
  "HTTP/1.1, chunked-slow, long": "cut",
  "HTTP/1.1, chunked-slow, short": "cut",
  "HTTP/1.1, framed-slow, long": "cut",
  "HTTP/1.1, framed-slow, short": "cut",
  "HTTP/1.1, unframed-slow, long": "cut",
  "HTTP/1.1, unframed-slow, short": "cut",
}
`

exports[`packages/testbed/dist/test/killedEntry.test.js > TAP > slow responses arrive whole, whatever their framing > must match snapshot 1`] = `
Object {
  "HTTP/1.0, chunked-slow, long": "502 length",
  "HTTP/1.0, chunked-slow, short": "200 length",
  "HTTP/1.0, framed-slow, long": "200 length",
  "HTTP/1.0, framed-slow, short": "200 length",
  "HTTP/1.0, unframed-slow, long": "502 length",
  "HTTP/1.0, unframed-slow, short": "200 length",
  "HTTP/1.1, chunked-slow, long": "200 chunks",
  "HTTP/1.1, chunked-slow, short": "200 chunks",
  "HTTP/1.1, framed-slow, long": "200 length",
  "HTTP/1.1, framed-slow, short": "200 length",
  "HTTP/1.1, unframed-slow, long": "200 chunks",
  "HTTP/1.1, unframed-slow, short": "200 chunks",
}
`
