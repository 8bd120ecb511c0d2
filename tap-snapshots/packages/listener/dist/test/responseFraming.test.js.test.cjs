/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/listener/dist/test/responseFraming.test.js > TAP > responses to callers of each version state their length > must match snapshot 1`] = `
Object {
  "HTTP/1.0 /error": Object {
    "body": "{\\"error\\":{\\"kind\\":\\"not-run\\",\\"message\\":\\"refused\\",\\"retryAfterS\\":1}}\\n",
    "framing": "length",
    "status": 503,
  },
  "HTTP/1.0 /json": Object {
    "body": "{\\"name\\":\\"Prüfung\\"}\\n",
    "framing": "length",
    "status": 200,
  },
  "HTTP/1.0 /none": Object {
    "body": "{\\"error\\":{\\"kind\\":\\"not-found\\",\\"message\\":\\"no such resource\\"}}\\n",
    "framing": "length",
    "status": 404,
  },
  "HTTP/1.0 /text": Object {
    "body": "name{lane=\\"Prüfung\\"} 1\\n",
    "framing": "length",
    "status": 200,
  },
  "HTTP/1.1 /error": Object {
    "body": "{\\"error\\":{\\"kind\\":\\"not-run\\",\\"message\\":\\"refused\\",\\"retryAfterS\\":1}}\\n",
    "framing": "length",
    "status": 503,
  },
  "HTTP/1.1 /json": Object {
    "body": "{\\"name\\":\\"Prüfung\\"}\\n",
    "framing": "length",
    "status": 200,
  },
  "HTTP/1.1 /none": Object {
    "body": "{\\"error\\":{\\"kind\\":\\"not-found\\",\\"message\\":\\"no such resource\\"}}\\n",
    "framing": "length",
    "status": 404,
  },
  "HTTP/1.1 /text": Object {
    "body": "name{lane=\\"Prüfung\\"} 1\\n",
    "framing": "length",
    "status": 200,
  },
}
`
