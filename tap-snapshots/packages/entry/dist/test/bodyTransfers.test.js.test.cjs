/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/test/bodyTransfers.test.js > TAP > bodies that are sent again or in part are logged at a bounded rate and all are counted > first and last line 1`] = `
Array [
  Object {
    "attempt": 2,
    "choice": "10.0.0.1:80",
    "event": "body",
    "framing": "chunks",
    "lane": "pay",
    "received": 100000,
    "receivedWhole": true,
    "requestId": "7",
    "sent": 0,
    "why": "the attempt ended before the whole body was sent",
  },
  Object {
    "attempt": 2,
    "choice": "10.0.0.1:80",
    "dropped": 30,
    "event": "body",
    "framing": "length",
    "lane": "pay",
    "received": 100000,
    "receivedWhole": true,
    "requestId": "7",
    "sent": 100000,
    "why": "the body was sent once more",
  },
]
`

exports[`packages/entry/dist/test/bodyTransfers.test.js > TAP > bodies that are sent again or in part are logged at a bounded rate and all are counted > metrics 1`] = `
rosemaryrack_request_body_transfers_total{lane="pay",framing="chunks",attempt="repeat",sent="part"} 50
rosemaryrack_request_body_transfers_total{lane="pay",framing="length",attempt="first",sent="whole"} 1
rosemaryrack_request_body_transfers_total{lane="pay",framing="length",attempt="repeat",sent="whole"} 1

`
